//! All processes of the core are killed right after a manifest was acknowledged, and come back at once with
//! their disks. Later the tolerated number of machines lose their disks, right after another manifest was
//! acknowledged. What was acknowledged must be there again.

mod common;

use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use common::*;

/// Routes that one `big_config` of 350 routes brings.
const MORE_ROUTES: u64 = 350;

/// Size at which a keeper replaces its log by a snapshot, in bytes. The script watches the sizes of the logs
/// only to choose the moment of the kill.
const REPLACED_AT_BYTES: u64 = 8 << 20;

/// Time between the sending of a change and the kill of the core, in ms.
const KILL_AFTER_MS: u64 = 5;

/// Kills of the core at most; the script stops as soon as a keeper writes no more.
const ROUNDS: u32 = 4;

/// `recoveryS`, in ms; the script waits half as much again.
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

fn log_bytes(system: &System, last: u8) -> u64 {
    std::fs::metadata(system.data_dir(last).join("log")).map_or(0, |file| file.len())
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

    let mut version = 1;
    let size = big_manifest(1).len() as u64;
    note!("a manifest has {size} bytes");
    let mut idle: Vec<u8> = Vec::new();
    for round in 1..=ROUNDS {
        // The operator changes the manifest, one change after the other.
        while largest_log(&system, &idle) + size < REPLACED_AT_BYTES {
            version += 1;
            publish(&system, &big_manifest(version))?;
        }
        note!("operator: manifest {version} is acknowledged");
        let next = big_manifest(version + 1);
        if !has_trouble() {
            version += 1;
            publish(&system, &next)?;
            if !read_back(&system, version) {
                return Err("the manifest is not read back without a disruption".to_owned());
            }
            break;
        }
        let node = net.control(1 + (version % 5) as u8);
        let sending = thread::spawn(move || call(node, "PUT", "/api/config", &JSON, next.as_bytes(), ms(1_000)));
        sleep_ms(KILL_AFTER_MS);
        let keepers = system.keepers();
        system.kill_all(&keepers);
        note!("all processes of the core: SIGKILL (round {round}), {KILL_AFTER_MS} ms after manifest {} was sent", version + 1);
        let answer = sending.join().map_err(|_| "an operator failed")?;
        note!("operator: manifest {} got {:?}", version + 1, answer.as_ref().map(Answer::status));
        if answer.is_ok_and(|answer| answer.status() == 200) {
            version += 1;
        }
        sleep_ms(300);
        for last in keepers {
            let index = system.index(last);
            system.spawn(index, false)?;
        }
        if !read_back(&system, version) {
            return Ok(Some(broken(&system, version, &format!("after kill {round} of the core"))));
        }
        sleep_ms(2_000);
        idle = system.keepers().into_iter().filter(|last| log_bytes(&system, *last) >= REPLACED_AT_BYTES).collect();
        note!("keepers whose log has stayed as it was at the kill: {idle:?}");
        if !idle.is_empty() {
            break;
        }
        version += 1;
    }
    // `catchUpS` and `contactMs` pass without a disruption.
    sleep_ms(8_000);
    version += 2;
    publish(&system, &big_manifest(version))?;
    note!("operator: manifest {version} is acknowledged");
    let lost: Vec<u8> = system.keepers().into_iter().filter(|last| !idle.contains(last)).take(2).collect();
    system.kill_all(&lost);
    for last in &lost {
        system.lose_disk(*last);
    }
    sleep_ms(1_000);
    for last in &lost {
        let index = system.index(*last);
        system.spawn(index, false)?;
    }
    if !read_back(&system, version) {
        return Ok(Some(broken(&system, version, "after two machines lost their disks")));
    }
    for panic in system.panics() {
        note!("{panic}");
    }
    Ok(None)
}

/// Size of the largest log of the keepers that still write.
fn largest_log(system: &System, idle: &[u8]) -> u64 {
    let writing = system.keepers().into_iter().filter(|last| !idle.contains(last));
    writing.map(|last| log_bytes(system, last)).max().unwrap_or(0)
}

fn broken(system: &System, version: u64, when: &str) -> String {
    let served = ask_each(system);
    for panic in system.panics() {
        note!("{panic}");
    }
    format!(
        "LOST, RECOVER: {when}, no node answers with manifest {version}, which was acknowledged, for {} ms; {served} of 40 requests are served",
        RECOVERY_MS * 3 / 2
    )
}

/// Sends a manifest until it is acknowledged.
fn publish(system: &System, manifest: &str) -> Res<()> {
    let until = Instant::now() + Duration::from_secs(20);
    for turn in 0.. {
        let node = system.net.control(system.keepers()[turn % 5]);
        let sent = call(node, "PUT", "/api/config", &JSON, manifest.as_bytes(), ms(1_000));
        match sent {
            Ok(answer) if answer.status() == 200 => return Ok(()),
            Ok(answer) if (400..500).contains(&answer.status()) => return Err(format!("refused with {}", answer.status())),
            _ if Instant::now() > until => break,
            _ => sleep_ms(50),
        }
    }
    Err("a manifest was not acknowledged".to_owned())
}

/// Asks all nodes for the manifest for one and a half times `recoveryS`; whether one answers with this version
/// or a later one.
fn read_back(system: &System, version: u64) -> bool {
    let since = Instant::now();
    let nodes: Vec<u8> = system.keepers().into_iter().chain(system.entries()).collect();
    while since.elapsed() < ms(RECOVERY_MS * 3 / 2) {
        for node in &nodes {
            if let Ok(answer) = call(system.net.control(*node), "GET", "/api/config", &[], b"", ms(1_000))
                && answer.status() == 200
                && let Some(found) = version_of(&answer.body)
                && found >= version
            {
                note!("operator: host-{node} answers with manifest {found} after {} ms", since.elapsed().as_millis());
                return true;
            }
        }
        sleep_ms(100);
    }
    note!("operator: no node answers with manifest {version}");
    false
}

fn version_of(body: &[u8]) -> Option<u64> {
    let text = String::from_utf8_lossy(body).into_owned();
    text.strip_prefix("{\"version\":")?.split(',').next()?.parse().ok()
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
