//! Delay of the event loop, by which a host recognizes that it has more work than it can process.
//!
//! A host that receives most new connections of its data centre, or of all, would serve them late,
//! and answer its peers late as well. It closes a share of the new connections unread instead, as
//! their callers may repeat any request at once on another host, and finally reports that it is not
//! ready. Open connections are served on.

use std::collections::VecDeque;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use clayplank_clock::Instant;

/// Interval between two measurements of the delay, each of which takes a wake-up.
const CALM_INTERVAL: Duration = Duration::from_millis(100);

/// The same after a measurement of at least [`MIN_SHED_DELAY`].
const BUSY_INTERVAL: Duration = Duration::from_millis(25);

/// Number of latest measurements of which the shortest delay counts. A long computation, such as
/// the change of a large plan, delays one of them; too much work delays all.
const SAMPLES: usize = 6;

/// Delay from which on connections are closed. A request passes the loop six times or more before
/// its first byte.
const MIN_SHED_DELAY: Duration = Duration::from_millis(15);

/// Delay from which on all new connections are closed, and the host is not ready until the delay
/// falls below [`MIN_SHED_DELAY`].
const MAX_SHED_DELAY: Duration = Duration::from_millis(60);

/// Number of requests in progress below which the delay does not count: something else on the
/// machine then causes it, and closing connections would not shorten it.
const MIN_SHED_REQUESTS: u64 = 32;

#[derive(Debug, Default)]
struct Samples {
    delays: VecDeque<Duration>,
    is_overloaded: bool,
}

impl Samples {
    /// The shortest of the latest delays; zero until there are enough.
    fn shortest(&self) -> Duration {
        let is_complete = self.delays.len() == SAMPLES;
        self.delays.iter().min().copied().filter(|_| is_complete).unwrap_or_default()
    }
}

/// Delay of the event loop that serves callers.
#[derive(Debug, Default)]
pub struct LoopDelay {
    samples: Mutex<Samples>,
}

impl LoopDelay {
    fn lock(&self) -> MutexGuard<'_, Samples> {
        self.samples.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Measures the delay until the future is dropped; calls `on_change` when the host becomes
    /// overloaded and when it no longer is. `in_progress` returns the number of requests.
    pub(crate) async fn measure(&self, in_progress: impl Fn() -> u64, on_change: impl Fn(bool)) {
        let mut interval = CALM_INTERVAL;
        loop {
            let expected_at = Instant::now() + interval;
            clayplank_clock::sleep_until(expected_at).await;
            let delay = expected_at.elapsed();
            if let Some(is_overloaded) = self.record(delay, in_progress()) {
                on_change(is_overloaded);
            }
            interval = if delay < MIN_SHED_DELAY { CALM_INTERVAL } else { BUSY_INTERVAL };
        }
    }

    /// Records a delay, measured beside this number of requests in progress; returns whether the
    /// host is overloaded if that has changed.
    pub fn record(&self, delay: Duration, in_progress: u64) -> Option<bool> {
        let delay = if in_progress < MIN_SHED_REQUESTS { Duration::ZERO } else { delay };
        let mut samples = self.lock();
        if samples.delays.len() == SAMPLES {
            samples.delays.pop_front();
        }
        samples.delays.push_back(delay);
        let shortest = samples.shortest();
        let threshold = if samples.is_overloaded { MIN_SHED_DELAY } else { MAX_SHED_DELAY };
        let is_overloaded = shortest >= threshold;
        let was_overloaded = std::mem::replace(&mut samples.is_overloaded, is_overloaded);
        (was_overloaded != is_overloaded).then_some(is_overloaded)
    }

    /// The shortest of the latest delays.
    pub fn shortest(&self) -> Duration {
        self.lock().shortest()
    }

    /// Share of new connections to close, from 0 to 1.
    pub fn shed_share(&self) -> f64 {
        let excess = self.shortest().saturating_sub(MIN_SHED_DELAY);
        (excess.as_secs_f64() / (MAX_SHED_DELAY - MIN_SHED_DELAY).as_secs_f64()).min(1.0)
    }
}
