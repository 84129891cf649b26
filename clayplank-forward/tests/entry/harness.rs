//! An entry host in the test's process, with the routes, upstreams and placers that the tests share.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use clayplank_forward::{
    BoxFuture, CommandFormat, Directory, Entry, EntryBuilder, Gate, Observation, PermitReply,
    Placer, QuarantineAuthority, now_ms, serve_callers,
};
use clayplank_placement::{Event, PlacementId, PlacementOutcome, PlacementRequest};
use clayplank_registry::{Heartbeat, LimitObservation, Record};
use clayplank_routes::{
    CallerLimits, PlanIndex, RequestKind, Route, ServiceGroup, ServingPlan, Target,
};
use clayplank_types::Fingerprint;
use http::Request;
use http_body_util::Full;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Name of the service behind the only route of each plan.
const SERVICE: &str = "app";

/// Future decision on a queued request.
pub type Turn = BoxFuture<'static, PlacementOutcome>;

/// Starts the decision on a queued request.
type Decide = dyn Fn(&PlacementRequest) -> Turn + Send + Sync;

/// A placer whose answers a test defines. By default it has no engines and grants no permits: every
/// request finds no capacity.
pub struct TestPlacer {
    place: Box<dyn Fn(&PlacementRequest) -> PlacementOutcome + Send + Sync>,
    /// Decision on a queued request; `None` if it is that of `place`.
    turn: Option<Box<Decide>>,
    /// Time until a placement request is answered.
    place_delay: Duration,
    permit: Box<dyn Fn(Duration) -> PermitReply + Send + Sync>,
    /// Events of placements, in order.
    pub events: Mutex<Vec<Event>>,
}

impl Default for TestPlacer {
    fn default() -> Self {
        Self {
            place: Box::new(|_| PlacementOutcome::Full { retry_after_ms: 100 }),
            turn: None,
            place_delay: Duration::ZERO,
            permit: Box::new(|_| PermitReply::Unknown),
            events: Mutex::default(),
        }
    }
}

impl TestPlacer {
    /// A placer that answers placement requests with `place`.
    pub fn placing(
        place: impl Fn(&PlacementRequest) -> PlacementOutcome + Send + Sync + 'static,
    ) -> Self {
        Self { place: Box::new(place), ..Self::default() }
    }

    /// Decides queued requests by `turn`.
    pub fn deciding(
        self,
        turn: impl Fn(&PlacementRequest) -> Turn + Send + Sync + 'static,
    ) -> Self {
        Self { turn: Some(Box::new(turn)), ..self }
    }

    /// Answers placement requests after a delay.
    pub fn delayed(self, place_delay: Duration) -> Self {
        Self { place_delay, ..self }
    }

    /// A placer that answers requests for permits, which have a time-out, with `permit`.
    pub fn permitting(permit: impl Fn(Duration) -> PermitReply + Send + Sync + 'static) -> Self {
        Self { permit: Box::new(permit), ..Self::default() }
    }
}

impl Placer for TestPlacer {
    fn await_turn<'a>(&'a self, request: &'a PlacementRequest) -> BoxFuture<'a, PlacementOutcome> {
        match &self.turn {
            Some(turn) => turn(request),
            None => self.place(request),
        }
    }

    fn place<'a>(&'a self, request: &'a PlacementRequest) -> BoxFuture<'a, PlacementOutcome> {
        Box::pin(async move {
            let outcome = (self.place)(request);
            if !self.place_delay.is_zero() {
                tokio::time::sleep(self.place_delay).await;
            }
            outcome
        })
    }

    fn record_event(&self, _: PlacementId, event: Event) {
        self.events.lock().unwrap().push(event);
    }

    fn record_limit(&self, _: &LimitObservation) {}

    fn request_permit<'a>(
        &'a self,
        _: &'a LimitObservation,
        timeout: Duration,
    ) -> BoxFuture<'a, PermitReply> {
        Box::pin(std::future::ready((self.permit)(timeout)))
    }

    fn next_id(&self) -> PlacementId {
        PlacementId::default()
    }
}

/// Records the reported observations, and grants the first trial only.
#[derive(Default)]
pub struct RecordingAuthority {
    pub observations: Mutex<Vec<Observation>>,
    pub trial_claims: AtomicUsize,
}

impl QuarantineAuthority for RecordingAuthority {
    fn report(&self, observation: Observation) {
        self.observations.lock().unwrap().push(observation);
    }

    fn claim_trial(&self, _: Fingerprint) -> BoxFuture<'_, bool> {
        let is_first = self.trial_claims.fetch_add(1, Ordering::SeqCst) == 0;
        Box::pin(std::future::ready(is_first))
    }
}

/// Encodes commands to engines by their path alone, without a body.
pub struct PathCommands;

impl CommandFormat for PathCommands {
    fn reserve(&self, _: &str, _: u64, _: u64) -> Request<Full<Bytes>> {
        command("/reserve")
    }

