//! Choice among plain services that are in a cordoned data centre, or cold (recently started and limited
//! in rate).

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use clayplank_forward::{Choice, Directory};
use clayplank_placement::ColdStart;
use clayplank_registry::{Heartbeat, Record};
use clayplank_routes::{ServiceGroup, ServingPlan};
use clayplank_types::{DataCentre, UpstreamId};

/// Rate that a cold service sustains.
const COLD_REQUESTS_PER_S: f64 = 17.0;
/// Time for which a service stays cold, in ms.
const COLD_START_MS: u64 = 3_000;

fn record(name: &str, data_centre: &str, cold_left_ms: u64) -> Record {
    let heartbeat = Heartbeat {
        sequence: 1,
        service: "app".to_owned(),
        data_centre: DataCentre::new(data_centre),
        slots: 6,
        cold_left_ms,
        ..Heartbeat::default()
    };
    Record { heartbeat: heartbeat.with_name(name), is_silent: false }
}

fn directory(records: Vec<Record>, hosts: u64) -> Directory {
    let directory = Directory::default();
    let cold_start =
        Some(ColdStart { requests_per_s: COLD_REQUESTS_PER_S, lasts_ms: COLD_START_MS });
    let service = ServiceGroup { name: "app".to_owned(), engine: None, cold_start };
    directory.set_cold_starts(&ServingPlan { services: vec![service], ..ServingPlan::default() });
    directory.set_hosts(hosts);
    directory.apply(records);
    directory
}

fn choose(directory: &Directory) -> Option<UpstreamId> {
    match directory.choose("app", &DataCentre::new("a"), &[])? {
        Choice::Counted(record) => Some(record.heartbeat.id),
        Choice::NeedsPermit(record) => panic!("{} has no rate limit", record.heartbeat.id),
    }
}

#[tokio::test(start_paused = true)]
async fn a_cordoned_service_gets_no_requests() {
    let directory = directory(vec![record("near", "a", 0), record("far", "b", 0)], 1);
    directory.set_cordoned([DataCentre::new("a")].into());
    let chosen: Vec<_> = (0..40).map(|_| choose(&directory).unwrap()).collect();
    assert!(chosen.iter().all(|id| id.as_str() == "far"), "{chosen:?}");
    assert!(directory.usable_record(&UpstreamId::new("near")).is_none());
    assert!(directory.is_cordoned(&UpstreamId::new("near")));
    directory.set_cordoned([DataCentre::new("a"), DataCentre::new("b")].into());
    assert!(choose(&directory).is_none());
}

#[tokio::test(start_paused = true)]
async fn a_warm_service_is_preferred_to_a_cold_one() {
    let directory = directory(vec![record("near", "a", 2_000), record("far", "b", 0)], 1);
    let chosen: Vec<_> = (0..40).map(|_| choose(&directory).unwrap()).collect();
    assert!(chosen.iter().all(|id| id.as_str() == "far"), "{chosen:?}");
}

/// 300 hosts, each under constant load, share three services that are all cold.
#[tokio::test(start_paused = true)]
async fn all_hosts_together_send_a_cold_service_no_more_than_its_rate() {
    const HOSTS: u64 = 300;
    let records = || ["u0", "u1", "u2"].map(|name| record(name, "a", 60_000)).to_vec();
    let hosts: Vec<_> = (0..HOSTS).map(|_| directory(records(), HOSTS)).collect();
    let mut sent = vec![[0; 3]; 100];
    for tick in &mut sent {
        for host in &hosts {
            if let Some(id) = choose(host) {
                tick[id.as_str()[1..].parse::<usize>().unwrap()] += 1;
            }
        }
        tokio::time::advance(std::time::Duration::from_millis(100)).await;
    }
    for (first, window) in sent.windows(10).enumerate() {
        for upstream in 0..3 {
            let count: u32 = window.iter().map(|tick| tick[upstream]).sum();
            assert!(
                count <= (COLD_REQUESTS_PER_S * 1.5 + 5.0) as u32,
                "{count} from tick {first} on"
            );
        }
    }
    let total: u32 = sent.iter().flatten().sum();
    assert!(total > 60, "{total} sent in 10 s");
}

#[tokio::test(start_paused = true)]
async fn a_service_counts_as_cold_after_its_cordon_is_lifted() {
    let directory = directory(vec![record("near", "a", 0), record("far", "b", 0)], 1);
    directory.set_cordoned([DataCentre::new("a")].into());
    directory.set_cordoned([].into());
    assert_eq!(choose(&directory).unwrap().as_str(), "far", "the near one may be cold");
    tokio::time::advance(std::time::Duration::from_millis(COLD_START_MS + 1)).await;
    assert_eq!(choose(&directory).unwrap().as_str(), "near");
}
