//! Upstreams that stop accepting requests while a request is on its way to them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use clayplank_connect::Connector;
use clayplank_forward::{Directory, EntryBuilder, Placer};
use clayplank_placement::{Assignment, EngineModel, HelperPart, PlacementOutcome};
use clayplank_registry::{Record, UpstreamStatus};
use clayplank_routes::{RequestKind, ServiceGroup};
use clayplank_types::UpstreamId;
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::sync::oneshot;

use crate::harness::{Host, TestPlacer, answering_upstream, plain_service, record, route};

const ANSWER: &str = "HTTP/1.1 200 OK\r\nx-clayplank-attempt-id: a\r\nx-clayplank-seal: s\r\n";

/// The next heartbeat of an upstream, with which it drains.
fn draining(record: &Record) -> Record {
    let mut next = record.clone();
    next.heartbeat.sequence += 1;
    next.heartbeat.standing = UpstreamStatus::Draining;
    next
}

/// Accepts one tunnel to an upstream, which drains before the tunnel is open. Returns the bytes that
/// came through it.
async fn open_tunnel_late(
    listener: TcpListener,
    directory: Arc<Directory>,
    record: Record,
) -> Vec<u8> {
    let (mut host, _) = listener.accept().await.unwrap();
    let mut request = vec![0; 64];
    assert!(host.read(&mut request).await.unwrap() > 0);
    directory.apply(vec![draining(&record)]);
    host.write_all(&[0]).await.unwrap();
    let mut passed = Vec::new();
    host.read_to_end(&mut passed).await.ok();
    passed
}

#[tokio::test]
async fn nothing_is_sent_to_an_upstream_that_drains_while_a_connection_is_opened() {
    let directory = Arc::new(Directory::default());
    let upstream = record("u", SocketAddr::from(([192, 0, 2, 7], 9)));
    directory.apply(vec![upstream.clone()]);
    let peer = TcpListener::bind("127.0.0.1:0").await.unwrap();
    // Direct connections fail, as this host does not have the address.
    let connector = Connector::with_source(Some("192.0.2.1".parse().unwrap()));
    connector.set_tunnel_hosts(vec![peer.local_addr().unwrap()]);
    let (sender, passed) = oneshot::channel();
    let known = Arc::clone(&directory);
    tokio::spawn(async move {
        sender.send(open_tunnel_late(peer, known, upstream).await).ok();
    });
    let host = Host::start(
        EntryBuilder::default().connector(Arc::new(connector)),
        route(RequestKind::Unrepeatable),
        plain_service(),
        Arc::clone(&directory),
        Arc::new(TestPlacer::default()),
    )
    .await;
    let answer = host.call().await;
    assert_eq!(String::from_utf8_lossy(&passed.await.unwrap()), "");
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
}

/// Asserts that a host whose engines `placer` chooses serves a prompt.
async fn assert_prompt_is_served(directory: Arc<Directory>, placer: TestPlacer) {
    let host = Host::start(
        EntryBuilder::default(),
        route(RequestKind::ResumableStream),
        ServiceGroup { engine: Some(EngineModel::default()), ..plain_service() },
        directory,
        Arc::new(placer) as Arc<dyn Placer>,
    )
    .await;
    let answer = host.call().await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
}

/// Guards against prompts that wait beside an idle engine, which their host learned of while they were
/// deferred.
#[tokio::test]
async fn a_deferred_prompt_is_served_by_an_engine_that_its_host_learns_of_meanwhile() {
    let engine = UpstreamId::new("a");
    let record = answering_upstream("a", &[ANSWER]).await;
    let directory = Arc::new(Directory::default());
    directory.apply(vec![answering_upstream("b", &[ANSWER]).await]);
    let known = Arc::clone(&directory);
    let deferrals = AtomicUsize::new(0);
    let placer = TestPlacer::placing(move |request| {
        if request.avoid.contains(&engine) {
            known.apply(vec![record.clone()]);
            return match deferrals.fetch_add(1, Ordering::SeqCst) {
                0 => PlacementOutcome::Soon { again_in_ms: 1 },
                _ => PlacementOutcome::Full { retry_after_ms: 1_000 },
            };
        }
        let (engine, helpers) = (engine.clone(), Vec::new());
        PlacementOutcome::At(Assignment { engine, helpers, first_token_ms: 10.0 })
    });
    assert_prompt_is_served(directory, placer).await;
}

/// The caller was refused, although another engine was idle.
#[rstest]
#[case::engine("a")]
#[case::helper("c")]
#[tokio::test]
async fn a_prompt_is_placed_anew_if_its_engine_or_a_helper_drains_meanwhile(
    #[case] leaving: &'static str,
) {
    let directory = Arc::new(Directory::default());
    let mut records = Vec::new();
    for name in ["a", "b", "c"] {
        records.push(answering_upstream(name, &[ANSWER]).await);
    }
    directory.apply(records.clone());
    let known = Arc::clone(&directory);
    let placer = TestPlacer::placing(move |request| {
        let left = records.iter().find(|one| one.heartbeat.name == leaving).unwrap();
        known.apply(vec![draining(left)]);
        let is_avoided = request.avoid.contains(&left.heartbeat.id);
        let helper = HelperPart { engine: UpstreamId::new("c"), reserve_tokens: 0 };
        PlacementOutcome::At(Assignment {
            engine: UpstreamId::new(if is_avoided { "b" } else { "a" }),
            helpers: if is_avoided { Vec::new() } else { vec![helper] },
            first_token_ms: 10.0,
        })
    });
    assert_prompt_is_served(directory, placer).await;
}
