//! All processes are killed right after a worker's departure was acknowledged, and one of the worker's
//! earlier status reports arrives seconds late.

mod common;

use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use common::*;

/// Bounds of the site.
const CONTACT: Duration = Duration::from_millis(3_000);
const DRAIN: Duration = Duration::from_millis(2_000);

/// Time from the kill to the restart of all processes.
const DOWN: Duration = Duration::from_millis(700);

/// Time by which the status report is late, and for which the worker serves on after its departure.
const LATE_BY: Duration = Duration::from_millis(4_000);
const SERVES_ON: Duration = Duration::from_millis(10_000);

const SLOTS: usize = 6;

fn main() {
    let record = Record::create(Path::new(&std::env::args().nth(1).expect("path of record.txt")));
    let mut system = System::start(record.clone(), Site::dala(), 5, 2);
    let work = Work::Plain { slots: SLOTS, work_ms: 20, bytes: 800 };
    let leaver = Worker::start(&system, "i-app-1", "app", 63, work);
    let others = [
        Worker::start(&system, "i-app-2", "app", 64, work),
        Worker::start(&system, "i-app-3", "app", 65, work),
    ];
    let manifest = Manifest {
        version: 7,
        slots: 16,
        stream: (3_000, 15_000, 800),
        plain: (300, 4_000),
        tenants: one_tenant(),
    };
    if !system.publish(&manifest.text(), Duration::from_secs(20)) {
        fail(&system, "the manifest was not acknowledged");
    }
    system.wait_ready(Duration::from_secs(20));
    std::thread::sleep(Duration::from_millis(4_000));

    // A report that is sent now, and that the network delivers late.
    let late_seq = leaver.seq.fetch_add(1, Ordering::SeqCst) + 1;
    let late_report = status_report("app", leaver.address, SLOTS, "ready", late_seq);
    record.line(&format!(
        "i-app-1 sends status report {late_seq} (ready), which is held up on its way"
    ));
    let late_at = Instant::now() + LATE_BY;
    std::thread::sleep(Duration::from_millis(300));
    leaver.is_stopped.store(true, Ordering::SeqCst);
    std::thread::sleep(Duration::from_millis(50));
    let path = format!("/api/instances/{}", leaver.id);
    let controls = system.controls();
    let departed = controls.iter().find(|control| {
        let answer = call(**control, "DELETE", &path, &[], "", Duration::from_secs(1));
        answer.is_ok_and(|answer| answer.status / 100 == 2)
    });
    let Some(departed) = departed else {
        fail(&system, "the departure was not acknowledged");
    };
    let acked = Instant::now();
    if has_trouble() {
        system.cores.iter().chain(&system.edges).for_each(|host| host.signal(SIGKILL));
    }
    record.line(&format!(
        "{departed} acknowledges that i-app-1 has departed; it serves on for a while"
    ));
    if has_trouble() {
        record.line("all processes are killed");
        system.write_settings(false);
        for host in system.cores.iter_mut().chain(&mut system.edges) {
            host.wait_end();
        }
        std::thread::sleep(DOWN.saturating_sub(acked.elapsed()));
        let root = system.root.clone();
        for host in system.cores.iter_mut().chain(&mut system.edges) {
            host.start(&root);
        }
        record.line("all processes are started again");
    }
    let started = Instant::now();

    let is_finished = Arc::new(AtomicBool::new(false));
    let served = Arc::new(Mutex::new(0));
    let mut clients = Vec::new();
    for edge in &system.edges {
        for n in 0..2 {
            let (front, name) = (edge.front(), edge.name.clone());
            let (is_finished, served) = (is_finished.clone(), served.clone());
            clients.push(std::thread::spawn(move || {
                for count in 0.. {
                    if is_finished.load(Ordering::SeqCst) {
                        return;
                    }
                    let headers = client_headers(&format!("post-{name}-{n}-{count}"), 4_000, "");
                    let answer = call(
                        front,
                        "POST",
                        "/post/2f",
                        &borrowed(&headers),
                        "order",
                        Duration::from_secs(5),
                    );
                    *served.lock().unwrap() +=
                        usize::from(answer.is_ok_and(|answer| answer.status == 200));
                    std::thread::sleep(Duration::from_millis(50));
                }
            }));
        }
    }
    std::thread::sleep(late_at.saturating_duration_since(Instant::now()));
    for control in &controls {
        let answer = call(*control, "PUT", &path, &[], &late_report, Duration::from_secs(1));
        let status = answer.map_or(0, |answer| answer.status);
        record.line(&format!(
            "status report {late_seq} of i-app-1 arrives at {control}, which answers {status}"
        ));
        if status / 100 == 2 {
            break;
        }
    }
    // Machines are in touch again after twice contactMs, if a fault took most of the core.
    let in_touch_at = if has_trouble() { started + 2 * CONTACT } else { acked };
    let counts_from = in_touch_at.max(acked + DRAIN);
    std::thread::sleep(counts_from.saturating_duration_since(Instant::now()));
    let before = leaver.runs.lock().unwrap().len();
    record.line("all machines are in touch again, and drainMs have long passed since the ack");
    std::thread::sleep((acked + SERVES_ON).saturating_duration_since(Instant::now()));
    let late = leaver.runs.lock().unwrap().len() - before;
    is_finished.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|client| client.join().unwrap());
    let by_others: usize = others.iter().map(|worker| worker.runs.lock().unwrap().len()).sum();
    record.line(&format!(
        "{} requests served; {by_others} run by the others; {late} reached i-app-1 later than drainMs after the ack, from machines in touch",
        served.lock().unwrap()
    ));
    if late > 0 {
        record.line("DRAIN: requests reach a worker whose departure was acknowledged");
    }
    let is_served = by_others > 0;
    drop(system);
    std::process::exit(if late > 0 {
        1
    } else if is_served {
        0
    } else {
        2
    });
}

fn fail(system: &System, why: &str) -> ! {
    system.record.line(&format!("could not run: {why}"));
    system.keep_logs();
    for host in system.cores.iter().chain(&system.edges) {
        host.signal(SIGKILL);
    }
    std::process::exit(2);
}
