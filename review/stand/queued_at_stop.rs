//! An edge gets SIGTERM while requests that it has read wait for a slot at a worker.

mod common;

use std::path::Path;
use std::time::{Duration, Instant};

use common::*;

/// Slots of each of the two workers.
const SLOTS: usize = 4;

/// Time between two events of a stream, as the manifest's model says for a full batch.
const EVENT_MS: u64 = 58;

/// Tokens in and out of the streams that fill the slots, and of the requests that wait.
const FILL: &str = "10000,13500";
const WAITING: &str = "10000,285";

/// Tokens of the streams before.
const USUAL: &str = "10000,9500";

const CLIENTS: usize = 6;

/// Time limit of the clients that wait.
const DEADLINE_MS: u64 = 15_000;

/// Time between the SIGTERM and the first client that comes back.
const BEFORE_RETURN: Duration = Duration::from_millis(400);

/// `lossSlackMs` of the site.
const LOSS_SLACK: Duration = Duration::from_millis(200);

struct Outcome {
    attempt: String,
    answered: Result<Answer, String>,
    waited: Duration,
    /// Whether the client's time limit had not passed when its connection ended.
    is_in_time: bool,
}

fn main() {
    let record = Record::create(Path::new(&std::env::args().nth(1).expect("path of record.txt")));
    let has_trouble = has_trouble();
    let mut system = System::start(record.clone(), Site::darnau(), 5, 2);
    let workers = [
        Worker::start(
            &system,
            "i-pool-1",
            "pool",
            61,
            Work::Engine { slots: SLOTS, event_ms: EVENT_MS },
        ),
        Worker::start(
            &system,
            "i-pool-2",
            "pool",
            62,
            Work::Engine { slots: SLOTS, event_ms: EVENT_MS },
        ),
        Worker::start(
            &system,
            "i-app-1",
            "app",
            63,
            Work::Plain { slots: 6, work_ms: 60, bytes: 800 },
        ),
    ];
    let manifest = Manifest {
        version: 7,
        slots: SLOTS,
        stream: (4_000, 15_000, 1_000),
        plain: (300, 4_000),
        tenants: one_tenant(),
    };
    if !system.publish(&manifest.text(), Duration::from_secs(20)) {
        fail(&system, "the manifest was not acknowledged");
    }
    system.wait_ready(Duration::from_secs(20));
    wait_served(&system);

    // Some streams of usual length come first, by which the system knows what one takes.
    let front = system.edges[0].front();
    let warm: Vec<_> = (0..CLIENTS)
        .map(|n| {
            std::thread::spawn(move || {
                let headers = client_headers(&format!("warm-{n}"), 15_000, USUAL);
                call(
                    front,
                    "POST",
                    "/ask/2f",
                    &borrowed(&headers),
                    "prompt",
                    Duration::from_secs(20),
                )
            })
        })
        .collect();
    let served = warm.into_iter().map(|one| one.join().unwrap());
    let served = served.filter(|one| one.as_ref().is_ok_and(|a| a.status == 200 && a.is_complete));
    if served.count() < CLIENTS {
        fail(&system, "a first request was not served");
    }

    // Long streams of callers of the second edge take all slots.
    let other = system.edges[1].front();
    let mut fills = Vec::new();
    for n in 0..2 * SLOTS {
        fills.push(std::thread::spawn(move || {
            let headers = client_headers(&format!("fill-{n}"), 15_000, FILL);
            call(other, "POST", "/ask/2f", &borrowed(&headers), "prompt", Duration::from_secs(20))
        }));
        std::thread::sleep(Duration::from_millis(15));
    }
    std::thread::sleep(Duration::from_millis(600));
    let running: usize = workers[..2]
        .iter()
        .map(|worker| {
            worker.runs.lock().unwrap().iter().filter(|id| id.starts_with("fill")).count()
        })
        .sum();
    record.line(&format!("{running} of {} slots are taken", 2 * SLOTS));

    // Clients are refused by the second edge, and are told when to come back.
    let first_tries: Vec<_> = (0..CLIENTS)
        .map(|n| {
            let record = record.clone();
            std::thread::spawn(move || {
                let headers = client_headers(&format!("first-try-{n}"), DEADLINE_MS, WAITING);
                let body = format!("prompt {n}");
                let sent = Instant::now();
                let answer = call(
                    other,
                    "POST",
                    "/ask/2f",
                    &borrowed(&headers),
                    &body,
                    Duration::from_secs(20),
                );
                let answer = answer.ok().filter(|answer| answer.status == 503)?;
                let retry_after: f64 = answer.headers.get("retry-after")?.parse().ok()?;
                record.line(&format!(
                    "client gets for first-try-{n}: 503, Retry-After {retry_after}"
                ));
                let left_ms = DEADLINE_MS - sent.elapsed().as_millis() as u64;
                let may_wait_ms = (retry_after * 1e3) as u64;
                (may_wait_ms <= left_ms / 3)
                    .then(|| (n, sent, Instant::now() + Duration::from_millis(may_wait_ms)))
            })
        })
        .collect();
    let returns: Vec<_> = first_tries.into_iter().filter_map(|one| one.join().unwrap()).collect();
    let Some(first_return) = returns.iter().map(|(_, _, at)| *at).min() else {
        fail(&system, "no client was refused with a time that it can wait");
    };

    std::thread::sleep(first_return.saturating_duration_since(Instant::now() + BEFORE_RETURN));
    let stopped = Instant::now();
    if has_trouble {
        record.line("SIGTERM to edge-1");
        system.edges[0].signal(SIGTERM);
    }
    let clients: Vec<_> = returns
        .into_iter()
        .map(|(n, first_sent, return_at)| {
            let record = record.clone();
            std::thread::spawn(move || {
                std::thread::sleep(return_at.saturating_duration_since(Instant::now()));
                // The platform takes an edge out after two questions without a 200, a second apart.
                let is_in = stopped.elapsed() < Duration::from_secs(1);
                let (name, to) = if is_in { ("edge-1", front) } else { ("edge-2", other) };
                let attempt = format!("waiting-{n}");
                let left_ms = DEADLINE_MS - first_sent.elapsed().as_millis() as u64;
                let headers = client_headers(&attempt, left_ms, WAITING);
                let sent = Instant::now();
                record.line(&format!(
                    "client comes back with {attempt} at {name}, with {left_ms} ms left"
                ));
                let body = format!("prompt {n}");
                let answered = call(
                    to,
                    "POST",
                    "/ask/2f",
                    &borrowed(&headers),
                    &body,
                    Duration::from_secs(20),
                )
                .map_err(|error| error.to_string());
                let waited = sent.elapsed();
                let seen = match &answered {
                    Ok(answer) if answer.is_complete => format!("{} whole", answer.status),
                    Ok(answer) => format!("{} cut", answer.status),
                    Err(error) => format!("no answer ({error})"),
                };
                record.line(&format!(
                    "client gets for {attempt}: {seen}, after {} ms",
                    waited.as_millis()
                ));
                let is_in_time = waited < Duration::from_millis(left_ms);
                Outcome { attempt, answered, waited, is_in_time }
            })
        })
        .collect();
    if has_trouble {
        while !system.edges[0].has_ended() && stopped.elapsed() < Duration::from_secs(9) {
            std::thread::sleep(Duration::from_millis(20));
        }
        record.line(&format!("edge-1 ended {} ms after SIGTERM", stopped.elapsed().as_millis()));
    }
    let outcomes: Vec<_> = clients.into_iter().map(|client| client.join().unwrap()).collect();
    let ran: Vec<String> =
        workers.iter().flat_map(|worker| worker.runs.lock().unwrap().clone()).collect();
    let mut lost = 0;
    for Outcome { attempt, answered, waited, is_in_time } in &outcomes {
        let is_whole = answered.as_ref().is_ok_and(|answer| answer.is_complete);
        let was_run = ran.contains(attempt);
        if !is_whole && !was_run && *is_in_time && *waited > LOSS_SLACK {
            lost += 1;
            record.line(&format!(
                "LOST: {attempt} was read, waited {} ms, no worker ran it, and its connection ended without an answer",
                waited.as_millis()
            ));
        }
    }
    let whole =
        outcomes.iter().filter(|one| one.answered.as_ref().is_ok_and(|a| a.is_complete)).count();
    record.line(&format!("{whole} of {} answered whole, {lost} lost", outcomes.len()));
    for fill in fills {
        fill.join().ok();
    }
    drop(system);
    if !has_trouble && whole < outcomes.len() {
        std::process::exit(2);
    }
    std::process::exit(i32::from(lost > 0));
}

fn wait_served(system: &System) {
    let started = Instant::now();
    for edge in &system.edges {
        for n in 0.. {
            let headers = client_headers(&format!("first-{}-{n}", edge.name), 4_000, "");
            let answer = call(
                edge.front(),
                "POST",
                "/post/2f",
                &borrowed(&headers),
                "time",
                Duration::from_secs(5),
            );
            if answer.is_ok_and(|answer| answer.status == 200) {
                break;
            }
            if started.elapsed() > Duration::from_secs(20) {
                fail(system, "no post is served");
            }
            std::thread::sleep(Duration::from_millis(200));
        }
    }
    // All workers are known by now, and have sent a second heartbeat.
    std::thread::sleep(Duration::from_millis(3_000));
}

fn fail(system: &System, why: &str) -> ! {
    system.record.line(&format!("could not run: {why}"));
    system.keep_logs();
    for host in system.cores.iter().chain(&system.edges) {
        host.signal(SIGKILL);
    }
    std::process::exit(2);
}
