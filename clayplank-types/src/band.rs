//! Length bands, which group prompts by their number of tokens.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Upper bounds of the length bands, in tokens, in increasing order.
///
/// A prompt belongs to the first band whose bound it does not exceed. Longer prompts belong to one
/// more band, which has no bound.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(try_from = "Vec<u64>", into = "Vec<u64>")]
#[schemars(with = "Vec<u64>")]
pub struct LengthBands {
    bounds_tokens: Vec<u64>,
}

/// Error for bounds that do not increase.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the bounds of length bands must rise, from 1 on; bound {position} does not")]
pub struct UnorderedBandsError {
    /// Index of the first invalid bound, counted from 0.
    pub position: usize,
}

impl LengthBands {
    /// Creates length bands after a check that the bounds increase.
    ///
    /// # Errors
    /// Returns the index of the first bound that is not above the previous one.
    pub fn new(bounds_tokens: Vec<u64>) -> Result<Self, UnorderedBandsError> {
        let mut previous = 0;
        for (position, &bound) in bounds_tokens.iter().enumerate() {
            if bound <= previous {
                return Err(UnorderedBandsError { position });
            }
            previous = bound;
        }
        Ok(Self { bounds_tokens })
    }

    /// Number of bands, including the one without a bound.
    pub fn count(&self) -> usize {
        self.bounds_tokens.len() + 1
    }

    /// Index of the band to which a prompt of this length belongs.
    pub fn index_of(&self, prompt_tokens: u64) -> usize {
        self.bounds_tokens.partition_point(|&bound| bound < prompt_tokens)
    }

    /// Short name of a band: its bound in thousands, as in `8k`, or in tokens if it is not a
    /// multiple of 1,000; `more` for the last band.
    pub fn name(&self, index: usize) -> String {
        match self.bounds_tokens.get(index) {
            Some(bound) if bound % 1_000 == 0 => format!("{}k", bound / 1_000),
            Some(bound) => bound.to_string(),
            None => "more".to_owned(),
        }
    }
}

impl Default for LengthBands {
    fn default() -> Self {
        Self { bounds_tokens: vec![2_000, 8_000, 32_000, 128_000, 512_000] }
    }
}

impl TryFrom<Vec<u64>> for LengthBands {
    type Error = UnorderedBandsError;

    fn try_from(bounds_tokens: Vec<u64>) -> Result<Self, Self::Error> {
        Self::new(bounds_tokens)
    }
}

impl From<LengthBands> for Vec<u64> {
    fn from(bands: LengthBands) -> Self {
        bands.bounds_tokens
    }
}
