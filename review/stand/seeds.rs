//! The whole system starts for the first time with three edges as seeds.

mod common;

use std::path::Path;
use std::time::{Duration, Instant};

use common::*;

/// Time for which the operator tries: several times `recoveryS`, the longest time of the site.
const TRIED_FOR: Duration = Duration::from_secs(60);

/// `contactMs` of the site: for so long at least the manifest is read back.
const CONTACT: Duration = Duration::from_millis(3_000);

fn main() {
    let record = Record::create(Path::new(&std::env::args().nth(1).expect("path of record.txt")));
    let site = Site { has_edges_as_seeds: has_trouble(), ..Site::dala() };
    let system = System::start(record.clone(), site, 5, 3);
    let started = Instant::now();
    let serving = if has_trouble() { &system.edges } else { &system.cores };
    let seeds: Vec<_> = serving.iter().take(3).map(|host| host.name.as_str()).collect();
    record.line(&format!("five cores and three edges start; seeds of all: {}", seeds.join(", ")));
    let _worker = Worker::start(
        &system,
        "i-app-1",
        "app",
        63,
        Work::Plain { slots: 6, work_ms: 60, bytes: 800 },
    );
    let manifest = Manifest {
        version: 7,
        slots: 16,
        stream: (3_000, 15_000, 800),
        plain: (300, 4_000),
        tenants: one_tenant(),
    };
    let is_acked = system.publish(&manifest.text(), TRIED_FOR);
    record.line(&format!(
        "the operator's first manifest is {} after {} s",
        if is_acked { "acknowledged" } else { "not acknowledged" },
        started.elapsed().as_secs()
    ));
    let mut comes = false;
    let since = Instant::now();
    while !comes && since.elapsed() < CONTACT + Duration::from_secs(1) {
        for host in system.cores.iter().chain(&system.edges) {
            let answer =
                call(host.control(), "GET", "/api/config", &[], "", Duration::from_secs(1));
            let seen = answer.map_or(0, |answer| answer.status);
            record.line(&format!("GET /api/config at {}: {seen}", host.name));
            comes |= seen == 200;
        }
    }
    drop(system);
    if !comes {
        record.line("CONFIG: the manifest doesn't come, though all machines ran all the time");
    }
    std::process::exit(i32::from(!comes));
}
