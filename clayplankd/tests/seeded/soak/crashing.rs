//! Callers whose requests terminate the upstreams that run them, concurrent with all other faults: one
//! repeats a request, the other sends different prompts with one part in common.

use std::sync::Mutex;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use super::run::Shared;
use super::schedule::ENTRIES;
use crate::crashing_upstreams::{CRASHING_BODY, CRASHING_PART, Fleet};
use crate::system::{call_with_headers, wait_for};

/// Upstreams of the service that the request terminates.
pub const UPSTREAMS: u8 = 5;

/// What terminates the upstreams.
#[derive(Clone, Copy, Debug)]
pub enum Crashing {
    Request,
    PromptPart,
}

/// Once one host refuses the requests, all others must do so within the lease of their settings (3.2
/// s) plus the longest pause of a process (4 s).
const PROPAGATION_TIME: Duration = Duration::from_secs(8);

/// Instants of the first refusal of the request, and of a prompt with the part, because they
/// terminate upstreams.
#[derive(Debug, Default)]
pub struct Refused {
    request: Mutex<Option<Instant>>,
    prompt_part: Mutex<Option<Instant>>,
}

impl Refused {
    fn first(&self, crashing: Crashing) -> &Mutex<Option<Instant>> {
        match crashing {
            Crashing::Request => &self.request,
            Crashing::PromptPart => &self.prompt_part,
        }
    }
}

fn send(
    shared: &Shared,
    entry: usize,
    attempt: &str,
    (path, parts, body): (&str, &str, &str),
) -> (u16, String) {
    let address = shared.system.lock().unwrap().entries[entry].callers();
    let headers = [("x-clayplank-prompt-parts", parts)];
    let answer = call_with_headers(address, attempt, 2_000, path, &headers, body);
    (answer.status, answer.text())
}

/// Sends the crashing requests to randomly chosen entry hosts until the run is finished.
pub fn run_crashing(shared: &Shared, refused: &Refused, crashing: Crashing, seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed ^ crashing as u64);
    for number in 0_u64.. {
        if shared.is_finished.load(Ordering::SeqCst) {
            return;
        }
        let entry = rng.random_range(0..ENTRIES);
        let attempt = format!("{crashing:?}-{seed}-{number}");
        let parts = format!("a1:40,{CRASHING_PART}:200,c{number:x}:900");
        // The upstream terminates before the end of the second one's answer.
        let (_, text) = match crashing {
            Crashing::Request => send(shared, entry, &attempt, ("/crashing/x", "", CRASHING_BODY)),
            Crashing::PromptPart => {
                send(shared, entry, &attempt, ("/crashing/events/200", &parts, &attempt))
            }
        };
        if text.contains("held_back") {
            refused.first(crashing).lock().unwrap().get_or_insert_with(Instant::now);
        }
        std::thread::sleep(Duration::from_millis(rng.random_range(50..250)));
    }
}

/// Checks that the request and the part were quarantined at all hosts, and that other requests to its service are
/// served.
pub fn check_quarantine(shared: &Shared, fleet: &Fleet, refused: &Refused) -> Vec<String> {
    for entry in 0..ENTRIES {
        let mut number = 0;
        wait_for("service at upstreams that a request terminated", || {
            number += 1;
            let request = ("/crashing/x", "a1:40,b1:900", "beside");
            send(shared, entry, &format!("beside-{entry}-{number}"), request).0 == 200
        });
    }
    let events = fleet.events();
    let starts =
        [(Crashing::Request, &events.request_starts), (Crashing::PromptPart, &events.part_starts)];
    let violations = starts.into_iter().flat_map(|(crashing, starts)| {
        let Some(refused) = *refused.first(crashing).lock().unwrap() else {
            return vec![format!("{crashing:?} was never quarantined")];
        };
        let late = starts.iter().filter(|started| **started > refused + PROPAGATION_TIME);
        let after_ms = late.map(|started| started.duration_since(refused).as_millis());
        after_ms
            .map(|after_ms| {
                format!("{crashing:?} reached an upstream {after_ms} ms after its quarantine")
            })
            .collect()
    });
    violations.collect()
}
