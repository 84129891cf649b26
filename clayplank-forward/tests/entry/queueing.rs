//! Requests that wait in the admission queue: how long they wait at most, what their callers are told,
//! and that their turn and the host's counters are freed however the wait ends.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use clayplank_forward::{Directory, EntryBuilder, Placer, QueueLimits};
use clayplank_placement::{
    Assignment, EngineModel, Event, PlacementOutcome, PlacementRequest, QueueTerms,
};
use clayplank_registry::Record;
use clayplank_routes::{RequestKind, Route, ServiceGroup};
use clayplank_types::UpstreamId;
use rstest::rstest;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};

use crate::harness::{
    Host, TestPlacer, Turn, answering_upstream, plain_service, read_some, record, route, wait_until,
};

const ANSWER: &str = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\
    x-clayplank-attempt-id: a\r\nx-clayplank-seal: s\r\n";

/// Bounds that no test of a single request reaches.
const AMPLE: QueueLimits = QueueLimits { requests: 8, bytes: 1 << 20 };

/// What the placer was asked.
type Requests = Arc<Mutex<Vec<PlacementRequest>>>;

/// Number of turns that are waited for.
#[derive(Clone, Default)]
struct OpenTurns(Arc<AtomicUsize>);

impl OpenTurns {
    fn count(&self) -> usize {
        self.0.load(Ordering::SeqCst)
    }

    /// A turn that counts as open until it is dropped.
    fn open(&self, decision: impl Future<Output = PlacementOutcome> + Send + 'static) -> Turn {
        self.0.fetch_add(1, Ordering::SeqCst);
        let guard = OpenTurn(self.clone());
        Box::pin(async move {
            let _guard = guard;
            decision.await
        })
    }
}

struct OpenTurn(OpenTurns);

impl Drop for OpenTurn {
    fn drop(&mut self) {
        self.0.0.fetch_sub(1, Ordering::SeqCst);
    }
}

fn at_engine() -> PlacementOutcome {
    let engine = UpstreamId::new("e");
    PlacementOutcome::At(Assignment { engine, helpers: Vec::new(), first_token_ms: 10.0 })
}

/// Queues the requests with queue terms and refuses the others, as a keeper with a full fleet.
fn queueing(requests: &Requests) -> TestPlacer {
    let requests = Arc::clone(requests);
    TestPlacer::placing(move |request| {
        requests.lock().unwrap().push(request.clone());
        match request.queue_terms {
            Some(_) => PlacementOutcome::Queued { expected_ms: 100 },
            None => PlacementOutcome::Full { retry_after_ms: 100 },
        }
    })
}

struct Scene {
    host: Host,
    placer: Arc<TestPlacer>,
    requests: Requests,
    turns: OpenTurns,
}

impl Scene {
    /// Starts a host with one engine; `decide` returns the decision on each queued request.
    async fn start<D>(
        limits: Option<QueueLimits>,
        route: Route,
        decide: impl Fn() -> D + Send + Sync + 'static,
    ) -> Self
    where
        D: Future<Output = PlacementOutcome> + Send + 'static,
    {
        let upstream = answering_upstream("e", &[ANSWER]).await;
        let builder = EntryBuilder::default().queue_limits(limits);
        Self::start_with(builder, upstream, route, decide).await
    }

    async fn start_with<D>(
        builder: EntryBuilder,
        upstream: Record,
        route: Route,
        decide: impl Fn() -> D + Send + Sync + 'static,
    ) -> Self
    where
        D: Future<Output = PlacementOutcome> + Send + 'static,
    {
        let (requests, turns) = (Requests::default(), OpenTurns::default());
        let placer = queueing(&requests);
        let opened = turns.clone();
        let placer = Arc::new(placer.deciding(move |_| opened.open(decide())));
        let directory = Arc::new(Directory::default());
        directory.apply(vec![upstream]);
        let service = ServiceGroup { engine: Some(EngineModel::default()), ..plain_service() };
        let shared = Arc::clone(&placer) as Arc<dyn Placer>;
        let host = Host::start(builder, route, service, directory, shared).await;
        Self { host, placer, requests, turns }
    }

