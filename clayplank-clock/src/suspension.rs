//! How long the machine was suspended since the process first asked.

use std::sync::LazyLock;
use std::time::Duration;

use rustix::time::{ClockId, Timespec, clock_gettime};
use tokio::sync::watch;

/// Less than this is no suspension: the two clocks are read one after the other, and the least time
/// for which machines are suspended is some hundred milliseconds.
const LEAST: Duration = Duration::from_millis(20);

/// What is known of times in which the machine was suspended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Suspensions {
    /// How often it was found to have been suspended.
    pub count: u64,
    /// For how long, in all.
    pub span: Duration,
}

/// By how much the clock that counts suspensions was ahead when the process first asked.
static BASE: LazyLock<Duration> = LazyLock::new(read_ahead);

static FOUND: LazyLock<watch::Sender<Suspensions>> = LazyLock::new(watch::Sender::default);

/// Suspensions as they are found, which is when anybody asks for the time.
pub fn subscribe() -> watch::Receiver<Suspensions> {
    FOUND.subscribe()
}

/// How long the machine was suspended since the process first asked.
pub(crate) fn span() -> Duration {
    let ahead = read_ahead().saturating_sub(*BASE);
    let known = FOUND.borrow().span;
    let real = if ahead < known + LEAST { known } else { note(ahead) };
    real + of_thread()
}

/// Takes in a longer span than was known; returns the longest.
fn note(ahead: Duration) -> Duration {
    let mut longest = ahead;
    FOUND.send_if_modified(|found| {
        let is_news = ahead >= found.span + LEAST;
        if is_news {
            found.count += 1;
            found.span = ahead;
        }
        longest = found.span;
        is_news
    });
    longest
}

/// By how much the clock that counts suspensions is ahead of the one that does not, or a little
/// less: the second one is read last, so that a process that is held up in between, for however
/// long, takes that for no suspension.
fn read_ahead() -> Duration {
    let with_suspensions = to_duration(clock_gettime(ClockId::Boottime));
    let without = to_duration(clock_gettime(ClockId::Monotonic));
    with_suspensions.saturating_sub(without)
}

fn to_duration(time: Timespec) -> Duration {
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanoseconds = u32::try_from(time.tv_nsec).unwrap_or_default();
    Duration::new(seconds, nanoseconds)
}

#[cfg(not(feature = "test-util"))]
fn of_thread() -> Duration {
    Duration::ZERO
}

#[cfg(feature = "test-util")]
use of_tests::of_thread;
#[cfg(feature = "test-util")]
pub use of_tests::suspend;

/// Suspensions that a test brings about, for its own thread alone.
#[cfg(feature = "test-util")]
mod of_tests {
    use std::cell::Cell;
    use std::time::Duration;

    use super::FOUND;

    thread_local! {
        static SPAN: Cell<Duration> = const { Cell::new(Duration::ZERO) };
    }

    /// From now on this thread finds that the machine was suspended for this much longer.
    pub fn suspend(span: Duration) {
        SPAN.set(SPAN.get() + span);
        // Whoever waits looks at the time again; on other threads it has not changed.
        FOUND.send_modify(|found| found.count += 1);
    }

    pub(super) fn of_thread() -> Duration {
        SPAN.get()
    }
}
