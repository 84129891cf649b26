//! Callers that send requests continuously, and reuse a connection until the host closes it.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use super::record::{Kind, ObservedRequest, Record};
use crate::answer::{Answer, read_answer};
use crate::system::KEY;

/// Time limit for an answer, longer than the time limit of all routes.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(12);

/// Faults that a request may ask its upstream to show.
const UPSTREAM_FAULTS: [&str; 6] = ["refuse", "lose", "break", "foreign", "unsealed", "slow"];

/// One in this many requests asks for a fault.
const REQUESTS_PER_FAULT: u32 = 5;

/// A connection that is reused for many requests.
struct PersistentConnection {
    address: SocketAddr,
    stream: Option<BufReader<TcpStream>>,
}

impl PersistentConnection {
    fn send(&mut self, head: &str, body: &str) -> std::io::Result<Answer> {
        if self.stream.is_none() {
            let stream = TcpStream::connect_timeout(&self.address, Duration::from_secs(1))?;
            stream.set_read_timeout(Some(ANSWER_TIMEOUT))?;
            self.stream = Some(BufReader::new(stream));
        }
        let answer = self.exchange(head, body);
        let ends = answer.as_ref().map_or(true, |answer| {
            !answer.is_complete || answer.header("connection").is_some_and(|value| value == "close")
        });
        if ends {
            self.stream = None;
        }
        answer
    }

    fn exchange(&mut self, head: &str, body: &str) -> std::io::Result<Answer> {
        let Some(stream) = &mut self.stream else {
            return Err(std::io::Error::other("no connection"));
        };
        stream.get_mut().write_all(format!("{head}\r\n{body}").as_bytes())?;
        read_answer(stream)
    }
}

/// Sends requests to one entry host until `is_finished` is set.
pub fn run_caller(
    seed: u64,
    (entry, address): (usize, SocketAddr),
    record: &Record,
    is_finished: &AtomicBool,
) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut connection = PersistentConnection { address, stream: None };
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
        let sent_at = Instant::now();
        let answer = connection.send(&head(&attempt, &path, requested_fault), &attempt).ok();
        let ended_at = Instant::now();
        record.push(ObservedRequest {
            attempt,
            kind,
            entry,
            sent_at,
            ended_at,
            requested_fault,
            answer,
        });
        std::thread::sleep(Duration::from_millis(rng.random_range(5..40)));
    }
}

fn head(attempt: &str, path: &str, requested_fault: Option<&str>) -> String {
    let requested_fault = requested_fault.map_or_else(String::new, |requested_fault| {
        format!("x-standin-fault: {requested_fault}\r\n")
    });
    format!(
        "POST {path} HTTP/1.1\r\nhost: dala.example\r\nauthorization: Bearer {KEY}\r\n\
         x-clayplank-attempt-id: {attempt}\r\nx-clayplank-deadline-ms: 9000\r\n{requested_fault}\
         content-length: {}\r\n",
        attempt.len()
    )
}
