//! What a host takes from answers that name a limit.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use clayplank_forward::{BoxFuture, Directory, EntryBuilder, Placer, Turn, now_ms};
use clayplank_placement::{Ask, Event, Placed, PlacementId};
use clayplank_registry::{Heartbeat, ObservedLimit, Record};
use clayplank_routes::{RequestKind, Route};
use clayplank_types::{DataCentre, UpstreamId};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

use crate::harness::{Host, NoPlacer, plain_service, read_some, record, route};

/// A head of an answer that is the upstream's own, up to what a test adds.
const OWN: &str = "HTTP/1.1 200 OK\r\nx-clayplank-attempt-id: a\r\nx-clayplank-seal: s\r\n";

/// The limit that is known after an upstream gave these answers, to one request each.
async fn limit_after(answers: &[&str]) -> Option<f64> {
    let given: Vec<_> = answers.iter().map(|answer| (*answer).to_owned()).collect();
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let directory = Arc::new(Directory::default());
    directory.apply(vec![record("u", listener.local_addr().unwrap())]);
    tokio::spawn(async move {
        for answer in given {
            let (mut stream, _) = listener.accept().await.unwrap();
            read_some(&mut stream).await;
            stream
                .write_all(format!("{answer}content-length: 2\r\n\r\nok").as_bytes())
                .await
                .unwrap();
        }
    });
    let host = Host::start(
        EntryBuilder::default(),
        route(RequestKind::Unrepeatable),
        plain_service(),
        Arc::clone(&directory),
        Arc::new(NoPlacer),
    )
    .await;
    for _ in answers {
        let mut caller = host.connect().await;
        let request = "POST /x HTTP/1.1\r\nhost: dala.example\r\nx-clayplank-attempt-id: a\r\n\
            connection: close\r\ncontent-length: 0\r\n\r\n";
        caller.write_all(request.as_bytes()).await.unwrap();
        read_some(&mut caller).await;
    }
    directory.limit(&UpstreamId::new("u"))?.requests_per_s
}

const NAMED: &str = "HTTP/1.1 200 OK\r\nx-clayplank-attempt-id: a\r\nx-clayplank-seal: s\r\nx-clayplank-limit: 40.5\r\n";

#[tokio::test]
async fn a_limit_holds_until_an_answer_names_none() {
    assert_eq!(limit_after(&[OWN]).await, None);
    assert_eq!(limit_after(&[NAMED]).await, Some(40.5));
    assert_eq!(limit_after(&[NAMED, OWN]).await, None);
}

#[tokio::test]
async fn a_refusal_names_a_limit_too() {
    let full = "HTTP/1.1 503 Service Unavailable\r\nx-clayplank-attempt-id: a\r\n\
        x-clayplank-not-run: 1\r\nx-clayplank-limit: 0\r\n";
    assert_eq!(limit_after(&[full]).await, Some(0.0));
}

#[tokio::test]
async fn a_limit_that_is_no_rate_changes_nothing() {
    const MALFORMED: [&str; 4] = [
        "HTTP/1.1 200 OK\r\nx-clayplank-attempt-id: a\r\nx-clayplank-seal: s\r\nx-clayplank-limit: -1\r\n",
        "HTTP/1.1 200 OK\r\nx-clayplank-attempt-id: a\r\nx-clayplank-seal: s\r\nx-clayplank-limit: NaN\r\n",
        "HTTP/1.1 200 OK\r\nx-clayplank-attempt-id: a\r\nx-clayplank-seal: s\r\nx-clayplank-limit: few\r\n",
        "HTTP/1.1 200 OK\r\nx-clayplank-attempt-id: a\r\nx-clayplank-seal: s\r\nx-clayplank-limit:\r\n",
    ];
    assert_eq!(limit_after(&MALFORMED).await, None);
    assert_eq!(limit_after(&[NAMED, MALFORMED[0], MALFORMED[2]]).await, Some(40.5));
}

/// The answer may come from another life at the same address, or belong to another request.
#[tokio::test]
async fn a_limit_in_anothers_answer_is_not_the_upstreams() {
    let replaced = "HTTP/1.1 421 Misdirected Request\r\nx-clayplank-limit: 1\r\n";
    let foreign = "HTTP/1.1 200 OK\r\nx-clayplank-attempt-id: b\r\nx-clayplank-seal: s\r\n\
        x-clayplank-limit: 1\r\n";
    assert_eq!(limit_after(&[replaced]).await, None);
    assert_eq!(limit_after(&[foreign]).await, None);
}

/// The time until a turn, for each request that waits for one: no upstream has one at once.
struct Turns {
    waits: Mutex<Vec<Duration>>,
}

impl Placer for Turns {
    fn place<'a>(&'a self, _: &'a Ask) -> BoxFuture<'a, Placed> {
        Box::pin(std::future::ready(Placed::Full { retry_after_ms: 100 }))
    }

    fn note(&self, _: PlacementId, _: Event) {}

    fn note_limit(&self, _: &ObservedLimit) {}

    fn take_turn<'a>(&'a self, _: &'a ObservedLimit, patience: Duration) -> BoxFuture<'a, Turn> {
        let turn = if patience.is_zero() {
            Turn::NotBefore(Duration::from_millis(50))
        } else {
            Turn::After(self.waits.lock().unwrap().remove(0))
        };
        Box::pin(std::future::ready(turn))
    }

    fn next_id(&self) -> PlacementId {
        PlacementId::default()
    }
}

/// An upstream in a data centre; counts the connections that it gets, and answers.
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
            let answer = format!("{OWN}content-length: 2\r\n\r\nok");
            stream.write_all(answer.as_bytes()).await.unwrap();
        }
    });
    (Record { heartbeat: heartbeat.named(name), is_silent: false }, requests)
}

#[tokio::test]
async fn a_request_that_waited_for_its_turn_goes_to_no_data_centre_that_was_emptied_meanwhile() {
    let (first, at_first) = upstream("a", "emptied").await;
    let (second, at_second) = upstream("b", "other").await;
    let directory = Arc::new(Directory::default());
    directory.apply(vec![first, second]);
    for name in ["a", "b"] {
        directory.note_limit(&ObservedLimit {
            upstream: UpstreamId::new(name),
            requests_per_s: Some(1.0),
            at_ms: now_ms(),
        });
    }
    let waits = Mutex::new(vec![Duration::from_millis(300), Duration::ZERO]);
    let route = Route { goal_ms: 2_000, ..route(RequestKind::Unrepeatable) };
    let host = Host::start(
        EntryBuilder::default(),
        route,
        plain_service(),
        Arc::clone(&directory),
        Arc::new(Turns { waits }),
    )
    .await;
    let mut caller = host.connect().await;
    let request = "POST /x HTTP/1.1\r\nhost: dala.example\r\nx-clayplank-attempt-id: a\r\n\
        connection: close\r\ncontent-length: 0\r\n\r\n";
    caller.write_all(request.as_bytes()).await.unwrap();
    tokio::time::sleep(Duration::from_millis(100)).await;
    directory.set_cordoned([DataCentre::new("emptied")].into());
    let answer = read_some(&mut caller).await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert_eq!(at_first.load(Ordering::SeqCst), 0);
    assert_eq!(at_second.load(Ordering::SeqCst), 1);
}
