//! Resources that the platform grants the local host.

use schemars::JsonSchema;
use serde::{Deserialize, Deserializer, Serialize};

use crate::check::Faults;

/// Files that a host has open at least: connections of a few callers, upstreams and other hosts.
const MIN_FILES: u64 = 256;

/// Resources that the platform grants the local host. Fractions are rounded down, so that a host
/// never uses more than it was granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Resources {
    /// Memory of the host, in MB of 2^20 bytes. Requests wait in the admission queue only on a host
    /// with memory for their bodies.
    #[serde(deserialize_with = "read_rounded_down")]
    #[schemars(with = "f64")]
    pub memory_mb: u64,
    /// Maximum number of open files, which include connections; `null` if there is none.
    #[serde(default, deserialize_with = "read_optional_rounded_down")]
    #[schemars(with = "Option<f64>")]
    pub max_files: Option<u64>,
}

impl Resources {
    pub(crate) fn check(&self, at: &str, faults: &mut Faults) {
        let path = format!("{at}/memory_mb");
        faults.require(self.memory_mb > 0, &path, "must be at least 1 MB");
        let has_files = self.max_files.is_none_or(|files| files >= MIN_FILES);
        let message = format!("must be at least {MIN_FILES} files");
        faults.require(has_files, &format!("{at}/max_files"), &message);
    }
}

fn read_rounded_down<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
    // Negative numbers become 0, which is rejected.
    Ok(f64::deserialize(deserializer)?.floor() as u64)
}

fn read_optional_rounded_down<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Option<u64>, D::Error> {
    let written = Option::<f64>::deserialize(deserializer)?;
    Ok(written.map(|number| number.floor() as u64))
}
