//! Observations of callers and operators, and the violations found in them.

use std::sync::Mutex;
use std::time::Instant;

use crate::answer::Answer;

/// Retry semantics of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    Repeatable,
    Once,
    Stream { events: u64 },
}

/// One request and its result; `answer` is `None` if the connection gave no answer.
#[derive(Clone, Debug)]
pub struct Seen {
    pub attempt: String,
    pub kind: Kind,
    pub entry: usize,
    pub sent_at: Instant,
    pub ended_at: Instant,
    /// Fault that the request asked its upstream to show.
    pub wish: Option<&'static str>,
    pub answer: Option<Answer>,
}

/// Recorded requests and violated guarantees.
#[derive(Debug, Default)]
pub struct Record {
    seen: Mutex<Vec<Seen>>,
    broken: Mutex<Vec<String>>,
}

impl Record {
    pub fn push(&self, seen: Seen) {
        self.seen.lock().unwrap().push(seen);
    }

    pub fn note_broken(&self, promise: String) {
        self.broken.lock().unwrap().push(promise);
    }

    pub fn take(self) -> (Vec<Seen>, Vec<String>) {
        (self.seen.into_inner().unwrap(), self.broken.into_inner().unwrap())
    }
}

/// Guarantee violated by this request alone; `runs` is the number of times upstreams ran it.
pub fn check_seen(seen: &Seen, runs: usize) -> Option<String> {
    let Seen { attempt, kind, .. } = seen;
    if *kind == Kind::Once && runs > 1 {
        return Some(format!("{attempt} ran {runs} times, and may run once"));
    }
    let answer = seen.answer.as_ref()?;
    match answer.status {
        200 if !answer.is_whole => None,
        200 if is_own(seen, answer) => None,
        200 => Some(format!("{attempt} got a whole answer that is not its own: {}", answer.text())),
        503 if runs > 0 && *kind == Kind::Once => {
            Some(format!("{attempt} was told that it had not run, and ran {runs} times"))
        }
        401 | 404 => Some(format!("{attempt} was denied with {}", answer.status)),
        _ => None,
    }
}

fn is_own(seen: &Seen, answer: &Answer) -> bool {
    match seen.kind {
        Kind::Repeatable | Kind::Once => answer.text() == seen.attempt,
        Kind::Stream { events } => {
            let text = answer.text();
            let ids =
                text.lines().filter_map(|line| line.strip_prefix("id: ")?.parse::<u64>().ok());
            ids.eq(1..=events)
        }
    }
}

/// Whether a request that ran got no complete answer although it asked for no fault.
pub fn is_cut_off(seen: &Seen, runs: usize) -> bool {
    let is_whole = seen.answer.as_ref().is_some_and(|answer| answer.is_whole);
    runs > 0 && seen.wish.is_none() && !is_whole
}