    fn queue_terms(&self) -> Vec<Option<QueueTerms>> {
        self.requests.lock().unwrap().iter().map(|one| one.queue_terms.clone()).collect()
    }

    /// Sends a request with a body.
    async fn send_body(&self, bytes: usize) -> TcpStream {
        let mut caller = self.host.connect().await;
        let head = format!(
            "POST /x HTTP/1.1\r\nhost: dala.example\r\nx-clayplank-attempt-id: a\r\n\
             x-clayplank-tokens: 100,10\r\nconnection: close\r\ncontent-length: {bytes}\r\n\r\n"
        );
        caller.write_all(head.as_bytes()).await.unwrap();
        caller.write_all(&vec![b'a'; bytes]).await.unwrap();
        caller
    }

    /// Value of a metric; `None` if there is none of this name and these labels.
    fn metric(&self, name: &str) -> Option<u64> {
        let text = self.host.entry.metrics_text();
        let line = text.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
        line.map(|value| value.parse().unwrap())
    }

    /// Number of requests that have left the queue with this outcome.
    fn ended(&self, outcome: &str) -> u64 {
        self.metric(&format!("clayplank_entry_queue_ended_total{{outcome=\"{outcome}\"}}")).unwrap()
    }

    async fn wait_for_turns(&self, count: usize) {
        wait_until(&format!("{count} open turns"), || self.turns.count() == count).await;
    }
}

async fn after(delay_ms: u64, outcome: PlacementOutcome) -> PlacementOutcome {
    tokio::time::sleep(Duration::from_millis(delay_ms)).await;
    outcome
}

fn stream_route() -> Route {
    route(RequestKind::ResumableStream)
}

/// Guards against a request that is refused, or asked for again, although the placer granted its turn.
#[rstest]
#[case::repeatable(RequestKind::Repeatable)]
#[case::stream(RequestKind::Stream)]
#[case::resumable_stream(RequestKind::ResumableStream)]
#[tokio::test]
async fn a_queued_request_is_sent_once_it_is_placed(#[case] kind: RequestKind) {
    let scene = Scene::start(Some(AMPLE), route(kind), || after(60, at_engine())).await;
    let answer = scene.host.call().await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    let terms = scene.queue_terms();
    let [Some(terms)] = &terms[..] else { panic!("asked once, with queue terms: {terms:?}") };
    assert!((8_000.0..=9_000.0).contains(&terms.deadline_ms), "{terms:?}");
    assert_eq!(scene.turns.count(), 0);
}

/// Guards against a host that replaces an appointment by its own minimum retry time: the caller would
/// come after the reserved capacity is given to others.
#[tokio::test]
async fn a_queued_request_that_is_refused_is_told_its_appointment() {
    let refused = || after(60, PlacementOutcome::Full { retry_after_ms: 230 });
    let scene = Scene::start(Some(AMPLE), stream_route(), refused).await;
    let answer = scene.host.call().await;
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert!(answer.contains("retry-after: 0.230"), "{answer}");
    assert_eq!(scene.turns.count(), 0);
}

/// Guards against a turn that outlives its caller: an engine's slot would be given to nobody.
#[tokio::test]
async fn a_caller_that_leaves_gives_its_turn_up() {
    let one = QueueLimits { requests: 1, bytes: 0 };
    let scene = Scene::start(Some(one), stream_route(), std::future::pending).await;
    let caller = scene.host.send().await;
    scene.wait_for_turns(1).await;
    let left_at = Instant::now();
    drop(caller);
    scene.wait_for_turns(0).await;
    assert!(left_at.elapsed() < Duration::from_secs(1), "{:?}", left_at.elapsed());
    // The only permit of the host is free again.
    let _next = scene.host.send().await;
    scene.wait_for_turns(1).await;
}

