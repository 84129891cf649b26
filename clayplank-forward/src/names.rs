//! Names of the headers that the forwarding reads and writes.

use http::HeaderName;

/// One name for each header that means something to a host or an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeaderNames {
    /// The caller's id of this attempt; upstreams echo it.
    pub attempt_id: HeaderName,
    /// Time that the caller, or the host, will wait, in ms.
    pub deadline_ms: HeaderName,
    /// The last event that the caller has.
    pub last_event_id: HeaderName,
    /// Tokens of the prompt and the most of the answer, with a comma between.
    pub token_counts: HeaderName,
    /// The client account, as upstreams are told.
    pub account: HeaderName,
    /// The one life of an upstream that may run the request.
    pub expect_upstream: HeaderName,
    /// Which engine is at fault that a request was not run: a helper, perhaps.
    pub at_fault: HeaderName,
    /// The upstream's mark on an answer of its own.
    pub seal: HeaderName,
    /// Says that the request was not run.
    pub not_run: HeaderName,
    /// Requests running, waiting, and slots of the upstream.
    pub load: HeaderName,
    /// Requests a second that the upstream takes from all hosts together, while it says so.
    pub limit: HeaderName,
    /// Engines that read the prompt together with the receiver.
    pub helpers: HeaderName,
    /// Urgency at the engine.
    pub priority: HeaderName,
}

impl Default for HeaderNames {
    fn default() -> Self {
        Self {
            attempt_id: HeaderName::from_static("x-clayplank-attempt-id"),
            deadline_ms: HeaderName::from_static("x-clayplank-deadline-ms"),
            last_event_id: HeaderName::from_static("last-event-id"),
            token_counts: HeaderName::from_static("x-clayplank-tokens"),
            account: HeaderName::from_static("x-clayplank-account"),
            expect_upstream: HeaderName::from_static("x-clayplank-expect-upstream"),
            at_fault: HeaderName::from_static("x-clayplank-at-fault"),
            seal: HeaderName::from_static("x-clayplank-seal"),
            not_run: HeaderName::from_static("x-clayplank-not-run"),
            load: HeaderName::from_static("x-clayplank-load"),
            limit: HeaderName::from_static("x-clayplank-limit"),
            helpers: HeaderName::from_static("x-clayplank-helpers"),
            priority: HeaderName::from_static("x-clayplank-priority"),
        }
    }
}
