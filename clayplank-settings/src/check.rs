//! Parses JSON documents and reports every fault with its path.

use std::fmt;

use jsonschema::ValidationError;
use jsonschema::error::ValidationErrorKind;
use schemars::JsonSchema;
use schemars::generate::SchemaSettings;
use serde::de::DeserializeOwned;
use serde_json::Value;

/// One error in a document.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
pub struct Fault {
    /// JSON pointer (RFC 6901) to the faulty value; empty for the whole document.
    pub path: String,
    /// Description of the error and of what is expected.
    pub message: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let path = if self.path.is_empty() { "/" } else { &self.path };
        write!(f, "{path}: {}", self.message)
    }
}

/// All errors of a document; never empty when returned as an `Err`.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct Faults(Vec<Fault>);

impl Faults {
    /// Adds a fault.
    pub fn push(&mut self, path: impl Into<String>, message: impl Into<String>) {
        self.0.push(Fault { path: path.into(), message: message.into() });
    }

    /// Adds a fault unless `condition` holds.
    pub fn require(&mut self, condition: bool, path: &str, message: &str) {
        if !condition {
            self.push(path, message);
        }
    }

    /// Iterates over the faults in the order in which the checks found them.
    pub fn iter(&self) -> std::slice::Iter<'_, Fault> {
        self.0.iter()
    }

    /// Whether no fault was found.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (position, fault) in self.0.iter().enumerate() {
            if position > 0 {
                f.write_str("\n")?;
            }
            write!(f, "{fault}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Faults {}

/// Validation rules that a JSON schema cannot express.
pub trait Check {
    /// Adds a fault for each violated rule; the paths of the faults start with `at`.
    fn check(&self, at: &str, faults: &mut Faults);
}

/// Parses a JSON text and validates it.
///
/// # Errors
/// The syntax error, or else all violations of the schema and of the [`Check`] rules.
pub fn parse<T: DeserializeOwned + JsonSchema + Check>(text: &str) -> Result<T, Faults> {
    match serde_json::from_str(text) {
        Ok(value) => parse_value(value),
        Err(error) => {
            let mut faults = Faults::default();
            faults.push("", format!("not JSON: {error}"));
            Err(faults)
        }
    }
}

/// Validates a JSON value; see [`parse`].
///
/// # Errors
/// All violations of the schema and, if the value could be deserialized, of the [`Check`] rules.
pub fn parse_value<T: DeserializeOwned + JsonSchema + Check>(value: Value) -> Result<T, Faults> {
    let mut faults = check_schema::<T>(&value);
    let parsed = serde_json::from_value::<T>(value);
    match &parsed {
        Ok(document) => document.check("", &mut faults),
        Err(error) if faults.is_empty() => faults.push("", error.to_string()),
        Err(_) => {}
    }
    match parsed {
        Ok(document) if faults.is_empty() => Ok(document),
        Ok(_) | Err(_) => Err(faults),
    }
}

/// Validates a value against the JSON schema of its type.
fn check_schema<T: JsonSchema>(value: &Value) -> Faults {
    let mut faults = Faults::default();
    let schema = SchemaSettings::draft2020_12().into_generator().into_root_schema_for::<T>();
    match jsonschema::validator_for(schema.as_value()) {
        Ok(validator) => {
            for error in validator.iter_errors(value) {
                push_error(&mut faults, &error);
            }
        }
        Err(error) => faults.push("", format!("the schema itself is wrong: {error}")),
    }
    faults
}

/// Adds a schema error. If a value matches none of several alternatives, adds the errors of the
/// one that was most likely meant: among those whose constants and enum values all match, the one
/// with the fewest errors.
fn push_error(faults: &mut Faults, error: &ValidationError<'_>) {
    let path = error.instance_path().to_string();
    match error.kind() {
        ValidationErrorKind::OneOfNotValid { context } | ValidationErrorKind::AnyOf { context } => {
            let names: Vec<_> = context.iter().flatten().filter_map(expected_name).collect();
            let is_meant = |branch: &&Vec<ValidationError<'_>>| {
                branch.iter().all(|nested| expected_name(nested).is_none())
            };
            match context.iter().filter(is_meant).min_by_key(|branch| branch.len()) {
                Some(branch) => branch.iter().for_each(|nested| push_error(faults, nested)),
                None => faults.push(path, format!("must be one of {}", names.join(", "))),
            }
        }
        ValidationErrorKind::Pattern { .. } => {
            faults.push(path, "must be a digest of a key, as `clayplank digest` prints it");
        }
        _ => faults.push(path, error.to_string()),
    }
}

/// Returns the accepted values if the error is about a constant or an enum value.
fn expected_name(error: &ValidationError<'_>) -> Option<String> {
    match error.kind() {
        ValidationErrorKind::Constant { expected_value } => Some(expected_value.to_string()),
        ValidationErrorKind::Enum { options } => Some(options.to_string()),
        _ => None,
    }
}
