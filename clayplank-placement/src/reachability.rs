//! Whether an engine can be reached: a refused connection is certain knowledge, unlike a failure.

/// After an engine was not reached, it is asked for a sign of life after this long, in ms: the
/// first connection may have met the moment of a restart.
const FIRST_PROBE_MS: f64 = 200.0;

/// Between the first two questions, and between all others, in ms: an engine that is away for
/// seconds is found within half a second of its return.
const PROBE_INTERVAL_MS: f64 = 300.0;
const MAX_PROBE_INTERVAL_MS: f64 = 400.0;

/// A heartbeat that comes this long, in ms, after an engine was last not reached shows that it
/// lives, though the keeper cannot reach it: one that was sent before is on its way for less.
const HEARTBEAT_MARGIN_MS: f64 = 1_000.0;

/// An engine that was not reached, and when it is asked again.
#[derive(Clone, Copy, Debug)]
struct Unreachable {
    since_ms: f64,
    next_probe_ms: f64,
    interval_ms: f64,
}

/// Whether an engine can be reached.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Reachability {
    unreachable: Option<Unreachable>,
    /// Whether a connection broke off, and nothing was heard since.
    needs_probe: bool,
}

impl Reachability {
    pub(crate) fn is_unreachable(&self) -> bool {
        self.unreachable.is_some()
    }

    /// A connection was refused, or not answered.
    pub(crate) fn note_unreachable(&mut self, now_ms: f64) {
        self.needs_probe = false;
        let first = Unreachable {
            since_ms: now_ms,
            next_probe_ms: now_ms + FIRST_PROBE_MS,
            interval_ms: PROBE_INTERVAL_MS,
        };
        self.unreachable.get_or_insert(first).since_ms = now_ms;
    }

    /// A connection broke off without an answer: the engine may have died.
    pub(crate) fn note_broken(&mut self) {
        self.needs_probe = self.unreachable.is_none();
    }

    /// It answered.
    pub(crate) fn note_answer(&mut self) {
        *self = Self::default();
    }

    /// A heartbeat of this life of it came.
    pub(crate) fn note_heartbeat(&mut self, now_ms: f64) {
        let Some(unreachable) = &mut self.unreachable else {
            return;
        };
        unreachable.next_probe_ms = now_ms;
        if now_ms >= unreachable.since_ms + HEARTBEAT_MARGIN_MS {
            self.unreachable = None;
        }
    }

    /// Whether it should be asked for a sign of life now; if so, it counts as asked.
    pub(crate) fn take_probe(&mut self, now_ms: f64) -> bool {
        if let Some(unreachable) = &mut self.unreachable {
            let is_due = now_ms >= unreachable.next_probe_ms;
            if is_due {
                unreachable.next_probe_ms = now_ms + unreachable.interval_ms;
                unreachable.interval_ms =
                    (2.0 * unreachable.interval_ms).min(MAX_PROBE_INTERVAL_MS);
            }
            return is_due;
        }
        std::mem::take(&mut self.needs_probe)
    }
}
