//! One of five core machines is lost for good while the whole system starts for the first time.

mod common;

use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

use common::*;

/// When the machine is lost, counted from the start of all machines.
const LOST_AFTER: Duration = Duration::from_millis(100);

/// When an empty machine comes in its place, and how long the operator tries.
const REPLACED_AFTER: Duration = Duration::from_secs(5);
const TRIED_FOR: Duration = Duration::from_secs(60);

/// `contactMs` of the site: for so long at least the manifest is read back.
const CONTACT: Duration = Duration::from_millis(3_000);

fn main() {
    let record = Record::create(Path::new(&std::env::args().nth(1).expect("path of record.txt")));
    let mut system = System::start(record.clone(), Site::dala(), 5, 2);
    let started = Instant::now();
    let _worker = Worker::start(
        &system,
        "i-app-1",
        "app",
        63,
        Work::Plain { slots: 6, work_ms: 60, bytes: 800 },
    );
    let has_trouble = has_trouble();
    if has_trouble {
        std::thread::sleep(LOST_AFTER.saturating_sub(started.elapsed()));
        system.cores[0].signal(SIGKILL);
        record.line("core-1 is lost for good; four of five cores run on");
    }
    let manifest = Manifest {
        version: 7,
        slots: 16,
        stream: (3_000, 15_000, 800),
        plain: (300, 4_000),
        tenants: one_tenant(),
    };
    let mut is_acked = false;
    let mut is_replaced = false;
    let mut tries = 0;
    while !is_acked && started.elapsed() < TRIED_FOR {
        is_acked = system.publish(&manifest.text(), Duration::from_millis(500));
        tries += 1;
        if has_trouble && !is_replaced && started.elapsed() > REPLACED_AFTER {
            is_replaced = true;
            let seeds: Vec<SocketAddr> = system.cores[1..4].iter().map(Host::control).collect();
            system.add_core(6, &seeds);
            record.line("core-6 comes in the place of core-1, empty and at another address");
        }
    }
    record.line(&format!(
        "the operator's first manifest is {} after {} s and {tries} rounds",
        if is_acked { "acknowledged" } else { "not acknowledged" },
        started.elapsed().as_secs()
    ));
    let is_served = is_acked && {
        system.wait_ready(Duration::from_secs(20));
        let headers = client_headers("first", 4_000, "");
        let front = system.edges[0].front();
        (0..20).any(|_| {
            std::thread::sleep(Duration::from_millis(200));
            call(front, "POST", "/post/2f", &borrowed(&headers), "order", Duration::from_secs(5))
                .is_ok_and(|answer| answer.status == 200)
        })
    };
    let comes = read_back(&system);
    let ended =
        system.cores[1..].iter_mut().filter_map(|core| core.has_ended().then(|| core.name.clone()));
    let ended: Vec<_> = ended.collect();
    record.line(&format!("manifest read back: {comes}; requests served: {is_served}; processes ended by themselves: {ended:?}"));
    drop(system);
    if !comes {
        record.line(
            "CONFIG: the manifest doesn't come, though more than half of the core ran all the time",
        );
    }
    std::process::exit(i32::from(!comes));
}

/// Whether any machine gives the manifest back, asked again and again for `contactMs`.
fn read_back(system: &System) -> bool {
    let started = Instant::now();
    while started.elapsed() < CONTACT + Duration::from_secs(1) {
        for host in system.cores.iter().skip(1).chain(&system.edges) {
            let answer =
                call(host.control(), "GET", "/api/config", &[], "", Duration::from_secs(1));
            let seen = answer.as_ref().map_or(0, |answer| answer.status);
            system.record.line(&format!("GET /api/config at {}: {seen}", host.name));
            if seen == 200 {
                return true;
            }
        }
    }
    false
}
