//! What a stream holds that broke off, while no upstream goes on with it.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use clayplank_forward::{BoxFuture, Directory, EntryBuilder, Placer, Turn};
use clayplank_placement::{Ask, Assignment, EngineModel, Event, Part, Placed, PlacementId};
use clayplank_registry::ObservedLimit;
use clayplank_routes::{RequestKind, Route, ServiceGroup};
use clayplank_types::{DataCentre, UpstreamId};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

use crate::harness::{Host, Orders, plain_service, read_some, record, route};

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

    fn note_limit(&self, _: &ObservedLimit) {}

    fn take_turn<'a>(&'a self, _: &'a ObservedLimit, _: Duration) -> BoxFuture<'a, Turn> {
        Box::pin(std::future::ready(Turn::Unknown))
    }

    fn next_id(&self) -> PlacementId {
        PlacementId::default()
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

#[tokio::test]
async fn memory_of_a_stream_that_broke_off_is_given_back_before_another_engine_goes_on() {
    let story = Story::default();
    let listen = || TcpListener::bind("127.0.0.1:0");
    let (writer, helper) = (listen().await.unwrap(), listen().await.unwrap());
    let directory = Arc::new(Directory::default());
    directory.apply(vec![
        record("writer", writer.local_addr().unwrap()),
        record("helper", helper.local_addr().unwrap()),
    ]);
    let empty = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";
    tokio::spawn(serve(writer, BROKEN_ANSWER, None));
    tokio::spawn(serve(helper, empty, Some(Arc::clone(&story))));
    let placer = Arc::new(PlacesOnce { asked: AtomicU64::new(0), story: Arc::clone(&story) });
    let builder =
        EntryBuilder::default().orders(Arc::new(Orders)).data_centre(DataCentre::new("a"));
    let route = Route { pause_goal_ms: Some(250), ..route(RequestKind::ResumableStream) };
    let service = ServiceGroup { engine: Some(EngineModel::default()), ..plain_service() };
    let host = Host::start(builder, route, service, directory, placer).await;

    let mut caller = host.connect().await;
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
