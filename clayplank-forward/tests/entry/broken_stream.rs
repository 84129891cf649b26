//! Release of a prompt's reservations at helper engines after its engine broke off the stream or
//! was replaced, while no other engine resumes the prompt.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use clayplank_forward::{Directory, EntryBuilder};
use clayplank_placement::{Assignment, EngineModel, HelperPart, PlacementOutcome};
use clayplank_registry::{Heartbeat, Record};
use clayplank_routes::{RequestKind, Route, ServiceGroup};
use clayplank_types::{DataCentre, UpstreamId};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use crate::harness::{Host, PathCommands, TestPlacer, plain_service, read_some, record, route};

/// One complete event and the start of another; the engine closes the connection amid the second.
const TRUNCATED_STREAM: &str = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\
    x-clayplank-attempt-id: a1\r\nx-clayplank-seal: s\r\ntransfer-encoding: chunked\r\n\r\n\
    10\r\nid: 1\ndata: x\n\nid\r\n";

/// Steps observed during the test, in order.
type StepLog = Arc<Mutex<Vec<&'static str>>>;

/// Places a prompt once, on `writer` with a reservation at `helper`. Later requests find no capacity, so
/// that no other engine resumes the stream.
fn single_placement(steps: StepLog) -> TestPlacer {
    let requests = AtomicU64::new(0);
    TestPlacer::placing(move |_| match requests.fetch_add(1, Ordering::SeqCst) {
        0 => PlacementOutcome::At(Assignment {
            engine: UpstreamId::new("writer"),
            helpers: vec![HelperPart { engine: UpstreamId::new("helper"), reserve_tokens: 1_000 }],
            first_token_ms: 10.0,
        }),
        number => {
            if number == 3 {
                steps.lock().unwrap().push("still waits");
            }
            PlacementOutcome::Full { retry_after_ms: 100 }
        }
    })
}

/// Sends `answer` on every connection, and logs the reservations and releases received.
async fn serve(listener: TcpListener, answer: &'static str, steps: Option<StepLog>) {
    while let Ok((mut stream, _)) = listener.accept().await {
        let head = read_some(&mut stream).await;
        let names = [("/reserve", "reserved"), ("/release", "released")];
        if let Some(steps) = &steps
            && let Some((_, name)) = names.iter().find(|(path, _)| head.contains(path))
        {
            steps.lock().unwrap().push(name);
        }
        stream.write_all(answer.as_bytes()).await.unwrap();
    }
}

/// A prompt sent to `writer`, with a reservation at `helper`.
struct Prompt {
    directory: Arc<Directory>,
    caller: TcpStream,
    steps: StepLog,
    _host: Host,
}

impl Prompt {
    /// Sends the prompt. Without `answer` the writer accepts the connection and never responds.
    async fn send(answer: Option<&'static str>) -> Self {
        let steps = StepLog::default();
        let listen = || TcpListener::bind("127.0.0.1:0");
        let (writer, helper) = (listen().await.unwrap(), listen().await.unwrap());
        let directory = Arc::new(Directory::default());
        directory.apply(vec![
            record("writer", writer.local_addr().unwrap()),
            record("helper", helper.local_addr().unwrap()),
        ]);
        let empty = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";
        match answer {
            Some(answer) => tokio::spawn(serve(writer, answer, None)),
            None => tokio::spawn(accept_without_answer(writer, Arc::clone(&steps))),
        };
        tokio::spawn(serve(helper, empty, Some(Arc::clone(&steps))));
        let placer = Arc::new(single_placement(Arc::clone(&steps)));
        let builder = EntryBuilder::default()
            .command_format(Arc::new(PathCommands))
            .data_centre(DataCentre::new("a"));
        let route = Route { pause_goal_ms: Some(250), ..route(RequestKind::ResumableStream) };
        let service = ServiceGroup { engine: Some(EngineModel::default()), ..plain_service() };
        let host = Host::start(builder, route, service, Arc::clone(&directory), placer).await;
        let mut caller = host.connect().await;
        let request = "POST /x HTTP/1.1\r\nhost: dala.example\r\nx-clayplank-attempt-id: a1\r\n\
            x-clayplank-tokens: 90000,100\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";
        caller.write_all(request.as_bytes()).await.unwrap();
        Self { directory, caller, steps, _host: host }
    }

    async fn answer(&mut self) -> String {
        let mut answer = Vec::new();
        self.caller.read_to_end(&mut answer).await.ok();
        String::from_utf8_lossy(&answer).into_owned()
    }
}

/// Keeps each connection open without an answer.
async fn accept_without_answer(listener: TcpListener, steps: StepLog) {
    let mut connections = Vec::new();
    while let Ok((stream, _)) = listener.accept().await {
        connections.push(stream);
        steps.lock().unwrap().push("sent");
    }
}

#[tokio::test]
async fn reservations_of_a_broken_stream_are_released_before_another_engine_resumes_it() {
    let mut prompt = Prompt::send(Some(TRUNCATED_STREAM)).await;
    let answer = prompt.answer().await;
    assert!(answer.contains("id: 1\ndata: x"), "{answer}");
    // The host requests new placements for 2 s, while the caller waits for the stream to resume.
    assert_eq!(*prompt.steps.lock().unwrap(), ["reserved", "released", "still waits"]);
}

#[tokio::test]
async fn reservations_are_released_once_the_engine_of_the_prompt_is_replaced() {
    let mut prompt = Prompt::send(None).await;
    while !prompt.steps.lock().unwrap().contains(&"sent") {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let Record { heartbeat, is_silent } =
        prompt.directory.record(&UpstreamId::new("writer")).unwrap();
    let later = Heartbeat { born_ms: 1, ..heartbeat }.with_name("writer");
    prompt.directory.apply(vec![Record { heartbeat: later, is_silent }]);
    let answer = prompt.answer().await;
    assert!(answer.starts_with("HTTP/1.1 502"), "the time limit has not passed yet: {answer}");
    while prompt.steps.lock().unwrap().len() < 3 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    assert_eq!(*prompt.steps.lock().unwrap(), ["reserved", "sent", "released"]);
}
