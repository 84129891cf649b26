//! Fields that may be absent, but not `null`.

use serde::{Deserialize, Deserializer};

/// Deserializes a list that is either absent or given in full, for a field with `serde(default)`;
/// `null` is rejected.
///
/// # Errors
/// The value is no list, or one of its items is malformed.
pub fn deserialize_present<'de, D, T>(deserializer: D) -> Result<Option<Vec<T>>, D::Error>
where
    D: Deserializer<'de>,
    T: Deserialize<'de>,
{
    Vec::deserialize(deserializer).map(Some)
}
