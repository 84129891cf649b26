//! Learns, by route, after which time callers leave without an answer.
//!
//! Each observation is the time for which a caller has waited, and whether it left or stayed until
//! it was answered or refused. The observations of a route are kept in a histogram whose weights
//! decay. A leaving time is learned where most of those who waited that long left within a narrow
//! range of times, as clients with a fixed time-out do. Callers that leave at any time, such as
//! users who close a window, do not form such a range.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use clayplank_clock::Instant;

/// Times are counted in buckets from this time on, in ms; shorter ones are in the first bucket.
const FIRST_BUCKET_MS: f64 = 50.0;

/// Ratio of the lower bounds of two successive buckets: the error of a learned time is at most 5%.
const BUCKET_RATIO: f64 = 1.05;

/// Number of buckets; the last one starts at 59 s, and goals of routes are seconds.
const BUCKETS: usize = 146;

/// Width of a range of leaving times, in buckets: its end is 1.34 times its start. Callers with the same
/// time-out leave within some 5% of it as their host sees it, and those of several clients differ
/// more.
const RANGE_BUCKETS: usize = 6;

/// Buckets between a time and about twice that time.
const BUCKETS_PER_DOUBLING: usize = 14;

/// Minimum share of leavers among those who waited until the start of the range. Below it, most of
/// the callers that are answered later still get their answer.
const MIN_SHARE_OF_WAITING: f32 = 0.5;

/// Minimum share of the range's leavers among all who left after half of its start, or later. Of
/// leavers spread evenly from zero to any time, a range contains at most 0.41 of these; callers
/// that leave much earlier do not matter.
const MIN_SHARE_OF_LEAVERS: f32 = 0.67;

/// Minimum number of leavers in the range for a time to be learned. Fewer are within one range by
/// chance; each of them is a lost call, so the number is no larger than that.
const MIN_LEAVERS: f32 = 8.0;

/// Minimum number, after decay, for a learned time to be kept. The host no longer lets callers wait
/// longer, so there are hardly any new leavers; with the former minimum, the time would be
/// forgotten at once and cost the next callers.
const MIN_LEAVERS_TO_KEEP: f32 = 2.0;

/// Quantile of the leavers in the range that is the learned time.
const LEAVING_QUANTILE: f32 = 0.1;

/// Half-life of the weights. A time learned from ten leavers is forgotten after 4.6 minutes, so
/// that callers who wait longer again cost little.
const HALF_LIFE: Duration = Duration::from_secs(120);

/// Maximum weight of the leavers of a route: any learned time is forgotten within six half-lives.
const MAX_LEAVERS: f32 = 128.0;

/// Maximum number of routes; for others, nothing is learned. A route takes 1.2 kB.
const MAX_ROUTES: usize = 256;

/// Routes without an observation for this time are removed when the maximum is reached: by then
/// their weights are below a thousandth.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20 * 60);

/// Observed waits of the callers of one route.
#[derive(Debug)]
struct RouteWaits {
    /// Weights of callers that left, by the time waited.
    left: [f32; BUCKETS],
    /// Weights of callers that were answered or refused.
    stayed: [f32; BUCKETS],
    decayed_at: Instant,
    observed_at: Instant,
    learned: Option<Duration>,
}

/// Lower bound of a bucket.
fn bucket_start(bucket: usize) -> Duration {
    Duration::from_secs_f64(FIRST_BUCKET_MS * BUCKET_RATIO.powi(bucket as i32) / 1e3)
}

fn bucket_of(waited: Duration) -> usize {
    let ratio = (waited.as_secs_f64() * 1e3 / FIRST_BUCKET_MS).max(1.0);
    ((ratio.ln() / BUCKET_RATIO.ln()) as usize).min(BUCKETS - 1)
}

/// Sum of each bucket and all later ones.
fn sums_from(weights: impl DoubleEndedIterator<Item = f32>) -> [f32; BUCKETS + 1] {
    let mut sums = [0.0; BUCKETS + 1];
    let mut sum = 0.0;
    for (weight, slot) in weights.rev().zip(sums[..BUCKETS].iter_mut().rev()) {
        sum += weight;
        *slot = sum;
    }
    sums
}

impl RouteWaits {
    fn new(now: Instant) -> Self {
        Self {
            left: [0.0; BUCKETS],
            stayed: [0.0; BUCKETS],
            decayed_at: now,
            observed_at: now,
            learned: None,
        }
    }

    fn scale(&mut self, factor: f32) {
        for weight in self.left.iter_mut().chain(&mut self.stayed) {
            *weight *= factor;
        }
    }

