//! What a prompt holds whose engine broke off or has gone, while no other goes on with it.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use clayplank_forward::{BoxFuture, Directory, EntryBuilder, Placer, Turn};
use clayplank_placement::{Ask, Assignment, EngineModel, Event, Part, Placed, PlacementId};
use clayplank_registry::{Heartbeat, ObservedLimit, Record};
use clayplank_routes::{RequestKind, Route, ServiceGroup};
use clayplank_types::{DataCentre, UpstreamId};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

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

/// A prompt on its way to a writer, with memory at a helper.
struct Prompt {
    directory: Arc<Directory>,
    caller: TcpStream,
    story: Story,
    _host: Host,
}

impl Prompt {
    /// Sends one; a writer without an answer is silent.
    async fn send(answer: Option<&'static str>) -> Self {
        let story = Story::default();
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
            None => tokio::spawn(be_silent(writer, Arc::clone(&story))),
        };
        tokio::spawn(serve(helper, empty, Some(Arc::clone(&story))));
        let placer = Arc::new(PlacesOnce { asked: AtomicU64::new(0), story: Arc::clone(&story) });
        let builder =
            EntryBuilder::default().orders(Arc::new(Orders)).data_centre(DataCentre::new("a"));
        let route = Route { pause_goal_ms: Some(250), ..route(RequestKind::ResumableStream) };
        let service = ServiceGroup { engine: Some(EngineModel::default()), ..plain_service() };
        let host = Host::start(builder, route, service, Arc::clone(&directory), placer).await;
        let mut caller = host.connect().await;
        let request = "POST /x HTTP/1.1\r\nhost: dala.example\r\nx-clayplank-attempt-id: a1\r\n\
            x-clayplank-tokens: 90000,100\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";
        caller.write_all(request.as_bytes()).await.unwrap();
        Self { directory, caller, story, _host: host }
    }

    async fn answer(&mut self) -> String {
        let mut answer = Vec::new();
        self.caller.read_to_end(&mut answer).await.ok();
        String::from_utf8_lossy(&answer).into_owned()
    }
}

/// Holds each connection, and says nothing.
async fn be_silent(listener: TcpListener, story: Story) {
    let mut held = Vec::new();
    while let Ok((stream, _)) = listener.accept().await {
        held.push(stream);
        story.lock().unwrap().push("sent");
    }
}

#[tokio::test]
async fn memory_of_a_stream_that_broke_off_is_given_back_before_another_engine_goes_on() {
    let mut prompt = Prompt::send(Some(BROKEN_ANSWER)).await;
    let answer = prompt.answer().await;
    assert!(answer.contains("id: 1\ndata: x"), "{answer}");
    // Its caller waits for two seconds for the stream to go on; the placer is asked all the while.
    assert_eq!(*prompt.story.lock().unwrap(), ["reserved", "released", "still waits"]);
}

#[tokio::test]
async fn memory_is_given_back_once_the_engine_that_was_to_use_it_is_replaced() {
    let mut prompt = Prompt::send(None).await;
    while !prompt.story.lock().unwrap().contains(&"sent") {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let Record { heartbeat, is_silent } =
        prompt.directory.record(&UpstreamId::new("writer")).unwrap();
    let later = Heartbeat { born_ms: 1, ..heartbeat }.named("writer");
    prompt.directory.apply(vec![Record { heartbeat: later, is_silent }]);
    let answer = prompt.answer().await;
    assert!(answer.starts_with("HTTP/1.1 502"), "its time is not over: {answer}");
    while prompt.story.lock().unwrap().len() < 3 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    assert_eq!(*prompt.story.lock().unwrap(), ["reserved", "sent", "released"]);
}
