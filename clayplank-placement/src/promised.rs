//! Room of a pool that is promised to callers that will return.

/// Room of one pool that is promised to callers that will return.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Promised {
    /// Number of slots.
    pub slots: usize,
    /// Prefill work, in ms of one engine.
    pub prefill_ms: f64,
}
