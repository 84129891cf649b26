//! A manifest takes the last tenant away, and with it the last key.

mod common;

use std::path::Path;
use std::time::Duration;

use common::*;

/// `revokeMs` of the site, and `configApplyMs`.
const REVOKE: Duration = Duration::from_millis(5_000);
const APPLY: Duration = Duration::from_millis(2_000);

/// A key that no manifest ever held.
const UNKNOWN: &str = "zzzzzzzzzzzzzzzzzzzz";

fn main() {
    let record = Record::create(Path::new(&std::env::args().nth(1).expect("path of record.txt")));
    let has_trouble = has_trouble();
    let system = System::start(record.clone(), Site::dala(), 5, 2);
    let workers = [
        Worker::start(
            &system,
            "i-app-1",
            "app",
            63,
            Work::Plain { slots: 6, work_ms: 60, bytes: 800 },
        ),
        Worker::start(
            &system,
            "i-app-2",
            "app",
            64,
            Work::Plain { slots: 6, work_ms: 60, bytes: 800 },
        ),
    ];
    let mut manifest = Manifest {
        version: 7,
        slots: 16,
        stream: (3_000, 15_000, 800),
        plain: (300, 4_000),
        tenants: one_tenant(),
    };
    if !system.publish(&manifest.text(), Duration::from_secs(20)) {
        fail(&system, "the first manifest was not acknowledged");
    }
    system.wait_ready(Duration::from_secs(20));
    std::thread::sleep(APPLY + Duration::from_millis(1_000));
    for edge in &system.edges {
        let known = post(&system, edge, &format!("before-known-{}", edge.name), Some(KEY));
        let unknown = post(&system, edge, &format!("before-unknown-{}", edge.name), Some(UNKNOWN));
        if (known, unknown) != (200, 401) {
            fail(&system, "the first manifest is not in force");
        }
    }

    manifest.version = 9;
    if has_trouble {
        manifest.tenants = "[]".to_owned();
    }
    record.line(&format!("the operator sends version 9 with \"tenants\":{}", manifest.tenants));
    if !system.publish(&manifest.text(), Duration::from_secs(10)) {
        // The manifest may be refused: then it must not be in force, and there is nothing to check.
        fail(&system, "the second manifest was not acknowledged");
    }
    std::thread::sleep(REVOKE + Duration::from_millis(1_000));
    record.line("more than revokeMs have passed since the ack");
    for edge in &system.edges {
        if has_trouble {
            post(&system, edge, &format!("removed-{}", edge.name), Some(KEY));
        } else {
            let status = post(&system, edge, &format!("after-known-{}", edge.name), Some(KEY));
            if status != 200 {
                fail(&system, "a key that is still in force is refused");
            }
        }
        post(&system, edge, &format!("unknown-{}", edge.name), Some(UNKNOWN));
        post(&system, edge, &format!("without-{}", edge.name), None);
    }
    let mut broken = 0;
    for worker in &workers {
        for attempt in worker.runs.lock().unwrap().iter() {
            if attempt.starts_with("removed") {
                record.line(&format!("CONFIG: {} ran {attempt}, whose key was removed", worker.id));
                broken += 1;
            }
            if attempt.starts_with("unknown") || attempt.starts_with("without") {
                record.line(&format!(
                    "ROUTE: {} ran {attempt}, whose key no manifest ever held",
                    worker.id
                ));
                broken += 1;
            }
        }
    }
    record.line(&format!("{broken} requests ran without a key in force"));
    drop(system);
    std::process::exit(i32::from(broken > 0));
}

/// Sends a request with this key and returns the status.
fn post(system: &System, edge: &Host, attempt: &str, key: Option<&str>) -> u16 {
    let mut headers = client_headers(attempt, 4_000, "");
    headers.retain(|(name, _)| name != "Authorization");
    if let Some(key) = key {
        headers.push(("Authorization".to_owned(), format!("Bearer {key}")));
    }
    let answer = call(
        edge.front(),
        "POST",
        "/post/2f",
        &borrowed(&headers),
        "order",
        Duration::from_secs(5),
    );
    let status = answer.map_or(0, |answer| answer.status);
    system.record.line(&format!("client sends {attempt} to {}, gets {status}", edge.name));
    status
}

fn fail(system: &System, why: &str) -> ! {
    system.record.line(&format!("could not run: {why}"));
    system.keep_logs();
    for host in system.cores.iter().chain(&system.edges) {
        host.signal(SIGKILL);
    }
    std::process::exit(2);
}
