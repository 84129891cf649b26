//! Log lines about the calls of one caller: they share a fingerprint and state what is left of its time,
//! so that a tool can join them.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, Once};
use std::time::Duration;

use clayplank_forward::{Directory, EntryBuilder, QueueLimits};
use clayplank_placement::{Assignment, EngineModel, PlacementOutcome};
use clayplank_routes::{RequestKind, Route, ServiceGroup};
use clayplank_types::{QuarantineEntry, SuspectKind, UpstreamId};
use log::kv::{Key, Value, VisitSource};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::harness::{
    Host, TestPlacer, WAIT_TIMEOUT, answering_upstream, plain_service, read_some, route,
};

/// Time until the deadline of each request, in ms.
const DEADLINE_MS: u64 = 5_000;

/// Maximum time between two readings of the clock for one line, on a busy machine, in ms.
const MAX_READING_GAP_MS: u64 = 200;

/// Fields of a line, and its message under the key `message`.
type Line = BTreeMap<String, String>;

/// All lines of this process. Tests run side by side, so each reads only those of its own requests.
static LINES: Mutex<Vec<Line>> = Mutex::new(Vec::new());

struct Recorder;

struct Fields(Line);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), log::kv::Error> {
        self.0.insert(key.to_string(), value.to_string());
        Ok(())
    }
}

impl log::Log for Recorder {
    fn enabled(&self, metadata: &log::Metadata<'_>) -> bool {
        metadata.target() == "forward"
    }

    fn log(&self, record: &log::Record<'_>) {
        if self.enabled(record.metadata()) {
            let mut fields = Fields(Line::new());
            record.key_values().visit(&mut fields).unwrap();
            fields.0.insert("message".to_owned(), record.args().to_string());
            LINES.lock().unwrap().push(fields.0);
        }
    }

    fn flush(&self) {}
}

fn start_recording() {
    static START: Once = Once::new();
    START.call_once(|| {
        log::set_logger(&Recorder).unwrap();
        log::set_max_level(log::LevelFilter::Info);
    });
}