    fn decay(&mut self, now: Instant) {
        let elapsed = now - self.decayed_at;
        self.decayed_at = now;
        if !elapsed.is_zero() {
            self.scale((-elapsed.div_duration_f32(HALF_LIFE)).exp2());
        }
    }

    fn record(&mut self, now: Instant, waited: Duration, has_left: bool) {
        self.decay(now);
        self.observed_at = now;
        let weights = if has_left { &mut self.left } else { &mut self.stayed };
        weights[bucket_of(waited)] += 1.0;
        let leavers: f32 = self.left.iter().sum();
        if leavers > MAX_LEAVERS {
            self.scale(MAX_LEAVERS / leavers);
        }
    }

    /// Updates the learned time; returns whether one was learned or forgotten.
    fn update(&mut self, now: Instant) -> bool {
        self.decay(now);
        let learned = self.find_leaving_time();
        let has_changed = learned.is_some() != self.learned.is_some();
        self.learned = learned;
        has_changed
    }

    /// The earliest time at which most of those still waiting leave.
    fn find_leaving_time(&self) -> Option<Duration> {
        let min_leavers = if self.learned.is_some() { MIN_LEAVERS_TO_KEEP } else { MIN_LEAVERS };
        let left_from = sums_from(self.left.iter().copied());
        let waiting_from = sums_from(self.left.iter().zip(&self.stayed).map(|(l, s)| l + s));
        let start = (0..BUCKETS).find(|&start| {
            let leavers = left_from[start] - left_from[(start + RANGE_BUCKETS).min(BUCKETS)];
            let comparable = left_from[start.saturating_sub(BUCKETS_PER_DOUBLING)];
            leavers >= min_leavers
                && leavers >= MIN_SHARE_OF_WAITING * waiting_from[start]
                && leavers >= MIN_SHARE_OF_LEAVERS * comparable
        })?;
        let leavers = left_from[start] - left_from[(start + RANGE_BUCKETS).min(BUCKETS)];
        let first = (start..BUCKETS).find(|&bucket| {
            left_from[start] - left_from[bucket + 1] >= LEAVING_QUANTILE * leavers
        })?;
        Some(bucket_start(first))
    }
}

/// Times after which callers leave, by route. A new one knows none.
#[derive(Debug, Default)]
pub struct LeavingTimes {
    routes: Mutex<BTreeMap<String, RouteWaits>>,
}

impl LeavingTimes {
    fn lock(&self) -> MutexGuard<'_, BTreeMap<String, RouteWaits>> {
        self.routes.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records a caller that left after this time without an answer.
    pub fn record_left(&self, route: &str, waited: Duration) {
        self.record(route, waited, true);
    }

    /// Records a caller that was answered or refused after this time.
    pub fn record_stayed(&self, route: &str, waited: Duration) {
        self.record(route, waited, false);
    }

    fn record(&self, route: &str, waited: Duration, has_left: bool) {
        let now = Instant::now();
        let mut routes = self.lock();
        if !routes.contains_key(route) {
            if routes.len() >= MAX_ROUTES {
                routes.retain(|_, waits| now - waits.observed_at < IDLE_TIMEOUT);
            }
            if routes.len() >= MAX_ROUTES {
                return;
            }
            routes.insert(route.to_owned(), RouteWaits::new(now));
        }
        if let Some(waits) = routes.get_mut(route) {
            waits.record(now, waited, has_left);
        }
    }

    /// Time after which callers of a route leave; `None` if none is known.
    pub fn leaving_time(&self, route: &str) -> Option<Duration> {
        let mut routes = self.lock();
        let waits = routes.get_mut(route)?;
        let has_changed = waits.update(Instant::now());
        let learned = waits.learned;
        drop(routes);
        if has_changed {
            log_change(route, learned);
        }
        learned
    }

    /// All routes with a known leaving time.
    pub fn learned(&self) -> Vec<(String, Duration)> {
        let routes: Vec<_> = self.lock().keys().cloned().collect();
        let learned = routes.into_iter().filter_map(|route| {
            let leaving_time = self.leaving_time(&route)?;
            Some((route, leaving_time))
        });
        learned.collect()
    }
}

fn log_change(route: &str, learned: Option<Duration>) {
    match learned {
        Some(leaving_time) => log::info!(target: "forward",
            route = route, leaving_ms = leaving_time.as_millis() as u64;
            "Learned after which time callers of a route leave"),
        None => log::info!(target: "forward",
            route = route;
            "The time after which callers of a route leave is no longer known"),
    }
}
