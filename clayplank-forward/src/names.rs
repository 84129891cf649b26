//! Names of the headers that are read and written when requests are forwarded.

use http::HeaderName;

/// Names of all headers with a meaning for hosts or upstreams.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeaderNames {
    /// The caller's id of this attempt; upstreams echo it.
    pub attempt_id: HeaderName,
    /// Time for which the caller, or the host, will wait, in ms.
    pub deadline_ms: HeaderName,
    /// Id of the last event that the caller has received.
    pub last_event_id: HeaderName,
    /// Tokens of the prompt and maximum tokens of the answer, separated by a comma.
    pub token_counts: HeaderName,
    /// Parts of the prompt in order, as `id:tokens` separated by commas, with hexadecimal ids. Other
    /// requests may share all parts but the last.
    pub prompt_parts: HeaderName,
    /// Client account, sent to upstreams.
    pub account: HeaderName,
    /// Incarnation of the upstream that may run the request; no other may.
    pub expect_upstream: HeaderName,
    /// Version of the weights that the caller demands; an engine with another one does not run the
    /// request.
    pub expect_version: HeaderName,
    /// Engine that caused a request not to be run, which may be a helper.
    pub at_fault: HeaderName,
    /// Mark by which an upstream identifies an answer as its own.
    pub seal: HeaderName,
    /// States that the request was not run.
    pub not_run: HeaderName,
    /// Running requests, waiting requests and slots of the upstream.
    pub load: HeaderName,
    /// Requests per second that the upstream accepts from all hosts together; absent if unlimited.
    pub limit: HeaderName,
    /// States, with the value 1, that the upstream is leaving.
    pub leaving: HeaderName,
    /// Engines that prefill the prompt together with the receiver.
    pub helpers: HeaderName,
    /// Priority at the engine.
    pub priority: HeaderName,
}

impl Default for HeaderNames {
    fn default() -> Self {
        Self {
            attempt_id: HeaderName::from_static("x-clayplank-attempt-id"),
            deadline_ms: HeaderName::from_static("x-clayplank-deadline-ms"),
            last_event_id: HeaderName::from_static("last-event-id"),
            token_counts: HeaderName::from_static("x-clayplank-tokens"),
            prompt_parts: HeaderName::from_static("x-clayplank-prompt-parts"),
            account: HeaderName::from_static("x-clayplank-account"),
            expect_upstream: HeaderName::from_static("x-clayplank-expect-upstream"),
            expect_version: HeaderName::from_static("x-clayplank-expect-version"),
            at_fault: HeaderName::from_static("x-clayplank-at-fault"),
            seal: HeaderName::from_static("x-clayplank-seal"),
            not_run: HeaderName::from_static("x-clayplank-not-run"),
            load: HeaderName::from_static("x-clayplank-load"),
            limit: HeaderName::from_static("x-clayplank-limit"),
            leaving: HeaderName::from_static("x-clayplank-leaving"),
            helpers: HeaderName::from_static("x-clayplank-helpers"),
            priority: HeaderName::from_static("x-clayplank-priority"),
        }
    }
}
