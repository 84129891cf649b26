//! Whether an engine can be reached: a refused connection is certain knowledge, unlike a failure.

/// After an engine was not reached, it is asked for a sign of life after this long, in ms: the
/// first connection may have met the moment of a restart.
const FIRST_QUESTION_MS: f64 = 200.0;

/// Between the first two questions, and between all others, in ms: an engine that is away for
/// seconds is found within half a second of its return.
const QUESTION_PAUSE_MS: f64 = 300.0;
const QUESTION_PAUSE_MAX_MS: f64 = 400.0;

/// A heartbeat that comes this long, in ms, after an engine was last not reached shows that it
/// lives, though the keeper cannot reach it: one that was sent before is on its way for less.
const HEARD_AFTER_MS: f64 = 1_000.0;

/// An engine that was not reached, and when it is asked again.
#[derive(Clone, Copy, Debug)]
struct Lost {
    since_ms: f64,
    next_question_ms: f64,
    pause_ms: f64,
}

/// Whether an engine can be reached.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Reach {
    lost: Option<Lost>,
    /// Whether a connection broke off, and nothing was heard since.
    is_doubted: bool,
}

impl Reach {
    pub(crate) fn is_lost(&self) -> bool {
        self.lost.is_some()
    }

    /// A connection was refused, or not answered.
    pub(crate) fn note_unreached(&mut self, now_ms: f64) {
        self.is_doubted = false;
        let usual = Lost {
            since_ms: now_ms,
            next_question_ms: now_ms + FIRST_QUESTION_MS,
            pause_ms: QUESTION_PAUSE_MS,
        };
        self.lost.get_or_insert(usual).since_ms = now_ms;
    }

    /// A connection broke off without an answer: the engine may have died.
    pub(crate) fn note_broken(&mut self) {
        self.is_doubted = self.lost.is_none();
    }

    /// It answered.
    pub(crate) fn note_answer(&mut self) {
        *self = Self::default();
    }

    /// A heartbeat of this life of it came.
    pub(crate) fn note_heartbeat(&mut self, now_ms: f64) {
        let Some(lost) = &mut self.lost else {
            return;
        };
        lost.next_question_ms = now_ms;
        if now_ms >= lost.since_ms + HEARD_AFTER_MS {
            self.lost = None;
        }
    }

    /// Whether it should be asked for a sign of life now; if so, it counts as asked.
    pub(crate) fn take_question(&mut self, now_ms: f64) -> bool {
        if let Some(lost) = &mut self.lost {
            let is_due = now_ms >= lost.next_question_ms;
            if is_due {
                lost.next_question_ms = now_ms + lost.pause_ms;
                lost.pause_ms = (2.0 * lost.pause_ms).min(QUESTION_PAUSE_MAX_MS);
            }
            return is_due;
        }
        std::mem::take(&mut self.is_doubted)
    }
}