/// Guards against a placer that never decides: the caller would wait until it leaves, without an answer.
#[rstest]
#[case::limit_of_the_route(RequestKind::ResumableStream, 9_000, 2_000)]
#[case::deadline(RequestKind::ResumableStream, 700, 700)]
#[case::repeatable_request(RequestKind::Repeatable, 700, 700)]
#[tokio::test]
async fn an_undecided_request_is_refused_before_its_caller_leaves(
    #[case] kind: RequestKind,
    #[case] time_limit_ms: u64,
    #[case] leaves_after_ms: u64,
) {
    let route = Route { time_limit_ms, pause_goal_ms: Some(250), ..route(kind) };
    let scene = Scene::start(Some(AMPLE), route, std::future::pending).await;
    let sent_at = Instant::now();
    let answer = scene.host.call().await;
    let took = sent_at.elapsed();
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert!(answer.contains("retry-after: 0.700"), "{answer}");
    let leaves_after = Duration::from_millis(leaves_after_ms);
    assert!(took < leaves_after && took > leaves_after / 2, "{took:?}");
    assert_eq!(scene.turns.count(), 0);
    assert_eq!(scene.requests.lock().unwrap().len(), 1, "it is not queued again");
}

/// Guards against a placer that defers a request for longer than its caller waits.
#[rstest]
#[case::before_it_is_queued(false)]
#[case::in_the_queue(true)]
#[tokio::test]
async fn a_deferred_request_is_refused_before_its_caller_leaves(#[case] is_queued: bool) {
    let soon = PlacementOutcome::Soon { again_in_ms: 60_000 };
    let deferred = soon.clone();
    let placer = TestPlacer::placing(move |request| match request.queue_terms {
        Some(_) if is_queued => PlacementOutcome::Queued { expected_ms: 100 },
        Some(_) => soon.clone(),
        None => PlacementOutcome::Full { retry_after_ms: 100 },
    });
    let placer = placer.deciding(move |_| Box::pin(std::future::ready(deferred.clone())));
    let route = Route { time_limit_ms: 700, ..stream_route() };
    let service = ServiceGroup { engine: Some(EngineModel::default()), ..plain_service() };
    let builder = EntryBuilder::default().queue_limits(AMPLE);
    let directory = Arc::new(Directory::default());
    let host = Host::start(builder, route, service, directory, Arc::new(placer)).await;
    let answer = host.call().await;
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert!(answer.contains("retry-after: 0.700"), "{answer}");
}

/// Guards against requests that wait without bounds, and against a host that queues without being
/// allowed to: both use memory that the host does not have.
#[rstest]
#[case::no_limits(None, 0)]
#[case::no_request(Some(QueueLimits { requests: 0, bytes: 1 << 20 }), 0)]
#[case::two_requests(Some(QueueLimits { requests: 2, bytes: 1 << 20 }), 2)]
#[case::bytes_of_three_bodies(Some(QueueLimits { requests: 8, bytes: 3_500 }), 3)]
#[tokio::test]
async fn requests_beyond_the_limits_are_not_queued(
    #[case] limits: Option<QueueLimits>,
    #[case] queued: usize,
) {
    let scene = Scene::start(limits, stream_route(), std::future::pending).await;
    let mut callers = Vec::new();
    for count in 1..=queued {
        callers.push(scene.send_body(1_000).await);
        scene.wait_for_turns(count).await;
    }
    let answer = read_some(&mut scene.send_body(1_000).await).await;
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert!(answer.contains("retry-after: 0.700"), "the minimum of an unqueued request: {answer}");
    assert_eq!(scene.queue_terms().last(), Some(&None));
    // A caller that leaves makes room for another request.
    if callers.pop().is_some() {
        scene.wait_for_turns(queued - 1).await;
        callers.push(scene.send_body(1_000).await);
        scene.wait_for_turns(queued).await;
    }
}

