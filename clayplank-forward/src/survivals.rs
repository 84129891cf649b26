//! Progress of answers, by which upstreams have or have not survived their prompts.

use std::time::Duration;

use clayplank_clock::Instant;

/// Time after the begin of an answer within which a prompt may terminate its upstream.
pub(crate) const SURVIVAL_TIME: Duration = Duration::from_millis(400);

/// Progress of an answer, from its first event on.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct AnswerProgress {
    first_event_at: Option<Instant>,
    last_event_at: Option<Instant>,
}

impl AnswerProgress {
    /// Records an event.
    pub(crate) fn record_event(&mut self, now: Instant) {
        self.first_event_at.get_or_insert(now);
        self.last_event_at = Some(now);
    }

    /// Whether the upstream may have terminated because of the prompt, if it has.
    pub(crate) fn is_suspicious(&self) -> bool {
        let written_for = self.first_event_at.zip(self.last_event_at);
        written_for.is_none_or(|(first_at, last_at)| last_at - first_at < SURVIVAL_TIME)
    }
}
