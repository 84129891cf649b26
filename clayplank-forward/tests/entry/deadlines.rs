//! Requests whose deadline passes.

use std::sync::Arc;
use std::time::Duration;

use clayplank_forward::{Directory, EntryBuilder};
use clayplank_placement::EngineModel;
use clayplank_routes::{RequestKind, Route, ServiceGroup};

use crate::harness::{Host, TestPlacer, plain_service, route};

/// The caller was told that the request may have run, and could not repeat it elsewhere.
#[tokio::test]
async fn a_request_that_was_never_sent_is_reported_as_not_run_at_its_deadline() {
    let host = Host::start(
        EntryBuilder::default(),
        Route { time_limit_ms: 300, ..route(RequestKind::ResumableStream) },
        ServiceGroup { engine: Some(EngineModel::default()), ..plain_service() },
        Arc::new(Directory::default()),
        Arc::new(TestPlacer::default().delayed(Duration::from_secs(60))),
    )
    .await;
    let answer = host.call().await;
    assert!(answer.starts_with("HTTP/1.1 503") && answer.contains("retry-after"), "{answer}");
}