/// Waits for the line with this message about a request.
async fn line(attempt: &str, message: &str) -> Line {
    let found = async {
        loop {
            let is_sought = |line: &&Line| {
                line["message"] == message && line.get("request").is_some_and(|id| id == attempt)
            };
            if let Some(line) = LINES.lock().unwrap().iter().find(is_sought) {
                return line.clone();
            }
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    };
    let found = tokio::time::timeout(WAIT_TIMEOUT, found).await;
    found.unwrap_or_else(|_| panic!("{attempt}: {message}"))
}

fn count_lines(attempt: &str) -> usize {
    let lines = LINES.lock().unwrap();
    lines.iter().filter(|line| line.get("request").is_some_and(|id| id == attempt)).count()
}

/// Asserts that a line has what joins it with others, and returns its fingerprint.
fn joining_fields(line: &Line) -> String {
    let left_ms: u64 = line["left_ms"].parse().unwrap();
    let waited_ms: u64 = line["waited_ms"].parse().unwrap();
    // The clock is read for each of the two.
    let limit_ms = DEADLINE_MS - MAX_READING_GAP_MS..=DEADLINE_MS;
    assert!(limit_ms.contains(&(left_ms + waited_ms)), "{line:?}");
    assert_eq!(line["fingerprint"].len(), 32, "{line:?}");
    line["fingerprint"].clone()
}

/// Starts a host with one engine, whose answer has the attempt's id.
async fn start(placer: TestPlacer, kind: RequestKind, attempt: &str) -> Host {
    start_recording();
    let answer = format!(
        "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\
         x-clayplank-attempt-id: {attempt}\r\nx-clayplank-seal: s\r\n"
    );
    let directory = Arc::new(Directory::default());
    directory.apply(vec![answering_upstream("e", &[&answer]).await]);
    let builder = EntryBuilder::default().queue_limits(QueueLimits { requests: 8, bytes: 1 << 20 });
    let service = ServiceGroup { engine: Some(EngineModel::default()), ..plain_service() };
    let route = Route { time_limit_ms: 9_000, ..route(kind) };
    Host::start(builder, route, service, directory, Arc::new(placer)).await
}

async fn send(host: &Host, attempt: &str) -> TcpStream {
    let mut caller = host.connect().await;
    let request = format!(
        "POST /x HTTP/1.1\r\nhost: dala.example\r\nx-clayplank-attempt-id: {attempt}\r\n\
         x-clayplank-tokens: 100,10\r\nx-clayplank-deadline-ms: {DEADLINE_MS}\r\n\
         connection: close\r\ncontent-length: 0\r\n\r\n"
    );
    caller.write_all(request.as_bytes()).await.unwrap();
    caller
}

async fn call(host: &Host, attempt: &str) -> String {
    let mut caller = send(host, attempt).await;
    let mut answer = String::new();
    loop {
        let read = read_some(&mut caller).await;
        if read.is_empty() {
            return answer;
        }
        answer.push_str(&read);
    }
}

fn queueing() -> TestPlacer {
    TestPlacer::placing(|_| PlacementOutcome::Queued { expected_ms: 120 })
}

fn placing() -> TestPlacer {
    TestPlacer::placing(|_| {
        let engine = UpstreamId::new("e");
        PlacementOutcome::At(Assignment { engine, helpers: Vec::new(), first_token_ms: 10.0 })
    })
}

/// Guards against calls of one caller that a tool cannot join: a refusal, its repetition that is refused
/// at the door, and one whose caller leaves.
#[tokio::test]
async fn all_calls_of_a_caller_have_the_same_fingerprint() {
    let refused = || std::future::ready(PlacementOutcome::Full { retry_after_ms: 230 });
    let placer = queueing().deciding(move |_| Box::pin(refused()));
    let host = start(placer, RequestKind::ResumableStream, "first").await;
    assert!(call(&host, "first").await.starts_with("HTTP/1.1 503"));
    let queued = line("first", "The request was queued").await;
    assert_eq!((&*queued["expected_ms"], &*queued["prompt_tokens"]), ("120", "100"));
    assert_eq!(queued["route"], "all");
    assert!(queued["left_ms"].parse::<u64>().unwrap() > 0);
    let decided = line("first", "A queued request was decided").await;
    assert_eq!((&*decided["outcome"], &*decided["retry_after_ms"]), ("refused", "230"));
    assert_eq!(count_lines("first"), 3, "queued, decided and refused, once each");
    let fingerprint = joining_fields(&line("first", "Gave a request up").await);
    assert_eq!(joining_fields(&decided), fingerprint);
    assert_eq!(queued["fingerprint"], fingerprint);

    host.entry.set_quarantined(vec![QuarantineEntry {
        kind: SuspectKind::Request,
        fingerprint: fingerprint.parse().unwrap(),
        caller: String::new(),
        ended: Vec::new(),
        next_trial_in_ms: Some(60_000),
    }]);
    assert!(call(&host, "second").await.starts_with("HTTP/1.1 503"));
    assert_eq!(joining_fields(&line("second", "Refused at the door").await), fingerprint);

    let undecided = queueing().deciding(|_| Box::pin(std::future::pending()));
    let host = start(undecided, RequestKind::ResumableStream, "third").await;
    let caller = send(&host, "third").await;
    line("third", "The request was queued").await;
    drop(caller);
    let left = line("third", "The caller left before an answer").await;
    assert_eq!(joining_fields(&left), fingerprint);
}

/// Guards against answers that cannot be joined with the refusals before them.
#[tokio::test]
async fn answers_have_the_fingerprint_of_their_request() {
    let host = start(placing(), RequestKind::ResumableStream, "stream").await;
    assert!(call(&host, "stream").await.starts_with("HTTP/1.1 200"));
    let fingerprint = joining_fields(&line("stream", "A stream ended").await);
    let host = start(placing(), RequestKind::Repeatable, "plain").await;
    assert!(call(&host, "plain").await.starts_with("HTTP/1.1 200"));
    assert_eq!(joining_fields(&line("plain", "Answered").await), fingerprint);
}

/// Guards against a refusal at the door whose unknown fields look like those of another request.
#[tokio::test]
async fn a_refusal_before_the_request_is_known_has_no_fingerprint() {
    let host = start(placing(), RequestKind::Repeatable, "unknown").await;
    host.gate.close();
    assert!(call(&host, "unknown").await.starts_with("HTTP/1.1 503"));
    let line = line("unknown", "Refused at the door").await;
    assert_eq!(line["fingerprint"], "");
    assert!(line["left_ms"].parse::<u64>().unwrap() > DEADLINE_MS / 2, "the caller sent it");
}
