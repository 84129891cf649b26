//! Faults that a stand-in injects on request.

use serde::{Deserialize, Serialize};

/// Kind of an injected fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// The process exits on the next request.
    Die,
    /// No step runs and no request is answered, but for requests that change the fault.
    Freeze,
    /// Streams break off after a few tokens.
    DropStream,
    /// Every chunk of a stream is sent twice.
    AnswerTwice,
    /// The answer starts after a delay.
    Late,
    /// The first two chunks are swapped.
    OutOfOrder,
    /// The request runs, and the connection breaks before the response.
    LoseAnswer,
}

/// A fault and the number of requests it applies to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fault {
    /// Kind of the fault.
    pub kind: FaultKind,
    /// Number of requests that it still applies to; 0 means no fault.
    pub count: u64,
    /// Delay for the kind `late`.
    #[serde(default)]
    pub delay_ms: u64,
}