    fn release(&self, _: &str) -> Request<Full<Bytes>> {
        command("/release")
    }
}

fn command(path: &str) -> Request<Full<Bytes>> {
    Request::post(path).header("host", "engine").body(Full::default()).unwrap()
}

/// The record of an upstream that accepts requests.
pub fn record(name: &str, address: SocketAddr) -> Record {
    let heartbeat =
        Heartbeat { address, service: SERVICE.to_owned(), slots: 4, ..Heartbeat::default() };
    Record { heartbeat: heartbeat.with_name(name), is_silent: false }
}

/// A route for all paths that admits callers without an account.
pub fn route(kind: RequestKind) -> Route {
    Route {
        name: "all".to_owned(),
        host: "dala.example".to_owned(),
        path_prefix: "/".to_owned(),
        kind,
        time_limit_ms: 9_000,
        goal_ms: 300,
        pause_goal_ms: None,
        rank: 0,
        targets: vec![Target { service: SERVICE.to_owned(), weight: 1 }],
        max_attempts: 2,
        allows_anonymous: true,
    }
}

/// A running entry host.
pub struct Host {
    pub entry: Arc<Entry>,
    pub gate: Arc<Gate>,
    /// Address of the listener for callers.
    pub caller_address: SocketAddr,
    _closing: watch::Sender<bool>,
}

impl Host {
    /// Starts a host with a plan of one route to one service, confirmed for 60 s.
    pub async fn start(
        builder: EntryBuilder,
        route: Route,
        service: ServiceGroup,
        directory: Arc<Directory>,
        placer: Arc<dyn Placer>,
    ) -> Self {
        let plan = ServingPlan {
            version: 1,
            routes: vec![route],
            services: vec![service],
            accounts: None,
            limits: CallerLimits::default(),
        };
        Self::start_with_plan(builder, plan, directory, placer).await
    }

    /// Starts a host with a complete plan, confirmed for 60 s.
    pub async fn start_with_plan(
        builder: EntryBuilder,
        plan: ServingPlan,
        directory: Arc<Directory>,
        placer: Arc<dyn Placer>,
    ) -> Self {
        let gate = Arc::new(Gate::new(60_000));
        gate.set_plan(PlanIndex::new(plan));
        gate.confirm(now_ms());
        let entry = Arc::new(builder.build(Arc::clone(&gate), directory, placer));
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let caller_address = listener.local_addr().unwrap();
        let (closing, is_closing) = watch::channel(false);
        tokio::spawn(serve_callers(listener, Arc::clone(&entry), is_closing));
        Self { entry, gate, caller_address, _closing: closing }
    }

    /// Opens a connection as a caller.
    pub async fn connect(&self) -> TcpStream {
        TcpStream::connect(self.caller_address).await.unwrap()
    }

    /// Sends a request of attempt `a` on a new connection.
    pub async fn send(&self) -> TcpStream {
        let mut caller = self.connect().await;
        let request = "POST /x HTTP/1.1\r\nhost: dala.example\r\nx-clayplank-attempt-id: a\r\n\
            x-clayplank-tokens: 100,10\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";
        caller.write_all(request.as_bytes()).await.unwrap();
        caller
    }

    /// Sends a request and returns its answer.
    pub async fn call(&self) -> String {
        read_some(&mut self.send().await).await
    }
}

/// Body of the answers of an [`answering_upstream`], which is also one event.
const ANSWER_BODY: &str = "id: 1\ndata: x\n\n";

/// Starts an upstream that answers with these heads, each to one request, and repeats the last one.
pub async fn answering_upstream(name: &str, heads: &[&str]) -> Record {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let record = record(name, listener.local_addr().unwrap());
    let heads: Vec<_> = heads.iter().map(|head| (*head).to_owned()).collect();
    tokio::spawn(async move {
        let mut heads = heads.iter().chain(std::iter::repeat(&heads[heads.len() - 1]));
        while let Ok((mut stream, _)) = listener.accept().await {
            read_some(&mut stream).await;
            let (head, length) = (heads.next().unwrap(), ANSWER_BODY.len());
            let answer = format!("{head}content-length: {length}\r\n\r\n{ANSWER_BODY}");
            stream.write_all(answer.as_bytes()).await.unwrap();
        }
    });
    record
}

/// A service without engines.
pub fn plain_service() -> ServiceGroup {
    ServiceGroup { name: SERVICE.to_owned(), engine: None, cold_start: None }
}

/// The bytes of one read as text; empty once the peer has closed or reset the connection.
pub async fn read_some(stream: &mut TcpStream) -> String {
    let mut bytes = vec![0; 4_096];
    let count = stream.read(&mut bytes).await.unwrap_or_default();
    String::from_utf8_lossy(&bytes[..count]).into_owned()
}

/// A wait that takes longer fails the test; no tested behaviour depends on this time.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Waits until a condition holds.
pub async fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let waited = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    };
    assert!(tokio::time::timeout(WAIT_TIMEOUT, waited).await.is_ok(), "{what} did not happen");
}
