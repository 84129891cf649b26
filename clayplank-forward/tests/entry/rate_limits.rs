//! Rate limits that upstreams name in their answers, and requests that wait for a permit under them.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use clayplank_forward::{Directory, EntryBuilder, PermitReply, now_ms};
use clayplank_registry::{Heartbeat, LimitObservation, Record};
use clayplank_routes::{RequestKind, Route};
use clayplank_types::{DataCentre, UpstreamId};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

use crate::harness::{
    Host, TestPlacer, answering_upstream, plain_service, read_some, record, route,
};

/// Start of the head of an answer by the upstream itself, to this attempt; tests append more headers.
const HEAD_WITHOUT_LIMIT: &str =
    "HTTP/1.1 200 OK\r\nx-clayplank-attempt-id: a\r\nx-clayplank-seal: s\r\n";

/// The limit known after an upstream gave these answers, each to one request.
async fn limit_after(answers: &[&str]) -> Option<f64> {
    let directory = Arc::new(Directory::default());
    directory.apply(vec![answering_upstream("u", answers).await]);
    let host = Host::start(
        EntryBuilder::default(),
        route(RequestKind::Unrepeatable),
        plain_service(),
        Arc::clone(&directory),
        Arc::new(TestPlacer::default()),
    )
    .await;
    for _ in answers {
        host.call().await;
    }
    directory.limit(&UpstreamId::new("u"))?.requests_per_s
}

const HEAD_WITH_LIMIT: &str = "HTTP/1.1 200 OK\r\nx-clayplank-attempt-id: a\r\nx-clayplank-seal: s\r\nx-clayplank-limit: 40.5\r\n";

#[tokio::test]
async fn a_limit_applies_until_an_answer_without_one() {
    assert_eq!(limit_after(&[HEAD_WITHOUT_LIMIT]).await, None);
    assert_eq!(limit_after(&[HEAD_WITH_LIMIT]).await, Some(40.5));
    assert_eq!(limit_after(&[HEAD_WITH_LIMIT, HEAD_WITHOUT_LIMIT]).await, None);
}

#[tokio::test]
async fn a_limit_in_a_refusal_applies() {
    let full = "HTTP/1.1 503 Service Unavailable\r\nx-clayplank-attempt-id: a\r\n\
        x-clayplank-not-run: 1\r\nx-clayplank-limit: 0\r\n";
    assert_eq!(limit_after(&[full]).await, Some(0.0));
}

#[tokio::test]
async fn a_malformed_limit_is_ignored() {
    const MALFORMED: [&str; 4] = [
        "HTTP/1.1 200 OK\r\nx-clayplank-attempt-id: a\r\nx-clayplank-seal: s\r\nx-clayplank-limit: -1\r\n",
        "HTTP/1.1 200 OK\r\nx-clayplank-attempt-id: a\r\nx-clayplank-seal: s\r\nx-clayplank-limit: NaN\r\n",
        "HTTP/1.1 200 OK\r\nx-clayplank-attempt-id: a\r\nx-clayplank-seal: s\r\nx-clayplank-limit: few\r\n",
        "HTTP/1.1 200 OK\r\nx-clayplank-attempt-id: a\r\nx-clayplank-seal: s\r\nx-clayplank-limit:\r\n",
    ];
    assert_eq!(limit_after(&MALFORMED).await, None);
    assert_eq!(limit_after(&[HEAD_WITH_LIMIT, MALFORMED[0], MALFORMED[2]]).await, Some(40.5));
}

/// Such an answer comes from another incarnation at the same address, or belongs to another request.
#[tokio::test]
async fn a_limit_in_an_answer_to_another_attempt_or_incarnation_is_ignored() {
    let replaced = "HTTP/1.1 421 Misdirected Request\r\nx-clayplank-limit: 1\r\n";
    let foreign = "HTTP/1.1 200 OK\r\nx-clayplank-attempt-id: b\r\nx-clayplank-seal: s\r\n\
        x-clayplank-limit: 1\r\n";
    assert_eq!(limit_after(&[replaced]).await, None);
    assert_eq!(limit_after(&[foreign]).await, None);
}

/// Grants no permit at once: each request that waits gets one after the next of these delays.
fn delayed_permits(delays: Vec<Duration>) -> TestPlacer {
    let delays = Mutex::new(delays);
    TestPlacer::permitting(move |timeout| {
        if timeout.is_zero() {
            PermitReply::NotBefore(Duration::from_millis(50))
        } else {
            PermitReply::After(delays.lock().unwrap().remove(0))
        }
    })
}

/// Starts an upstream in a data centre that counts its connections and answers each.
async fn upstream(name: &str, data_centre: &str) -> (Record, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let Record { heartbeat, .. } = record(name, listener.local_addr().unwrap());
    let heartbeat = Heartbeat { data_centre: DataCentre::new(data_centre), ..heartbeat };
    let requests = Arc::<AtomicUsize>::default();
    let count = Arc::clone(&requests);
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            count.fetch_add(1, Ordering::SeqCst);
            read_some(&mut stream).await;
            let answer = format!("{HEAD_WITHOUT_LIMIT}content-length: 2\r\n\r\nok");
            stream.write_all(answer.as_bytes()).await.unwrap();
        }
    });
    (Record { heartbeat: heartbeat.with_name(name), is_silent: false }, requests)
}

#[tokio::test]
async fn a_request_that_waited_for_a_permit_avoids_a_data_centre_cordoned_meanwhile() {
    let (first, first_requests) = upstream("a", "emptied").await;
    let (second, second_requests) = upstream("b", "other").await;
    let directory = Arc::new(Directory::default());
    directory.apply(vec![first, second]);
    for name in ["a", "b"] {
        directory.record_limit(&LimitObservation {
            upstream: UpstreamId::new(name),
            requests_per_s: Some(1.0),
            at_ms: now_ms(),
        });
    }
    let delays = vec![Duration::from_millis(300), Duration::ZERO];
    let route = Route { goal_ms: 2_000, ..route(RequestKind::Unrepeatable) };
    let host = Host::start(
        EntryBuilder::default(),
        route,
        plain_service(),
        Arc::clone(&directory),
        Arc::new(delayed_permits(delays)),
    )
    .await;
    let mut caller = host.send().await;
    tokio::time::sleep(Duration::from_millis(100)).await;
    directory.set_cordoned([DataCentre::new("emptied")].into());
    let answer = read_some(&mut caller).await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert_eq!(first_requests.load(Ordering::SeqCst), 0);
    assert_eq!(second_requests.load(Ordering::SeqCst), 1);
}
