//! Digests of secret keys; the keys themselves are neither stored nor compared.

use std::fmt;

use base64::Engine as _;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

/// SHA-256 digest of a bearer key, serialized as unpadded URL-safe base 64.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize, JsonSchema)]
#[serde(try_from = "String", into = "String")]
#[schemars(with = "String", extend("pattern" = "^[A-Za-z0-9_-]{43}$"))]
pub struct KeyDigest([u8; 32]);

/// Error for a text that is not a valid [`KeyDigest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a key digest is 43 characters of unpadded URL-safe base 64; `clayplank digest` makes one")]
pub struct MalformedDigest;

impl KeyDigest {
    /// Digests a secret key.
    pub fn of(key: &str) -> Self {
        Self(Sha256::digest(key.as_bytes()).into())
    }

    /// Compares two digests in constant time, whatever the position of their first difference.
    pub fn matches(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest(..)")
    }
}

impl From<KeyDigest> for String {
    fn from(digest: KeyDigest) -> Self {
        URL_SAFE_NO_PAD.encode(digest.0)
    }
}

impl TryFrom<String> for KeyDigest {
    type Error = MalformedDigest;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        let bytes = URL_SAFE_NO_PAD.decode(text).map_err(|_| MalformedDigest)?;
        bytes.try_into().map(Self).map_err(|_| MalformedDigest)
    }
}