/// Guards against requests that wait in the queue and use up the buffers of the host: it would refuse
/// arrivals, and delay the answers of requests that run. Also guards against a body that counts nowhere
/// once its request is placed while the buffers are full.
#[tokio::test]
async fn waiting_bodies_take_no_buffers() {
    const BODY_BYTES: usize = 60 << 10;
    let silent = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let limits = QueueLimits { requests: 8, bytes: 2 * BODY_BYTES };
    let builder = EntryBuilder::default().queue_limits(limits).max_buffered_bytes(64 << 10);
    let upstream = record("e", silent.local_addr().unwrap());
    let (are_placed, placed) = tokio::sync::watch::channel(false);
    let decide = move || {
        let mut placed = placed.clone();
        async move {
            placed.wait_for(|is_placed| *is_placed).await.unwrap();
            at_engine()
        }
    };
    let scene = Scene::start_with(builder, upstream, stream_route(), decide).await;
    let _first = scene.send_body(BODY_BYTES).await;
    scene.wait_for_turns(1).await;
    let _second = scene.send_body(BODY_BYTES).await;
    scene.wait_for_turns(2).await;
    assert_eq!(scene.metric("clayplank_entry_held_bytes"), Some(0));

    // Only one of the bodies fits the buffers; the other takes half of the queue's bytes.
    are_placed.send_replace(true);
    wait_until("the placement of both", || scene.ended("placed") == 2).await;
    // 16 KiB of each body are not counted; each chunk is rounded up to 1 KiB.
    let held_bytes = scene.metric("clayplank_entry_held_bytes").unwrap();
    assert!((44 << 10..BODY_BYTES as u64).contains(&held_bytes), "{held_bytes}");
    are_placed.send_replace(false);
    let mut callers = Vec::new();
    for count in 1..=3 {
        callers.push(scene.send_body(16 << 10).await);
        scene.wait_for_turns(count).await;
    }
    callers.push(scene.send_body(16 << 10).await);
    wait_until("the sixth request", || scene.requests.lock().unwrap().len() == 6).await;
    assert_eq!(scene.queue_terms().last(), Some(&None));
}

/// Guards against new limits that apply only after a restart, or that drop those who wait already.
#[tokio::test]
async fn limits_change_while_the_host_runs() {
    let scene = Scene::start(None, stream_route(), std::future::pending).await;
    assert!(scene.host.call().await.starts_with("HTTP/1.1 503"));
    scene.host.entry.set_queue_limits(AMPLE);
    let _first = scene.host.send().await;
    scene.wait_for_turns(1).await;
    scene.host.entry.set_queue_limits(None);
    assert!(scene.host.call().await.starts_with("HTTP/1.1 503"));
    assert_eq!(scene.turns.count(), 1);
}

/// Guards against a request that may run only once and is nevertheless held at the host.
#[tokio::test]
async fn an_unrepeatable_request_is_not_queued() {
    let route = route(RequestKind::Unrepeatable);
    let scene = Scene::start(Some(AMPLE), route, std::future::pending).await;
    assert!(scene.host.call().await.starts_with("HTTP/1.1 503"));
    assert_eq!(scene.queue_terms(), [None]);
}

/// Guards against a turn that nobody gives up: the placer queued the request, but its caller left before
/// the answer that says so.
#[rstest]
#[case::may_be_queued(Some(AMPLE), &[Event::Ended])]
#[case::has_no_terms(None, &[])]
#[tokio::test]
async fn a_request_whose_caller_leaves_while_it_is_being_queued_is_reported_as_ended(
    #[case] limits: Option<QueueLimits>,
    #[case] expected: &[Event],
) {
    let requests = Requests::default();
    let placer = Arc::new(queueing(&requests).delayed(Duration::from_secs(60)));
    let service = ServiceGroup { engine: Some(EngineModel::default()), ..plain_service() };
    let builder = EntryBuilder::default().queue_limits(limits);
    let shared = Arc::clone(&placer) as Arc<dyn Placer>;
    let directory = Arc::new(Directory::default());
    let host = Host::start(builder, stream_route(), service, directory, shared).await;
    let caller = host.send().await;
    wait_until("the request for a placement", || !requests.lock().unwrap().is_empty()).await;
    drop(caller);
    wait_until("the end of the call", || host.gate.in_progress() == 0).await;
    assert_eq!(*placer.events.lock().unwrap(), expected);
}

