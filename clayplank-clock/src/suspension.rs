//! Detection of suspensions of the machine.

use std::sync::LazyLock;
use std::time::Duration;

use rustix::time::{ClockId, Timespec, clock_gettime};
use tokio::sync::watch;

/// Minimum duration that counts as a suspension. The two clocks are read one after the other, so
/// they differ a little; machines are suspended for at least some hundred milliseconds.
const MIN_SUSPENSION: Duration = Duration::from_millis(20);

/// Suspensions of the machine that were detected since the first reading of the clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Suspensions {
    /// Number of detected suspensions.
    pub count: u64,
    /// Total duration of the detected suspensions.
    pub total: Duration,
}

/// Offset between the clock that counts suspensions and the one that does not, at the first
/// reading.
static INITIAL_OFFSET: LazyLock<Duration> = LazyLock::new(read_offset);

static DETECTED: LazyLock<watch::Sender<Suspensions>> = LazyLock::new(watch::Sender::default);

/// Subscribes to detected suspensions. They are detected when any task of the process reads the
/// clock.
pub fn subscribe() -> watch::Receiver<Suspensions> {
    DETECTED.subscribe()
}

/// Total time for which the machine was suspended since the first reading of the clock.
pub(crate) fn total_suspended() -> Duration {
    let offset = read_offset().saturating_sub(*INITIAL_OFFSET);
    let known = DETECTED.borrow().total;
    let detected = if offset < known + MIN_SUSPENSION { known } else { record(offset) };
    detected + simulated_span()
}

/// Records a longer total duration of suspensions; returns the longest one recorded so far,
/// possibly by another thread.
fn record(offset: Duration) -> Duration {
    let mut longest = offset;
    DETECTED.send_if_modified(|suspensions| {
        let is_longer = offset >= suspensions.total + MIN_SUSPENSION;
        if is_longer {
            suspensions.count += 1;
            suspensions.total = offset;
        }
        longest = suspensions.total;
        is_longer
    });
    longest
}

/// Offset between the clock that counts suspensions and the one that does not, or a little less.
/// The clock without suspensions is read last, so that a delay of any length between the two
/// readings does not count as a suspension.
fn read_offset() -> Duration {
    let with_suspensions = to_duration(clock_gettime(ClockId::Boottime));
    let without_suspensions = to_duration(clock_gettime(ClockId::Monotonic));
    with_suspensions.saturating_sub(without_suspensions)
}

fn to_duration(time: Timespec) -> Duration {
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanoseconds = u32::try_from(time.tv_nsec).unwrap_or_default();
    Duration::new(seconds, nanoseconds)
}

#[cfg(not(feature = "test-util"))]
fn simulated_span() -> Duration {
    Duration::ZERO
}

#[cfg(feature = "test-util")]
pub use simulation::simulate_suspension;
#[cfg(feature = "test-util")]
use simulation::simulated_span;

/// Suspensions that a test simulates for its own thread.
#[cfg(feature = "test-util")]
mod simulation {
    use std::cell::Cell;
    use std::time::Duration;

    use super::DETECTED;

    thread_local! {
        static SIMULATED_SPAN: Cell<Duration> = const { Cell::new(Duration::ZERO) };
    }

    /// Simulates for this thread that the machine was suspended for `span`.
    pub fn simulate_suspension(span: Duration) {
        SIMULATED_SPAN.set(SIMULATED_SPAN.get() + span);
        // Wakes all waits, which read the clock again; for other threads it has not changed.
        DETECTED.send_modify(|suspensions| suspensions.count += 1);
    }

    pub(super) fn simulated_span() -> Duration {
        SIMULATED_SPAN.get()
    }
}
