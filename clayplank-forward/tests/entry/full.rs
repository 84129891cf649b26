//! An entry host that can take no further connection.

use std::sync::Arc;
use std::time::Duration;

use clayplank_forward::{Directory, EntryBuilder};
use clayplank_routes::RequestKind;

use crate::harness::{Host, NoPlacer, plain_service, route};

/// The most that a change of readiness may take: a balancer asks about once a second.
const SOON: Duration = Duration::from_secs(1);

async fn host_with(max_connections: usize) -> Host {
    Host::start(
        EntryBuilder::default().max_connections(max_connections),
        route(RequestKind::Repeatable),
        plain_service(),
        Arc::new(Directory::default()),
        Arc::new(NoPlacer),
    )
    .await
}

/// Whether the host says so within a second.
async fn becomes_ready(host: &Host, is_ready: bool) -> bool {
    let said = async {
        while host.gate.is_ready() != is_ready {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(SOON, said).await.is_ok()
}

#[tokio::test]
async fn a_host_whose_connections_are_all_taken_is_not_ready_until_one_ends() {
    let host = host_with(2).await;
    let first = host.connect().await;
    assert!(becomes_ready(&host, true).await, "it can take one more");
    let second = host.connect().await;
    assert!(becomes_ready(&host, false).await, "it can take none");
    drop(first);
    assert!(becomes_ready(&host, true).await, "it can take one again");
    let _third = host.connect().await;
    assert!(becomes_ready(&host, false).await, "and then none");
    drop(second);
    assert!(becomes_ready(&host, true).await);
}
