//! Requests in flight to an upstream that a later incarnation has replaced.

use std::net::SocketAddr;
use std::sync::Arc;

use clayplank_forward::{Directory, EntryBuilder};
use clayplank_registry::{Heartbeat, Record, UpstreamStatus};
use clayplank_routes::{RequestKind, Route};
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;

use crate::harness::{Host, TestPlacer, plain_service, record, route};

const ANSWER: &str = "HTTP/1.1 200 OK\r\nx-clayplank-attempt-id: a\r\nx-clayplank-seal: s\r\n\
    content-length: 15\r\n\r\nid: 1\ndata: x\n\n";

/// Starts an upstream that answers its request once `answers` is signalled; without it, never. The
/// returned receiver is signalled when the request has arrived.
async fn upstream(answers: Option<oneshot::Receiver<()>>) -> (SocketAddr, oneshot::Receiver<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (arrival, arrived) = oneshot::channel();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut bytes = vec![0; 4_096];
        assert!(stream.read(&mut bytes).await.unwrap() > 0);
        // `quick_upstream` has dropped the receiver.
        arrival.send(()).ok();
        match answers {
            Some(answers) => answers.await.unwrap(),
            None => std::future::pending().await,
        }
        stream.write_all(ANSWER.as_bytes()).await.unwrap();
    });
    (address, arrived)
}

/// Starts an upstream that sends its answer but for the end, and then nothing more.
async fn stalled_upstream() -> (SocketAddr, oneshot::Receiver<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (begin, begun) = oneshot::channel();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut bytes = vec![0; 4_096];
        assert!(stream.read(&mut bytes).await.unwrap() > 0);
        stream.write_all(&ANSWER.as_bytes()[..ANSWER.len() - 2]).await.unwrap();
        begin.send(()).unwrap();
        std::future::pending::<()>().await;
    });
    (address, begun)
}

/// Starts an upstream that answers at once.
async fn quick_upstream() -> SocketAddr {
    let (now, answers) = oneshot::channel();
    now.send(()).unwrap();
    upstream(Some(answers)).await.0
}

/// The record of an incarnation that started at `born_ms`.
fn incarnation(name: &str, born_ms: u64, address: SocketAddr) -> Record {
    let Record { heartbeat, .. } = record(name, address);
    let heartbeat = Heartbeat { sequence: 1, born_ms, ..heartbeat }.with_name(name);
    Record { heartbeat, is_silent: false }
}

fn departed(record: &Record) -> Record {
    let mut record = record.clone();
    record.heartbeat.standing = UpstreamStatus::Gone;
    record.heartbeat.sequence += 1;
    record
}

/// A request in flight to the only upstream known at its start.
struct PendingRequest {
    directory: Arc<Directory>,
    caller: TcpStream,
    _host: Host,
}

impl PendingRequest {
    async fn start(kind: RequestKind, at: &Record, arrived: oneshot::Receiver<()>) -> Self {
        let directory = Arc::new(Directory::default());
        directory.apply(vec![at.clone()]);
        // Keeps the host from abandoning an unresponsive upstream before the time limit.
        let route = Route { time_limit_ms: 3_000, goal_ms: 3_000, ..route(kind) };
        let placer = Arc::new(TestPlacer::default());
        let host =
            Host::start(EntryBuilder::default(), route, plain_service(), directory.clone(), placer)
                .await;
        let mut caller = host.connect().await;
        let request = "POST /x HTTP/1.1\r\nhost: dala.example\r\nx-clayplank-attempt-id: a\r\n\
            connection: close\r\ncontent-length: 0\r\n\r\n";
        caller.write_all(request.as_bytes()).await.unwrap();
        arrived.await.unwrap();
        Self { directory, caller, _host: host }
    }

    /// The status line of the answer.
    async fn status(mut self) -> String {
        let mut answer = String::new();
        self.caller.read_to_string(&mut answer).await.unwrap();
        answer.lines().next().unwrap_or_default().to_owned()
    }
}

#[rstest]
#[case::repeatable(RequestKind::Repeatable, "HTTP/1.1 200 OK")]
#[case::unrepeatable(RequestKind::Unrepeatable, "HTTP/1.1 502 Bad Gateway")]
#[case::stream(RequestKind::ResumableStream, "HTTP/1.1 200 OK")]
#[tokio::test]
async fn a_request_does_not_wait_for_a_replaced_incarnation(
    #[case] kind: RequestKind,
    #[case] status: &str,
) {
    let (address, arrived) = upstream(None).await;
    let former = incarnation("u", 1, address);
    let pending = PendingRequest::start(kind, &former, arrived).await;
    pending.directory.apply(vec![incarnation("u", 2, quick_upstream().await)]);
    assert_eq!(pending.status().await, status);
}

#[rstest]
#[case::repeatable(RequestKind::Repeatable, "HTTP/1.1 200 OK")]
#[case::unrepeatable(RequestKind::Unrepeatable, "HTTP/1.1 502 Bad Gateway")]
#[tokio::test]
async fn a_request_does_not_wait_for_the_rest_of_an_answer_of_a_replaced_incarnation(
    #[case] kind: RequestKind,
    #[case] status: &str,
) {
    let (address, begun) = stalled_upstream().await;
    let former = incarnation("u", 1, address);
    let pending = PendingRequest::start(kind, &former, begun).await;
    pending.directory.apply(vec![incarnation("u", 2, quick_upstream().await)]);
    assert_eq!(pending.status().await, status);
}

/// The address alone distinguishes incarnations of an upstream that does not report its start time.
#[tokio::test]
async fn a_request_does_not_wait_once_another_upstream_has_the_address() {
    let (address, arrived) = upstream(None).await;
    let former = incarnation("u", 1, address);
    let pending = PendingRequest::start(RequestKind::Unrepeatable, &former, arrived).await;
    pending.directory.apply(vec![incarnation("v", 2, address), departed(&former)]);
    assert_eq!(pending.status().await, "HTTP/1.1 502 Bad Gateway");
}

/// A departing upstream completes the requests that it has.
#[tokio::test]
async fn a_request_at_a_departed_upstream_is_answered() {
    let (answer, answers) = oneshot::channel();
    let (address, arrived) = upstream(Some(answers)).await;
    let former = incarnation("u", 1, address);
    let pending = PendingRequest::start(RequestKind::Unrepeatable, &former, arrived).await;
    pending.directory.apply(vec![departed(&former), incarnation("v", 2, quick_upstream().await)]);
    tokio::task::yield_now().await;
    answer.send(()).unwrap();
    assert_eq!(pending.status().await, "HTTP/1.1 200 OK");
}

#[tokio::test]
async fn a_late_record_of_a_former_incarnation_aborts_no_request() {
    let (answer, answers) = oneshot::channel();
    let (address, arrived) = upstream(Some(answers)).await;
    let current = incarnation("v", 2, address);
    let pending = PendingRequest::start(RequestKind::Unrepeatable, &current, arrived).await;
    let late = incarnation("u", 1, address);
    pending.directory.apply(vec![late.clone()]);
    pending.directory.apply(vec![departed(&late)]);
    tokio::task::yield_now().await;
    answer.send(()).unwrap();
    assert_eq!(pending.status().await, "HTTP/1.1 200 OK");
}
