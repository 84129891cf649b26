//! Upstreams that register, depart and serve on, concurrent with all other faults.

use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use clayplank_standin::SharedSignals;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use super::run::Shared;
use super::schedule::FAULT_PERIOD_MS;
use crate::client::call;
use crate::departures::DRAIN_TIME;
use crate::system::System;

/// The upstreams, with the last bytes of their addresses.
pub const UPSTREAMS: [(&str, u8); 4] = [("d1", 35), ("d2", 36), ("d3", 37), ("d4", 38)];

/// Range of the time from the registration to the departure, in ms.
const LIFETIME_MS: std::ops::Range<u64> = 500..3_000;

/// Pause after a report that was not acknowledged.
const PAUSE: Duration = Duration::from_millis(100);

/// An upstream, and the time at which its departure was acknowledged.
pub struct Departed {
    pub signals: SharedSignals,
    pub acknowledged_at: Option<Instant>,
}

/// Starts the upstreams, which are not registered yet.
pub fn start_departing(system: &System) -> Vec<SharedSignals> {
    UPSTREAMS.iter().map(|(id, last)| system.start_upstream(id, *last)).collect()
}

/// Registers an upstream at a random time, and reports later that it departs. Each report goes to
/// one keeper after the other until one acknowledges it.
pub fn run_departing(
    shared: &Shared,
    number: usize,
    signals: SharedSignals,
    seed: u64,
) -> Departed {
    let (id, last) = UPSTREAMS[number];
    let mut rng = SmallRng::seed_from_u64(seed * 10 + number as u64);
    let mut report = |sequence: u64, status: &str| {
        let path = format!("/v1/upstreams/{id}");
        while !shared.is_finished.load(Ordering::SeqCst) {
            let (control, body) = {
                let system = shared.system.lock().unwrap();
                let keeper = &system.keepers[rng.random_range(0..system.keepers.len())];
                (keeper.control(), system.heartbeat(id, last, sequence, status).to_string())
            };
            let method = if status == "gone" { "DELETE" } else { "PUT" };
            if call(control, method, &path, &[], &body).status == 200 {
                return Some(Instant::now());
            }
            std::thread::sleep(PAUSE);
        }
        None
    };
    let mut times = SmallRng::seed_from_u64(!seed + number as u64);
    std::thread::sleep(Duration::from_millis(times.random_range(0..FAULT_PERIOD_MS)));
    report(1, "ready");
    std::thread::sleep(Duration::from_millis(times.random_range(LIFETIME_MS)));
    if times.random_bool(0.5) {
        report(2, "draining");
    }
    Departed { signals, acknowledged_at: report(3, "gone") }
}

/// Checks that no request reached an upstream after the time for its departure, once the faults
/// were over.
pub fn check_departed(departed: &[Departed], calm_from: Instant) -> Vec<String> {
    let mut violations = Vec::new();
    for (one, (id, _)) in departed.iter().zip(UPSTREAMS) {
        let Some(acknowledged_at) = one.acknowledged_at else {
            violations.push(format!("the departure of {id} was not acknowledged"));
            continue;
        };
        let allowed_until = acknowledged_at.max(calm_from) + DRAIN_TIME;
        let late = one.signals.arrivals().into_iter().filter(|at| *at > allowed_until).count();
        if late > 0 {
            violations.push(format!("{id} got {late} requests after its departure"));
        }
    }
    violations
}
