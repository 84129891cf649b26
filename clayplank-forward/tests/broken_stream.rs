//! What a stream holds that broke off, while no upstream goes on with it.

#![allow(clippy::disallowed_methods, reason = "tests measure and wait by the runtime's clock")]
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use bytes::Bytes;
use clayplank_forward::{
    BoxFuture, Directory, EntryBuilder, Gate, OrderFormat, Placer, now_ms, serve_callers,
};
use clayplank_placement::{Ask, Assignment, EngineModel, Event, Part, Placed, PlacementId};
use clayplank_registry::{Heartbeat, Record};
use clayplank_routes::{
    CallerLimits, PlanIndex, RequestKind, Route, ServiceGroup, ServingPlan, Target,
};
use clayplank_types::{DataCentre, UpstreamId};
use http::Request;
use http_body_util::Full;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// One event and the start of another: the engine's connection ends inside it.
const BROKEN_ANSWER: &str = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\
    x-clayplank-attempt-id: a1\r\nx-clayplank-seal: s\r\ntransfer-encoding: chunked\r\n\r\n\
    10\r\nid: 1\ndata: x\n\nid\r\n";

/// What happened, in order.
type Story = Arc<Mutex<Vec<&'static str>>>;

/// Places a prompt once, with memory at a helper; no engine goes on with its stream.
struct PlacesOnce {
    asked: AtomicU64,
    story: Story,
}

impl Placer for PlacesOnce {
    fn place<'a>(&'a self, _: &'a Ask) -> BoxFuture<'a, Placed> {
        let placed = match self.asked.fetch_add(1, Ordering::SeqCst) {
            0 => Placed::At(Assignment {
                engine: UpstreamId::new("writer"),
                helpers: vec![Part { engine: UpstreamId::new("helper"), reserve_tokens: 1_000 }],
                first_token_ms: 10.0,
            }),
            number => {
                if number == 3 {
                    self.story.lock().unwrap().push("still waits");
                }
                Placed::Full { retry_after_ms: 100 }
            }
        };
        Box::pin(std::future::ready(placed))
    }

    fn note(&self, _: PlacementId, _: Event) {}

    fn next_id(&self) -> PlacementId {
        PlacementId::default()
    }
}

struct Orders;

impl OrderFormat for Orders {
    fn reserve(&self, _: &str, _: u64, _: u64) -> Request<Full<Bytes>> {
        Request::post("/reserve").header("host", "helper").body(Full::default()).unwrap()
    }

    fn release(&self, _: &str) -> Request<Full<Bytes>> {
        Request::post("/release").header("host", "helper").body(Full::default()).unwrap()
    }
}

/// Answers every connection with a text, and tells what was asked.
async fn serve(listener: TcpListener, answer: &'static str, story: Option<Story>) {
    while let Ok((mut stream, _)) = listener.accept().await {
        let head = read_some(&mut stream).await;
        let names = [("/reserve", "reserved"), ("/release", "released")];
        if let Some(story) = &story
            && let Some((_, name)) = names.iter().find(|(path, _)| head.contains(path))
        {
            story.lock().unwrap().push(name);
        }
        stream.write_all(answer.as_bytes()).await.unwrap();
    }
}

async fn read_some(stream: &mut TcpStream) -> String {
    let mut bytes = vec![0; 4_096];
    let count = stream.read(&mut bytes).await.unwrap_or_default();
    String::from_utf8_lossy(&bytes[..count]).into_owned()
}

fn record(id: &str, address: SocketAddr) -> Record {
    let heartbeat =
        Heartbeat { address, service: "pool".to_owned(), slots: 4, ..Heartbeat::default() };
    Record { heartbeat: heartbeat.named(id), is_silent: false }
}

fn plan() -> PlanIndex {
    PlanIndex::new(ServingPlan {
        version: 1,
        routes: vec![Route {
            name: "prompt".to_owned(),
            host: "dala.example".to_owned(),
            path_prefix: "/".to_owned(),
            kind: RequestKind::ResumableStream,
            time_limit_ms: 9_000,
            goal_ms: 300,
            pause_goal_ms: Some(250),
            rank: 0,
            targets: vec![Target { service: "pool".to_owned(), weight: 1 }],
            max_attempts: 2,
            allows_anonymous: true,
        }],
        services: vec![ServiceGroup {
            name: "pool".to_owned(),
            engine: Some(EngineModel::default()),
        }],
        accounts: Vec::new(),
        limits: CallerLimits::default(),
    })
}

#[tokio::test]
async fn memory_of_a_stream_that_broke_off_is_given_back_before_another_engine_goes_on() {
    let story = Story::default();
    let listen = || TcpListener::bind("127.0.0.1:0");
    let (writer, helper, callers) =
        (listen().await.unwrap(), listen().await.unwrap(), listen().await.unwrap());
    let directory = Arc::new(Directory::default());
    directory.apply(vec![
        record("writer", writer.local_addr().unwrap()),
        record("helper", helper.local_addr().unwrap()),
    ]);
    let address = callers.local_addr().unwrap();
    let empty = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";
    tokio::spawn(serve(writer, BROKEN_ANSWER, None));
    tokio::spawn(serve(helper, empty, Some(Arc::clone(&story))));
    let gate = Arc::new(Gate::new(60_000));
    gate.set_plan(plan());
    gate.confirm(now_ms());
    let placer = Arc::new(PlacesOnce { asked: AtomicU64::new(0), story: Arc::clone(&story) });
    let entry = EntryBuilder::default()
        .orders(Arc::new(Orders))
        .data_centre(DataCentre::new("a"))
        .build(gate, directory, placer);
    let (_closing, closing) = watch::channel(false);
    tokio::spawn(serve_callers(callers, Arc::new(entry), closing));

    let mut caller = TcpStream::connect(address).await.unwrap();
    let request = "POST /x HTTP/1.1\r\nhost: dala.example\r\nx-clayplank-attempt-id: a1\r\n\
        x-clayplank-tokens: 90000,100\r\ncontent-length: 0\r\n\r\n";
    caller.write_all(request.as_bytes()).await.unwrap();
    let mut answer = Vec::new();
    caller.read_to_end(&mut answer).await.ok();
    let answer = String::from_utf8_lossy(&answer).into_owned();
    assert!(answer.contains("id: 1\ndata: x"), "{answer}");
    // Its caller waits for two seconds for the stream to go on; the placer is asked all the while.
    assert_eq!(*story.lock().unwrap(), ["reserved", "released", "still waits"]);
}
