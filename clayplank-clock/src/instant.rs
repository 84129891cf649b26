//! A reading of elapsed time.

use std::ops::{Add, Sub};
use std::sync::OnceLock;
use std::time::Duration;

use crate::suspension;

/// When the process first asked, by the runtime's clock.
static START: OnceLock<tokio::time::Instant> = OnceLock::new();

/// A reading of elapsed time, which counts while the machine is suspended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Instant(Duration);

impl Instant {
    /// The time now.
    pub fn now() -> Self {
        // The runtime's clock first: a suspension between the two counts from the next time on.
        let awake = START.get_or_init(tokio::time::Instant::now).elapsed();
        Self(awake + suspension::span())
    }

    /// The time that has passed since.
    pub fn elapsed(self) -> Duration {
        Self::now().saturating_duration_since(self)
    }

    /// The time from an earlier reading to this one; none if it was later.
    pub fn saturating_duration_since(self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }
}

impl Add<Duration> for Instant {
    type Output = Self;

    fn add(self, span: Duration) -> Self {
        Self(self.0.saturating_add(span))
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

    /// Not before the first reading of the process.
    fn sub(self, span: Duration) -> Self {
        Self(self.0.saturating_sub(span))
    }
}

/// Milliseconds since the process first asked; they count while the machine is suspended, and
/// never go back.
pub fn now_ms() -> u64 {
    Instant::now().0.as_millis() as u64
}
