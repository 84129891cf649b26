//! Fingerprints of requests and parts of prompts, by which repetitions are recognized.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Number of hex digits of a fingerprint in text form.
const HEX_DIGITS: usize = 32;

/// The parts of a request that stay the same when its caller sends it again. The attempt id is not
/// among them, since each attempt has another one.
#[derive(Clone, Copy, Debug)]
pub struct RequestIdentity<'a> {
    /// The caller: a client account, or another property that distinguishes callers.
    pub caller: &'a str,
    /// Host name to which the request is addressed.
    pub host: &'a str,
    /// Path with the query string.
    pub path: &'a str,
    /// Request body.
    pub body: &'a [u8],
}

/// Distinguishes the digest of a prompt part from those of requests.
const PROMPT_PART_DOMAIN: &[u8] = b"clayplank prompt part";

/// Digest of a [`RequestIdentity`] or of the id of a prompt part: the first 128 bits of its SHA-256
/// hash. It is infeasible to find another request with the same digest, or to recover the body from
/// it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fingerprint(u128);

impl Fingerprint {
    /// Wraps a number, for tests and for fingerprints decoded from elsewhere.
    pub const fn new(number: u128) -> Self {
        Self(number)
    }

    /// Computes the fingerprint of a request.
    pub fn of(identity: &RequestIdentity<'_>) -> Self {
        let mut hasher = Sha256::new();
        for text in [identity.caller, identity.host, identity.path] {
            // The length before each part keeps the boundaries between the parts unambiguous.
            hasher.update((text.len() as u64).to_be_bytes());
            hasher.update(text.as_bytes());
        }
        hasher.update(identity.body);
        Self::from_hash(hasher)
    }

    /// Computes the fingerprint of a prompt part from its id, a hexadecimal number.
    pub fn of_prompt_part(id: &str) -> Self {
        let mut hasher = Sha256::new();
        hasher.update(PROMPT_PART_DOMAIN);
        hasher.update(id.to_ascii_lowercase().as_bytes());
        Self::from_hash(hasher)
    }

    fn from_hash(hasher: Sha256) -> Self {
        let digest: [u8; 32] = hasher.finalize().into();
        let (high_bytes, _) = digest.split_at(16);
        Self(high_bytes.iter().fold(0, |number, byte| number << 8 | u128::from(*byte)))
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

/// Error for text that is not a fingerprint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a fingerprint has 32 hex digits")]
pub struct ParseFingerprintError;

impl FromStr for Fingerprint {
    type Err = ParseFingerprintError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if text.len() != HEX_DIGITS {
            return Err(ParseFingerprintError);
        }
        u128::from_str_radix(text, 16).map(Self).map_err(|_| ParseFingerprintError)
    }
}
