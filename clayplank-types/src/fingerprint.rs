//! Tells whether two requests are the same one, sent again.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Hex digits of a fingerprint as text.
const HEX_DIGITS: usize = 32;

/// The parts of a request that stay as they are when its caller sends it again. The id of an
/// attempt is none of them.
#[derive(Clone, Copy, Debug)]
pub struct RequestIdentity<'a> {
    /// Who sends it: a client account, or what else tells callers apart.
    pub caller: &'a str,
    /// The host that it names.
    pub host: &'a str,
    /// Its path, with the query.
    pub path: &'a str,
    /// Its body.
    pub body: &'a [u8],
}

/// A digest of a [`RequestIdentity`]: nobody finds another request with the same one, and the body
/// cannot be read from it. 128 bits of SHA-256.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestFingerprint(u128);

impl RequestFingerprint {
    /// Wraps a number, for tests and for what was read elsewhere.
    pub const fn new(number: u128) -> Self {
        Self(number)
    }

    /// The digest of a request.
    pub fn of(identity: &RequestIdentity<'_>) -> Self {
        let mut hasher = Sha256::new();
        for text in [identity.caller, identity.host, identity.path] {
            // Lengths keep the parts apart.
            hasher.update((text.len() as u64).to_be_bytes());
            hasher.update(text.as_bytes());
        }
        hasher.update(identity.body);
        let digest: [u8; 32] = hasher.finalize().into();
        let (half, _) = digest.split_at(16);
        Self(half.iter().fold(0, |number, byte| number << 8 | u128::from(*byte)))
    }
}

impl fmt::Display for RequestFingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

/// A text that names no fingerprint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a fingerprint has 32 hex digits")]
pub struct UnknownFingerprintText;

impl FromStr for RequestFingerprint {
    type Err = UnknownFingerprintText;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if text.len() != HEX_DIGITS {
            return Err(UnknownFingerprintText);
        }
        u128::from_str_radix(text, 16).map(Self).map_err(|_| UnknownFingerprintText)
    }
}
