//! Operators change a large manifest, eight orders in progress at once. What was acknowledged must be read back,
//! and requests must be served.

mod common;

use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use common::*;

/// Routes that 35 times `big_config` of 350 routes bring.
const MORE_ROUTES: u64 = 35 * 350;

/// Changes that the operators make, beside the first manifest.
const CHANGES: u64 = 96;

/// Orders in progress at once.
const AT_ONCE: usize = 8;

/// Time between two changes, in ms: the shortest `gap_s` of a `config_storm` of the site.
const GAP_MS: u64 = 60;

/// Time for which the operators send, in ms; the changes take a few seconds.
const SEND_MS: u64 = 20_000;

/// Time for which the manifest is read back, in ms: three times `contactMs`.
const READ_MS: u64 = 9_000;

/// `recoveryS`, in ms.
const RECOVERY_MS: u64 = 12_000;

fn main() {
    if let Err(cause) = start_record() {
        println!("{cause}");
        std::process::exit(COULD_NOT_RUN);
    }
    finish(run());
}

fn big_manifest(version: u64) -> String {
    let mut all = vec![route("/p/", "idempotent", "app", 2_000, 300, 2, "")];
    all.extend((0..MORE_ROUTES).map(|number| {
        // A few routes differ between versions.
        let changed = if number % 97 == version % 97 { version } else { 0 };
        route(&format!("/more-{number}-{changed}/"), "idempotent", "app", 2_000, 300, 2, "")
    }));
    manifest(version, &all, &[plain("app")])
}

fn run() -> Res<Option<String>> {
    let mut system = System::start(5, 2, Bounds::default())?;
    let net = system.net;
    let control: Vec<_> = system.keepers().iter().map(|last| net.control(*last)).collect();
    let handler: Arc<Handler> =
        Arc::new(|worker: &Worker, head: &Head, _: &[u8], stream: &mut TcpStream| write_answer(worker, head, stream, "200 OK", b"answer"));
    let mut workers = Vec::new();
    for number in 0..2u8 {
        let (id, address) = (format!("i-{number}"), net.worker(101 + number));
        workers.push(Worker::start(&id, "app", "hall-1", address, control.clone(), Arc::clone(&handler))?);
    }
    system.publish(&big_manifest(1), Duration::from_secs(20))?;
    system.wait_ready(Duration::from_secs(10))?;
    sleep_ms(5_000);
    note!("the manifest has {} bytes", big_manifest(1).len());
    if ask_each(&system) < 40 {
        return Err("requests are not served before the changes".to_owned());
    }

    let newest = change(&system, if has_trouble() { AT_ONCE } else { 1 });
    note!("operators: the newest acknowledged manifest is {newest} of {}", CHANGES + 1);
    if newest < 2 {
        return Err("no change was acknowledged".to_owned());
    }
    let is_read = read_back(&system, newest, READ_MS);
    if is_read {
        if !has_trouble() && (newest < CHANGES + 1 || ask_each(&system) < 40) {
            return Err("the changes or the requests fail without a disruption".to_owned());
        }
        return Ok(None);
    }
    let served = ask_each(&system);
    for panic in system.panics() {
        note!("{panic}");
    }
    // What the operators would try next; it doesn't change the outcome.
    note!("all processes of the core are started again");
    let keepers = system.keepers();
    system.kill_all(&keepers);
    sleep_ms(300);
    for last in keepers {
        let index = system.index(last);
        system.spawn(index, false)?;
    }
    let is_read_later = read_back(&system, newest, RECOVERY_MS);
    let served_later = ask_each(&system);
    Ok(Some(format!(
        "CONFIG: manifest {newest} was acknowledged, and no node answers a read of it for {READ_MS} ms; {served} of 40 requests are served. \
         {RECOVERY_MS} ms after a new start of the core: read back {is_read_later}, {served_later} of 40 served"
    )))
}