/// Guards against a placer that breaks its contract and queues a request anew: it is decided by the host,
/// and its turn is given up.
#[tokio::test]
async fn a_request_that_is_queued_anew_is_refused() {
    let queued_anew = || std::future::ready(PlacementOutcome::Queued { expected_ms: 10 });
    let scene = Scene::start(Some(AMPLE), stream_route(), queued_anew).await;
    let answer = scene.host.call().await;
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert_eq!(*scene.placer.events.lock().unwrap(), [Event::Ended]);
}

/// Guards against requests that are held until callers with a short time-out of their own have left,
/// where their answer is of no use; and against other routes or requests that are limited by it.
#[rstest]
#[case::common_time_out(10, true)]
#[case::few_leavers(5, false)]
#[tokio::test]
async fn requests_are_decided_before_the_time_at_which_callers_of_their_route_leave(
    #[case] leavers: usize,
    #[case] is_learned: bool,
) {
    let scene = Scene::start(
        Some(QueueLimits { requests: 20, bytes: 0 }),
        stream_route(),
        std::future::pending,
    )
    .await;
    let mut callers = Vec::new();
    for _ in 0..leavers {
        callers.push(scene.host.send().await);
    }
    scene.wait_for_turns(leavers).await;
    tokio::time::sleep(Duration::from_millis(600)).await;
    drop(callers);
    scene.wait_for_turns(0).await;
    wait_until("the end of the calls", || scene.host.gate.in_progress() == 0).await;

    let sent_at = Instant::now();
    let answer = scene.host.call().await;
    let took = sent_at.elapsed();
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    // Without a learned time, the caller is assumed to wait for 8 s.
    assert_eq!(took < Duration::from_secs(2), is_learned, "{took:?}");
    let limit_ms = scene.requests.lock().unwrap().last().unwrap().limit_ms;
    assert_eq!(limit_ms < 2_000.0, is_learned, "{limit_ms}");
    let learned = scene.metric("clayplank_entry_callers_leave_after_ms{route=\"all\"}");
    assert_eq!(learned.is_some(), is_learned);

    // Requests that are not queued have the time of the rule, as before.
    scene.host.entry.set_queue_limits(None);
    scene.host.call().await;
    let limit_ms = scene.requests.lock().unwrap().last().unwrap().limit_ms;
    assert!((7_000.0..=8_000.0).contains(&limit_ms), "{limit_ms}");
}

/// Guards against an operator who cannot see that callers wait, for how long, and how it ends.
#[tokio::test]
async fn the_queue_is_visible_in_the_metrics() {
    let turns = AtomicUsize::new(0);
    let decide = move || {
        let turn = turns.fetch_add(1, Ordering::SeqCst);
        async move {
            match turn {
                0 => after(60, at_engine()).await,
                1 => PlacementOutcome::Full { retry_after_ms: 230 },
                // The host then asks anew.
                2 => PlacementOutcome::Soon { again_in_ms: 5 },
                _ => std::future::pending().await,
            }
        }
    };
    let route = Route { time_limit_ms: 600, ..stream_route() };
    let scene = Scene::start(Some(AMPLE), route, decide).await;
    assert_eq!(scene.metric("clayplank_entry_queued_total"), Some(0));
    assert_eq!(scene.metric("clayplank_entry_queue_wait_ms_count{route=\"all\"}"), None);
    for expected in ["HTTP/1.1 200", "HTTP/1.1 503", "HTTP/1.1 503"] {
        let answer = scene.host.call().await;
        assert!(answer.starts_with(expected), "{answer}");
    }
    let caller = scene.host.send().await;
    scene.wait_for_turns(1).await;
    assert_eq!(scene.metric("clayplank_entry_queue_length"), Some(1));
    drop(caller);
    wait_until("the caller's leaving", || scene.ended("left") == 1).await;
    for outcome in ["placed", "refused", "deferred", "undecided", "left"] {
        assert_eq!(scene.ended(outcome), 1, "{outcome}");
    }
    assert_eq!(scene.metric("clayplank_entry_queued_total"), Some(5));
    assert_eq!(scene.metric("clayplank_entry_queue_length"), Some(0));
    let waits = "clayplank_entry_queue_wait_ms";
    assert_eq!(scene.metric(&format!("{waits}_count{{route=\"all\"}}")), Some(5));
    // The longest wait is that of the undecided request.
    let longest = scene.metric(&format!("{waits}{{route=\"all\",quantile=\"0.99\"}}"));
    assert!(longest.is_some_and(|wait_ms| (200..600).contains(&wait_ms)), "{longest:?}");
}

