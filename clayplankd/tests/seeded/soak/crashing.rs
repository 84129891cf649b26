//! A caller whose request terminates the upstreams that run it, concurrent with all other faults.

use std::sync::Mutex;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use super::run::Shared;
use super::schedule::ENTRIES;
use crate::crashing_upstreams::{CRASHING_BODY, Fleet};
use crate::system::{call_with_key, wait_for};

/// Upstreams of the service that the request terminates.
pub const UPSTREAMS: u8 = 5;

/// Once one host refuses the request, all others must do so within the lease of their settings (3.2
/// s) plus the longest pause of a process (4 s).
const PROPAGATION_TIME: Duration = Duration::from_secs(8);

/// Instant of the first refusal of the request because it terminates upstreams.
#[derive(Debug, Default)]
pub struct Refused(Mutex<Option<Instant>>);

fn send(shared: &Shared, entry: usize, attempt: &str, body: &str) -> (u16, String) {
    let address = shared.system.lock().unwrap().entries[entry].callers();
    let answer = call_with_key(address, attempt, 2_000, "/crashing/x", body);
    (answer.status, answer.text())
}

/// Sends the request to randomly chosen entry hosts until the run is finished.
pub fn run_crashing(shared: &Shared, refused: &Refused, seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    for number in 0_u64.. {
        if shared.is_finished.load(Ordering::SeqCst) {
            return;
        }
        let entry = rng.random_range(0..ENTRIES);
        let (_, text) = send(shared, entry, &format!("crashing-{seed}-{number}"), CRASHING_BODY);
        if text.contains("held_back") {
            refused.0.lock().unwrap().get_or_insert_with(Instant::now);
        }
        std::thread::sleep(Duration::from_millis(rng.random_range(50..250)));
    }
}

/// Checks that the request was quarantined at all hosts, and that other requests to its service are
/// served.
pub fn check_quarantine(shared: &Shared, fleet: &Fleet, refused: &Refused) -> Vec<String> {
    for entry in 0..ENTRIES {
        let mut number = 0;
        wait_for("service at upstreams that a request terminated", || {
            number += 1;
            send(shared, entry, &format!("beside-{entry}-{number}"), "beside").0 == 200
        });
    }
    let Some(refused) = *refused.0.lock().unwrap() else {
        return vec!["the crashing request was never quarantined".to_owned()];
    };
    let events = fleet.events();
    let late =
        events.request_starts.iter().filter(|started| **started > refused + PROPAGATION_TIME);
    late.map(|started| {
        let after_ms = started.duration_since(refused).as_millis();
        format!("the crashing request reached an upstream {after_ms} ms after it was quarantined")
    })
    .collect()
}