/// Makes the changes with this many orders in progress; returns the newest version that was acknowledged.
fn change(system: &System, at_once: usize) -> u64 {
    let (next, newest) = (Arc::new(AtomicU64::new(2)), Arc::new(AtomicU64::new(1)));
    let is_over = Arc::new(AtomicBool::new(false));
    let net = system.net;
    let nodes = system.keepers();
    let began = Instant::now();
    let operators: Vec<_> = (0..at_once)
        .map(|operator| {
            let (next, newest, is_over, nodes) = (Arc::clone(&next), Arc::clone(&newest), Arc::clone(&is_over), nodes.clone());
            thread::spawn(move || {
                let mut turn = operator;
                loop {
                    let version = next.fetch_add(1, Ordering::SeqCst);
                    if version > CHANGES + 1 {
                        return;
                    }
                    let manifest = big_manifest(version);
                    let due = began + ms((version - 2) * GAP_MS);
                    thread::sleep(due.saturating_duration_since(Instant::now()));
                    let mut pause_ms = 100;
                    // The same order is sent again, to another node, until it is acknowledged.
                    loop {
                        if is_over.load(Ordering::SeqCst) {
                            return;
                        }
                        let node = nodes[turn % nodes.len()];
                        turn += 1;
                        let sent = call(net.control(node), "PUT", "/api/config", &JSON, manifest.as_bytes(), ms(3_000));
                        match sent {
                            Ok(answer) if answer.status() == 200 => {
                                note!("operator {operator}: manifest {version} acknowledged by host-{node}");
                                newest.fetch_max(version, Ordering::SeqCst);
                                break;
                            }
                            Ok(answer) => note!("operator {operator}: manifest {version} got {} from host-{node}", answer.status()),
                            Err(cause) => note!("operator {operator}: manifest {version} got nothing from host-{node}: {cause}"),
                        }
                        sleep_ms(pause_ms);
                        pause_ms = (2 * pause_ms).min(1_000);
                    }
                }
            })
        })
        .collect();
    let until = Instant::now() + ms(SEND_MS);
    while Instant::now() < until && operators.iter().any(|operator| !operator.is_finished()) {
        sleep_ms(20);
    }
    is_over.store(true, Ordering::SeqCst);
    for operator in operators {
        operator.join().ok();
    }
    newest.load(Ordering::SeqCst)
}

/// Asks all nodes for the manifest, again and again; whether one answers with this version or a later one.
fn read_back(system: &System, version: u64, for_ms: u64) -> bool {
    let until = Instant::now() + ms(for_ms);
    let nodes: Vec<u8> = system.keepers().into_iter().chain(system.entries()).collect();
    while Instant::now() < until {
        for node in &nodes {
            let answer = call(system.net.control(*node), "GET", "/api/config", &[], b"", ms(1_000));
            match answer {
                Ok(answer) if answer.status() == 200 => {
                    let body = String::from_utf8_lossy(&answer.body).into_owned();
                    let found = body.strip_prefix("{\"version\":").and_then(|rest| rest.split(',').next()?.parse::<u64>().ok());
                    note!("operator: host-{node} answers with manifest {found:?}");
                    if found.is_some_and(|found| found >= version) {
                        return true;
                    }
                }
                Ok(answer) => note!("operator: host-{node} answers a read with {}", answer.status()),
                Err(cause) => note!("operator: host-{node} doesn't answer a read: {cause}"),
            }
        }
        sleep_ms(300);
    }
    false
}

/// Sends 20 requests to each entry host; returns how many are served.
fn ask_each(system: &System) -> usize {
    let mut served = 0;
    for last in system.entries() {
        let mut statuses = Vec::new();
        for _ in 0..20 {
            let answer = ask(system.net.callers(last), "GET", "/p/x", &attempt_id(), 2_000, &[], b"");
            served += usize::from(answer.as_ref().is_ok_and(|answer| answer.status() == 200));
            statuses.push(answer.map_or_else(|cause| cause, |answer| answer.status().to_string()));
        }
        note!("clients of host-{last}: {}", statuses.join(" "));
    }
    served
}
