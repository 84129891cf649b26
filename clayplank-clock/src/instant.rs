//! Timestamps of elapsed time that include suspensions of the machine.

use std::ops::{Add, Sub};
use std::sync::OnceLock;
use std::time::Duration;

use crate::suspension;

/// Zero of all timestamps, [`EARLIER_CLOCKS_MARGIN`] before the first reading of the runtime's clock
/// by this process.
static START: OnceLock<tokio::time::Instant> = OnceLock::new();

/// Maximum time by which the clock of another runtime may have begun before the first reading.
/// Tests run side by side with a paused clock each; a daemon has one runtime.
const EARLIER_CLOCKS_MARGIN: Duration =
    if cfg!(feature = "test-util") { Duration::from_secs(60) } else { Duration::ZERO };

/// The zero of all timestamps, if this is the first reading.
fn zero() -> tokio::time::Instant {
    let now = tokio::time::Instant::now();
    now.checked_sub(EARLIER_CLOCKS_MARGIN).unwrap_or(now)
}

/// A timestamp of elapsed time, which includes the time for which the machine was suspended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Instant(Duration);

impl Instant {
    /// The current time.
    pub fn now() -> Self {
        // The runtime's clock is read first, so that a suspension between the two readings is
        // included.
        let awake = START.get_or_init(zero).elapsed();
        Self(awake + suspension::total_suspended())
    }

    /// The time since this timestamp.
    pub fn elapsed(self) -> Duration {
        Self::now().saturating_duration_since(self)
    }

    /// The time from an earlier timestamp to this one; zero if `earlier` is the later one.
    pub fn saturating_duration_since(self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }
}

impl Add<Duration> for Instant {
    type Output = Self;

    fn add(self, duration: Duration) -> Self {
        Self(self.0.saturating_add(duration))
    }
}

impl Sub for Instant {
    type Output = Duration;

    /// The same as [`Instant::saturating_duration_since`].
    fn sub(self, earlier: Self) -> Duration {
        self.saturating_duration_since(earlier)
    }
}

impl Sub<Duration> for Instant {
    type Output = Self;

    /// Saturates at the zero of all timestamps.
    fn sub(self, duration: Duration) -> Self {
        Self(self.0.saturating_sub(duration))
    }
}

/// Milliseconds since the first reading of the clock by this process. They include suspensions of
/// the machine and never decrease.
pub fn now_ms() -> u64 {
    Instant::now().0.as_millis() as u64
}
