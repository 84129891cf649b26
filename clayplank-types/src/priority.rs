//! Priority classes of requests and of prefills.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Priority class of a request relative to those of other accounts.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    JsonSchema,
)]
#[serde(rename_all = "lowercase")]
pub enum Priority {
    /// Interactive: a user waits for the answer.
    High,
    /// The default class.
    #[default]
    Normal,
    /// Background work that may be delayed.
    Low,
}

impl Priority {
    /// All classes, the most urgent first.
    pub const ALL: [Self; 3] = [Self::High, Self::Normal, Self::Low];

    /// Index of the class in [`Priority::ALL`].
    pub fn rank(self) -> usize {
        match self {
            Self::High => 0,
            Self::Normal => 1,
            Self::Low => 2,
        }
    }

    /// The class with this rank; [`Priority::Low`] for ranks that are too large.
    pub fn from_rank(rank: usize) -> Self {
        Self::ALL.get(rank).copied().unwrap_or(Self::Low)
    }
}

/// Priority with which an engine prefills a prompt; 0 is prefilled first.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct EnginePriority(pub u8);
