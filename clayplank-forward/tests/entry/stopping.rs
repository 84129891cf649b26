//! Requests and answers of a host that shuts down: what waits is answered, and what is written counts
//! until its caller has received it.

use std::sync::Arc;
use std::time::{Duration, Instant};

use clayplank_forward::{Directory, EntryBuilder, Placer, QueueLimits};
use clayplank_placement::{EngineModel, PlacementOutcome};
use clayplank_routes::{RequestKind, ServiceGroup};
use rstest::rstest;
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};

use crate::harness::{
    Host, TestPlacer, WAIT_TIMEOUT, plain_service, read_some, record, route, wait_until,
};

/// Time from the start of a shutdown until the host closes.
const CLOSE_DELAY: Duration = Duration::from_millis(1_500);

/// Starts a host before an engine on which `placer` decides.
async fn start_with(placer: TestPlacer) -> Host {
    let service = ServiceGroup { engine: Some(EngineModel::default()), ..plain_service() };
    let builder = EntryBuilder::default().queue_limits(QueueLimits { requests: 8, bytes: 1 << 20 });
    let (route, directory) = (route(RequestKind::ResumableStream), Arc::new(Directory::default()));
    Host::start(builder, route, service, directory, Arc::new(placer) as Arc<dyn Placer>).await
}

/// A placer that queues prompts, and never decides on them.
fn queueing(expected_ms: u64) -> TestPlacer {
    let placer = TestPlacer::placing(move |request| match request.queue_terms {
        Some(_) => PlacementOutcome::Queued { expected_ms },
        None => PlacementOutcome::Full { retry_after_ms: 100 },
    });
    placer.deciding(|_| Box::pin(std::future::pending()))
}

async fn read_answer(caller: &mut TcpStream) -> String {
    tokio::time::timeout(WAIT_TIMEOUT, read_some(caller)).await.unwrap()
}

/// Waits until the host has read a request.
async fn wait_for_arrival(host: &Host) {
    wait_until("the arrival of the request", || host.gate.in_progress() > 0).await;
    // It is read before it waits.
    tokio::time::sleep(Duration::from_millis(50)).await;
}

/// Guards against requests that wait in a host until its process ends, and get no answer.
#[rstest]
#[case::queued(queueing(100))]
#[case::deferred(TestPlacer::placing(|_| PlacementOutcome::Soon { again_in_ms: 60_000 }))]
#[case::not_placed(queueing(100).delayed(Duration::from_secs(60)))]
#[tokio::test]
async fn a_request_that_waits_is_rejected_when_its_host_closes(#[case] placer: TestPlacer) {
    let host = start_with(placer).await;
    let mut caller = host.send().await;
    wait_for_arrival(&host).await;
    host.gate.close();
    let answer = read_answer(&mut caller).await;
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert!(answer.contains("retry-after: 0.050"), "{answer}");
}

/// Guards against requests that are held until the host closes, although their turn comes later.
#[rstest]
#[case::turn_after_the_close(5_000, false)]
#[case::turn_before_the_close(100, true)]
#[tokio::test]
async fn a_queued_request_is_rejected_at_once_if_its_host_closes_before_its_turn(
    #[case] expected_ms: u64,
    #[case] is_held: bool,
) {
    let host = start_with(queueing(expected_ms)).await;
    let mut caller = host.send().await;
    wait_for_arrival(&host).await;
    let stopped_at = Instant::now();
    host.gate.start_shutdown(clayplank_clock::Instant::now() + CLOSE_DELAY);
    if is_held {
        let early = tokio::time::timeout(CLOSE_DELAY / 2, read_some(&mut caller)).await;
        assert!(early.is_err(), "{early:?}");
        host.gate.close();
    }
    let answer = read_answer(&mut caller).await;
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    if !is_held {
        // The load balancer may send a retry here until the host closes.
        let retry_after = answer.lines().find_map(|line| line.strip_prefix("retry-after: "));
        let retry_after = Duration::from_secs_f64(retry_after.unwrap().parse().unwrap());
        assert!(stopped_at.elapsed() < CLOSE_DELAY, "{:?}", stopped_at.elapsed());
        assert!(retry_after > CLOSE_DELAY / 2 && retry_after < CLOSE_DELAY * 2, "{retry_after:?}");
    }
}

/// Guards against requests at an upstream whose callers get no answer when the process ends.
#[rstest]
#[case::unrepeatable(RequestKind::Unrepeatable)]
#[case::repeatable(RequestKind::Repeatable)]
#[case::stream(RequestKind::Stream)]
#[tokio::test]
async fn a_request_at_an_upstream_is_reported_as_failed_when_its_host_ends(
    #[case] kind: RequestKind,
) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let directory = Arc::new(Directory::default());
    directory.apply(vec![record("u", listener.local_addr().unwrap())]);
    let placer = Arc::new(TestPlacer::default());
    let builder = EntryBuilder::default();
    let host = Host::start(builder, route(kind), plain_service(), directory, placer).await;
    let mut caller = host.send().await;
    let (mut connection, _) = listener.accept().await.unwrap();
    assert!(!read_some(&mut connection).await.is_empty());
    host.gate.close();
    let early = tokio::time::timeout(Duration::from_millis(100), read_some(&mut caller)).await;
    assert!(early.is_err(), "the upstream may still answer: {early:?}");
    host.gate.abandon_requests();
    let answer = read_answer(&mut caller).await;
    assert!(answer.starts_with("HTTP/1.1 502"), "{answer}");
    // Closed by the host.
    connection.read_to_end(&mut Vec::new()).await.ok();
}