/// Guards against deadlines that callers send: those who leave because of them would limit others.
#[tokio::test]
async fn callers_that_leave_at_their_own_deadline_change_nothing() {
    let silent = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let directory = Arc::new(Directory::default());
    directory.apply(vec![record("e", silent.local_addr().unwrap())]);
    let requests = Requests::default();
    let seen = Arc::clone(&requests);
    let placer = TestPlacer::placing(move |request| {
        seen.lock().unwrap().push(request.clone());
        at_engine()
    });
    let service = ServiceGroup { engine: Some(EngineModel::default()), ..plain_service() };
    let builder = EntryBuilder::default().queue_limits(AMPLE);
    let host = Host::start(builder, stream_route(), service, directory, Arc::new(placer)).await;
    let mut callers = Vec::new();
    for _ in 0..12 {
        let mut caller = host.connect().await;
        let request = "POST /x HTTP/1.1\r\nhost: dala.example\r\nx-clayplank-attempt-id: a\r\n\
            x-clayplank-deadline-ms: 500\r\ncontent-length: 0\r\n\r\n";
        caller.write_all(request.as_bytes()).await.unwrap();
        callers.push(caller);
    }
    wait_until("the placement of all", || requests.lock().unwrap().len() == 12).await;
    tokio::time::sleep(Duration::from_millis(400)).await;
    drop(callers);
    wait_until("the end of the calls", || host.gate.in_progress() == 0).await;
    let _next = host.send().await;
    wait_until("the next placement", || requests.lock().unwrap().len() == 13).await;
    let limit_ms = requests.lock().unwrap().last().unwrap().limit_ms;
    assert!(limit_ms >= 7_000.0, "{limit_ms}");
}

/// Guards against a stream that has begun and waits for a turn, or is refused, instead of being resumed
/// on any engine with room.
#[tokio::test]
async fn a_stream_that_has_begun_is_not_queued() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let first = record("first", listener.local_addr().unwrap());
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        read_some(&mut stream).await;
        // One complete event of two that the head promises.
        let answer = format!("{ANSWER}content-length: 28\r\n\r\nid: 1\ndata: x\n\n");
        stream.write_all(answer.as_bytes()).await.unwrap();
    });
    let second = answering_upstream("second", &[ANSWER]).await;
    let directory = Arc::new(Directory::default());
    directory.apply(vec![first, second]);
    let requests = Requests::default();
    let seen = Arc::clone(&requests);
    let placer = TestPlacer::placing(move |request| {
        let mut seen = seen.lock().unwrap();
        seen.push(request.clone());
        let engine = match seen.len() {
            1 => UpstreamId::new("first"),
            2..4 => return PlacementOutcome::Full { retry_after_ms: 100 },
            _ => UpstreamId::new("second"),
        };
        PlacementOutcome::At(Assignment { engine, helpers: Vec::new(), first_token_ms: 10.0 })
    });
    let service = ServiceGroup { engine: Some(EngineModel::default()), ..plain_service() };
    let builder = EntryBuilder::default().queue_limits(AMPLE);
    let host = Host::start(builder, stream_route(), service, directory, Arc::new(placer)).await;
    let mut caller = host.send().await;
    while !read_some(&mut caller).await.is_empty() {}
    let requests = requests.lock().unwrap();
    let begun: Vec<_> = requests.iter().map(|request| request.has_begun).collect();
    assert_eq!(begun, [false, true, true, true], "it asks until an engine has room");
    let has_terms: Vec<_> = requests.iter().map(|request| request.queue_terms.is_some()).collect();
    assert_eq!(has_terms, [true, false, false, false]);
}
