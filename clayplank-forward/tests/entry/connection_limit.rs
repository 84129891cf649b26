//! Readiness of an entry host that has reached its connection limit.

use std::sync::Arc;
use std::time::Duration;

use clayplank_forward::{Directory, EntryBuilder};
use clayplank_routes::RequestKind;

use crate::harness::{Host, TestPlacer, plain_service, route};

/// Time within which a change of readiness must show: load balancers probe about once a second.
const READINESS_TIMEOUT: Duration = Duration::from_secs(1);

async fn host_with(max_connections: usize) -> Host {
    Host::start(
        EntryBuilder::default().max_connections(max_connections),
        route(RequestKind::Repeatable),
        plain_service(),
        Arc::new(Directory::default()),
        Arc::new(TestPlacer::default()),
    )
    .await
}

/// Whether the readiness reaches the expected value within `READINESS_TIMEOUT`.
async fn readiness_becomes(host: &Host, expected: bool) -> bool {
    let changed = async {
        while host.gate.is_ready() != expected {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(READINESS_TIMEOUT, changed).await.is_ok()
}

#[tokio::test]
async fn a_host_at_its_connection_limit_is_not_ready_until_a_connection_closes() {
    let host = host_with(2).await;
    let first = host.connect().await;
    assert!(readiness_becomes(&host, true).await, "one connection is free");
    let second = host.connect().await;
    assert!(readiness_becomes(&host, false).await, "no connection is free");
    drop(first);
    assert!(readiness_becomes(&host, true).await, "one connection is free again");
    let _third = host.connect().await;
    assert!(readiness_becomes(&host, false).await, "no connection is free again");
    drop(second);
    assert!(readiness_becomes(&host, true).await);
}
