//! Callers that send requests continuously, and reuse a connection until the host closes it.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use super::record::{Kind, ObservedRequest, Record};
use crate::client::{PersistentConnection, head};

/// Time limit for an answer, longer than the time limit of all routes.
pub const ANSWER_TIMEOUT: Duration = Duration::from_secs(12);

/// Time limit that callers send.
const DEADLINE: Duration = Duration::from_secs(9);

/// Faults that a request may ask its upstream to show.
const UPSTREAM_FAULTS: [&str; 6] = ["refuse", "lose", "break", "foreign", "unsealed", "slow"];

/// One in this many requests asks for a fault.
const REQUESTS_PER_FAULT: u32 = 5;

/// Sends requests to one entry host until `is_finished` is set.
pub fn run_caller(
    seed: u64,
    (entry, address): (usize, SocketAddr),
    record: &Record,
    is_finished: &AtomicBool,
) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut connection = PersistentConnection::new(address, ANSWER_TIMEOUT);
    for number in 0_u64.. {
        if is_finished.load(Ordering::SeqCst) {
            return;
        }
        let attempt = format!("{seed}-{number}");
        let (kind, path) = match rng.random_range(0..3) {
            0 => (Kind::Repeatable, "/repeatable/x".to_owned()),
            1 => (Kind::Once, "/once/x".to_owned()),
            _ => {
                let events = rng.random_range(1..20);
                (Kind::Stream { events }, format!("/stream/events/{events}"))
            }
        };
        let has_fault = rng.random_range(0..REQUESTS_PER_FAULT) == 0;
        let requested_fault =
            has_fault.then(|| UPSTREAM_FAULTS[rng.random_range(0..UPSTREAM_FAULTS.len())]);
        let header = |fault| format!("x-standin-fault: {fault}\r\n");
        let headers = requested_fault.map(header).unwrap_or_default();
        let sent_at = Instant::now();
        let head = head(&attempt, &path, DEADLINE.as_millis(), &headers, &attempt);
        let answer = connection.send(&head, &attempt).ok();
        let ended_at = Instant::now();
        record.push(ObservedRequest {
            attempt,
            kind,
            entry,
            sent_at,
            ended_at,
            deadline: sent_at + DEADLINE,
            requested_fault,
            answer,
        });
        std::thread::sleep(Duration::from_millis(rng.random_range(5..40)));
    }
}
