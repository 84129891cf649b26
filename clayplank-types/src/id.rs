//! Ids and names of hosts, upstreams, accounts, requests and attempts.

use std::fmt;
use std::str::FromStr;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, JsonSchema)]
        #[serde(transparent)]
        pub struct $name(String);

        impl $name {
            /// Wraps a name, which is not validated.
            pub fn new(name: impl Into<String>) -> Self {
                Self(name.into())
            }

            /// The name as a string slice.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

name_type!(
    /// An organization that shares the fleet with others and owns client accounts.
    Partner
);
name_type!(
    /// Id of a host, which is a machine that runs the daemon.
    HostId
);
name_type!(
    /// Name of a data centre in the settings.
    DataCentre
);
name_type!(
    /// Id of an upstream, which is a model engine or a plain service.
    UpstreamId
);
name_type!(
    /// Id of a pool, which is a group of engines with a common queue and a common owner.
    PoolId
);

/// Id of a client account of one partner, written `partner/name`.
#[derive(
    Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, JsonSchema,
)]
pub struct AccountId {
    /// The partner that owns the account.
    pub partner: Partner,
    /// Name of the account, unique within the partner.
    pub name: String,
}

impl AccountId {
    /// Creates the id of a partner's account.
    pub fn new(partner: Partner, name: impl Into<String>) -> Self {
        Self { partner, name: name.into() }
    }
}

impl fmt::Display for AccountId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.partner, self.name)
    }
}

/// Error for text that is not an id of the expected kind.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("`{text}` is not {expected}")]
pub struct ParseIdError {
    /// The text that could not be parsed.
    pub text: String,
    /// Description of the expected kind of id.
    pub expected: &'static str,
}

impl FromStr for AccountId {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text.split_once('/') {
            Some((partner, name)) if !partner.is_empty() && !name.is_empty() => {
                Ok(Self::new(Partner::new(partner), name))
            }
            Some(_) | None => {
                Err(ParseIdError { text: text.to_owned(), expected: "an account (`partner/name`)" })
            }
        }
    }
}

/// Id of an attempt, which is one dispatch of a request to an upstream. It consists of 128 random
/// bits, so that no id is used twice.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct AttemptId(u128);

impl AttemptId {
    /// Generates a random id.
    pub fn random() -> Self {
        Self(rand::random())
    }

    /// Creates an id with the given bits, for replays and tests.
    pub fn from_bits(bits: u128) -> Self {
        Self(bits)
    }
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl fmt::Debug for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "AttemptId({self})")
    }
}

impl FromStr for AttemptId {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error = || ParseIdError {
            text: text.to_owned(),
            expected: "an attempt id (32 hexadecimal digits)",
        };
        if text.len() != 32 {
            return Err(error());
        }
        u128::from_str_radix(text, 16).map(Self).map_err(|_| error())
    }
}

impl From<AttemptId> for String {
    fn from(id: AttemptId) -> Self {
        id.to_string()
    }
}

impl TryFrom<String> for AttemptId {
    type Error = ParseIdError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

/// Id of a request, unique within one scheduler.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestId(pub u64);

/// Incarnation number of a process. It is larger after each restart.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Incarnation(pub u64);
