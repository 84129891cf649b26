//! Reports of streams that break because the links of a host do.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use clayplank_forward::{Directory, EntryBuilder};
use clayplank_placement::{Assignment, EngineModel, Event, PlacementOutcome};
use clayplank_routes::{RequestKind, Route, ServiceGroup};
use clayplank_types::UpstreamId;
use tokio::net::TcpListener;

use crate::harness::{Host, TestPlacer, plain_service, read_some, record, route};

const ENGINES: usize = 4;

/// Guards against taking sound engines out of use for all hosts because one host is cut off.
#[tokio::test]
async fn streams_that_break_at_several_engines_at_once_do_not_count_against_them() {
    let directory = Arc::new(Directory::default());
    for number in 0..ENGINES {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        directory.apply(vec![record(&format!("u{number}"), listener.local_addr().unwrap())]);
        tokio::spawn(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                read_some(&mut stream).await;
            }
        });
    }
    let requests = AtomicUsize::new(0);
    let placer = Arc::new(TestPlacer::placing(move |_| {
        let number = requests.fetch_add(1, Ordering::SeqCst) % ENGINES;
        let engine = UpstreamId::new(format!("u{number}"));
        PlacementOutcome::At(Assignment { engine, helpers: Vec::new(), first_token_ms: 10.0 })
    }));
    let host = Host::start(
        EntryBuilder::default(),
        Route { max_attempts: 1, ..route(RequestKind::ResumableStream) },
        ServiceGroup { engine: Some(EngineModel::default()), ..plain_service() },
        directory,
        placer.clone(),
    )
    .await;
    for _ in 0..ENGINES {
        assert!(host.call().await.starts_with("HTTP/1.1 502"));
    }
    let events = placer.events.lock().unwrap().clone();
    assert_eq!(events, [Event::Broken, Event::Broken, Event::Unreached, Event::Unreached]);
}
