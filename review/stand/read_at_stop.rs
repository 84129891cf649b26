//! An edge gets SIGTERM while a client still takes in the answer to a request that has run.

mod common;

use std::io::BufReader;
use std::net::TcpStream;
use std::path::Path;
use std::time::{Duration, Instant};

use common::*;

/// Size of the answer in bytes, and what the client takes in of it each 20 ms.
const BYTES: usize = 8_000_000;
const PIECE: usize = 20_000;

/// Time limit of the client, and of the route.
const DEADLINE_MS: u64 = 15_000;

const CLIENTS: usize = 3;

fn main() {
    let record = Record::create(Path::new(&std::env::args().nth(1).expect("path of record.txt")));
    let has_trouble = has_trouble();
    let mut system = System::start(record.clone(), Site::darnau(), 5, 2);
    let workers = [
        Worker::start(
            &system,
            "i-app-1",
            "app",
            63,
            Work::Plain { slots: 6, work_ms: 60, bytes: BYTES },
        ),
        Worker::start(
            &system,
            "i-app-2",
            "app",
            64,
            Work::Plain { slots: 6, work_ms: 60, bytes: BYTES },
        ),
    ];
    let manifest = Manifest {
        version: 7,
        slots: 16,
        stream: (3_000, 15_000, 800),
        plain: (1_000, DEADLINE_MS),
        tenants: one_tenant(),
    };
    if !system.publish(&manifest.text(), Duration::from_secs(20)) {
        fail(&system, "the manifest was not acknowledged");
    }
    system.wait_ready(Duration::from_secs(20));
    std::thread::sleep(Duration::from_millis(3_000));

    let front = system.edges[0].front();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|n| {
            let record = record.clone();
            std::thread::spawn(move || {
                let attempt = format!("reading-{n}");
                let headers = client_headers(&attempt, DEADLINE_MS, "");
                let mut stream = TcpStream::connect(front).expect("the edge takes connections");
                set_small_receive_buffer(&stream, 32 << 10);
                stream.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
                record.line(&format!("client sends {attempt} to edge-1"));
                let sent = Instant::now();
                send(&mut stream, "POST", "/post/2f", &borrowed(&headers), "order").unwrap();
                let mut reader = BufReader::with_capacity(4_096, stream);
                let mut taken = 0;
                let answer = read_answer(&mut reader, |bytes| {
                    taken += bytes.len();
                    let due = Duration::from_millis(20) * (taken / PIECE) as u32;
                    std::thread::sleep(due.saturating_sub(sent.elapsed()));
                });
                let seen = match &answer {
                    Ok(answer) if answer.is_complete => format!("{} whole", answer.status),
                    Ok(answer) => format!(
                        "{} cut after {} of {BYTES} bytes",
                        answer.status,
                        answer.body.len()
                    ),
                    Err(error) => format!("no answer ({error})"),
                };
                let waited = sent.elapsed();
                record.line(&format!(
                    "client gets for {attempt}: {seen}, after {} ms",
                    waited.as_millis()
                ));
                (attempt, answer.is_ok_and(|answer| answer.is_complete), waited)
            })
        })
        .collect();
    std::thread::sleep(Duration::from_millis(1_000));
    let stopped = Instant::now();
    if has_trouble {
        record.line("SIGTERM to edge-1");
        system.edges[0].signal(SIGTERM);
        while !system.edges[0].has_ended() && stopped.elapsed() < Duration::from_secs(9) {
            std::thread::sleep(Duration::from_millis(20));
        }
        record.line(&format!("edge-1 ended {} ms after SIGTERM", stopped.elapsed().as_millis()));
    }
    let outcomes: Vec<_> = clients.into_iter().map(|client| client.join().unwrap()).collect();
    let ran: Vec<String> =
        workers.iter().flat_map(|worker| worker.runs.lock().unwrap().clone()).collect();
    let mut lost = 0;
    for (attempt, is_whole, waited) in &outcomes {
        if !is_whole && ran.contains(attempt) && waited.as_millis() < u128::from(DEADLINE_MS) {
            lost += 1;
            record.line(&format!(
                "LOST: {attempt} has run, and its answer was cut off within its time limit"
            ));
        }
    }
    let whole = outcomes.iter().filter(|(_, is_whole, _)| *is_whole).count();
    record.line(&format!("{whole} of {CLIENTS} answered whole, {lost} lost"));
    drop(system);
    if !has_trouble && whole < CLIENTS {
        std::process::exit(2);
    }
    std::process::exit(i32::from(lost > 0));
}

fn fail(system: &System, why: &str) -> ! {
    system.record.line(&format!("could not run: {why}"));
    system.keep_logs();
    for host in system.cores.iter().chain(&system.edges) {
        host.signal(SIGKILL);
    }
    std::process::exit(2);
}
