//! Reachability of an engine. A refused connection is certain, unlike a failed request.

/// Time until an unreachable engine is probed for the first time, in ms: the failed connection may
/// have hit a restart.
const FIRST_PROBE_MS: f64 = 200.0;

/// First interval between two probes and its upper bound, in ms. The recovery of an engine that was
/// down for seconds is found within half a second.
const PROBE_INTERVAL_MS: f64 = 300.0;
const MAX_PROBE_INTERVAL_MS: f64 = 400.0;

/// A heartbeat that arrives this long after an engine was last unreachable, in ms, shows that it is
/// alive although the keeper cannot connect to it: one that was sent before takes less time to
/// arrive.
const HEARTBEAT_MARGIN_MS: f64 = 1_000.0;

/// State of an unreachable engine: the latest failed connection, the next probe and the interval
/// after it.
#[derive(Clone, Copy, Debug)]
struct Unreachable {
    since_ms: f64,
    next_probe_ms: f64,
    interval_ms: f64,
}

/// Reachability of an engine.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Reachability {
    unreachable: Option<Unreachable>,
    /// Whether a connection broke and no answer has arrived since.
    needs_probe: bool,
}

impl Reachability {
    pub(crate) fn is_unreachable(&self) -> bool {
        self.unreachable.is_some()
    }

    /// Records that a connection was refused or not answered.
    pub(crate) fn record_unreachable(&mut self, now_ms: f64) {
        self.needs_probe = false;
        let first = Unreachable {
            since_ms: now_ms,
            next_probe_ms: now_ms + FIRST_PROBE_MS,
            interval_ms: PROBE_INTERVAL_MS,
        };
        self.unreachable.get_or_insert(first).since_ms = now_ms;
    }

    /// Records that a connection broke without an answer: the engine may have failed.
    pub(crate) fn record_broken(&mut self) {
        self.needs_probe = self.unreachable.is_none();
    }

    /// Records an answer of the engine.
    pub(crate) fn record_answer(&mut self) {
        *self = Self::default();
    }

    /// Records a heartbeat of the engine's current incarnation.
    pub(crate) fn record_heartbeat(&mut self, now_ms: f64) {
        let Some(unreachable) = &mut self.unreachable else {
            return;
        };
        unreachable.next_probe_ms = now_ms;
        if now_ms >= unreachable.since_ms + HEARTBEAT_MARGIN_MS {
            self.unreachable = None;
        }
    }

    /// Whether it should be probed now; if so, counts it as probed.
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
