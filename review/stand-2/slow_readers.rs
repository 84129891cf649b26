//! Clients read slowly while the machine that took their requests gets SIGTERM. The workers have run the
//! requests to their ends and the machine has the answers: none may be cut off before the grace period ends.

mod common;

use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::os::fd::AsRawFd;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use common::*;

const CLIENTS: usize = 6;
const EVENTS: usize = 40;
const EVENT_BYTES: usize = 390;
const EVENT_PAUSE_MS: u64 = 20;

/// Time for which a slow client reads nothing: less than `graceS`, and a third of its time limit. Clients of
/// this route give a stream up after 16 s without an event.
const SLOW_MS: u64 = 5_000;

unsafe extern "C" {
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
}

fn main() {
    if let Err(cause) = start_record() {
        println!("{cause}");
        std::process::exit(COULD_NOT_RUN);
    }
    finish(run());
}

/// Gives a client a small receive buffer, as on a small machine.
fn use_small_buffer(stream: &TcpStream) {
    const SOL_SOCKET: i32 = 1;
    const SO_RCVBUF: i32 = 8;
    let size = 4_096;
    // SAFETY: the socket is open, and the value is an `int` of the given length.
    unsafe { setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_RCVBUF, &size, 4) };
}

/// What a client got for its second request on its connection.
struct Outcome {
    id: String,
    answer: Result<Answer, String>,
}

fn client(address: std::net::SocketAddr, is_slow: bool) -> Res<Outcome> {
    let stream = TcpStream::connect(address).map_err(text)?;
    stream.set_nodelay(true).map_err(text)?;
    stream.set_read_timeout(Some(ms(15_000))).map_err(text)?;
    use_small_buffer(&stream);
    let mut stream = BufReader::with_capacity(256, stream);
    let mut post = |is_last: bool| -> Res<Outcome> {
        let id = attempt_id();
        let parts = format!("{id}:1460");
        let headers = [("Model", "m"), ("Token-Counts", "1460,2280"), ("Prompt-Prefix", parts.as_str())];
        stream.get_mut().write_all(&request_bytes("POST", "/s/x", &id, 15_000, &headers, b"prompt")).map_err(text)?;
        note!("client: sent {id}");
        if is_last && is_slow {
            sleep_ms(SLOW_MS);
            note!("client: begins to read {id}");
        }
        let answer = read_answer(&mut stream);
        Ok(Outcome { id, answer })
    };
    let first = post(false)?;
    let is_served = first.answer.as_ref().is_ok_and(|answer| answer.status() == 200 && answer.is_complete);
    if !is_served {
        return Err(format!("the first request of a client, {}, was not served: {:?}", first.id, first.answer.err()));
    }
    post(true)
}

fn run() -> Res<Option<String>> {
    // Bounds of the site `darnau-clayplank-grown`.
    let bounds = Bounds { apply_ms: 2_500, drain_ms: 2_500, ..Bounds::default() };
    let mut system = System::start(5, 2, bounds)?;
    let net = system.net;
    let control: Vec<_> = system.keepers().iter().map(|last| net.control(*last)).collect();
    let handler: Arc<Handler> = Arc::new(|worker: &Worker, head: &Head, _: &[u8], stream: &mut TcpStream| {
        let id = head.get("attempt-id").unwrap_or("").to_owned();
        let after: usize = head.get("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0);
        let answer = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nAttempt-Id: {id}\r\nResponse-Seal: {}\r\n\
             Transfer-Encoding: chunked\r\n\r\n",
            seal(worker, &id)
        );
        stream.write_all(answer.as_bytes())?;
        for event in after + 1..=EVENTS {
            sleep_ms(EVENT_PAUSE_MS);
            let event = format!("id: {event}\ndata: {}\n\n", "x".repeat(EVENT_BYTES - 15));
            stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
        }
        stream.write_all(b"0\r\n\r\n")?;
        note!("{}: has written all of {id}", worker.id);
        Ok(true)
    });
    let mut workers = Vec::new();
    for number in 0..3u8 {
        let (id, address) = (format!("i-{number}"), net.worker(101 + number));
        workers.push(Worker::start(&id, "pool", "hall-1", address, control.clone(), Arc::clone(&handler))?);
    }
    let routes = [route("/s/", "streaming", "pool", 15_000, 4_000, 2, ",\"stickySessions\":true,\"resumable\":true,\"gap_aim_ms\":1000")];
    system.publish(&manifest(1, &routes, &[engine("pool")]), Duration::from_secs(20))?;
    system.wait_ready(Duration::from_secs(10))?;
    // `contactMs` without an impairment.
    sleep_ms(5_000);

    let host = system.entries()[0];
    let callers: Vec<_> = (0..CLIENTS)
        .map(|_| {
            let address = net.callers(host);
            thread::spawn(move || client(address, has_trouble()))
        })
        .collect();
    // The first requests take 0.8 s; the second ones are under way then.
    sleep_ms(1_300);
    system.signal(host, "TERM");
    let mut cut = Vec::new();
    for caller in callers {
        let Outcome { id, answer } = caller.join().map_err(|_| "a client failed")??;
        let runs: u32 = workers.iter().map(|worker| worker.ran(&id)).sum();
        let seen = match &answer {
            Ok(answer) => format!("{}, {} bytes, complete: {}, {}", answer.status(), answer.body.len(), answer.is_complete, answer.cause),
            Err(cause) => cause.clone(),
        };
        note!("client: {id} got {seen}; workers ran it {runs} times");
        let is_complete = answer.is_ok_and(|answer| answer.is_complete);
        if runs > 0 && !is_complete {
            cut.push(format!("{id}: {seen}"));
        }
    }
    let ended = system.wait_for_end(host, Duration::from_secs(9));
    note!("host-{host} ended: {ended:?}");
    for panic in system.panics() {
        note!("{panic}");
    }
    // "More than three times".
    let is_broken = cut.len() > 3;
    Ok(is_broken.then(|| {
        format!("LOST: {} of {CLIENTS} requests on kept connections were passed on to sound workers, and ended without a complete answer: {}", cut.len(), cut.join("; "))
    }))
}
