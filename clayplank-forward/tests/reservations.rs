//! Simulation of reservations at engines that become unreachable, restart, execute commands late or are
//! full, while hosts and callers may end at any step: reserved memory must become free in time.
//!
//! CLAYPLANK_RESERVATION_SEEDS selects the seeds, such as `7` or `0..5000`. The clock is paused, and a
//! seed reproduces the same faults.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]
#![allow(clippy::print_stdout, reason = "manual runs print their seeds and counts")]

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use clayplank_connect::Connector;
use clayplank_forward::{CommandFormat, CommandSender, Reservation, Ticket};
use http::Request;
use http_body_util::Full;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep};

const ENGINES: usize = 4;
const HOSTS: usize = 3;
const RESERVATIONS: usize = 8;

/// Faults start and prompts arrive within this time, in ms.
const ARRIVAL_SPAN_MS: u64 = 10_000;

/// No command can be in flight any longer, once all prompts and faults have been over for this time.
const SETTLE_TIME: Duration = Duration::from_secs(20);

/// Longest time until an engine executes a command that it left unanswered, in ms.
const MAX_DELAY_MS: u64 = 12_000;

/// Share of the commands that an engine in `Mode::Delaying` leaves unanswered.
const DELAYED_SHARE: f64 = 0.35;

/// Longest time for which memory may stay reserved after the end of its prompt, in ms.
const MAX_HOLD_MS: u64 = 4_000;

/// The same at an engine without faults, whose host is alive. The release may wait for a command in flight
/// to another engine.
const MAX_RESPONSIVE_HOLD_MS: u64 = 600;

/// The same at an engine that left a command of the prompt unanswered. It may execute the command after
/// all answered releases, and so reserve memory for another 3 s.
const MAX_UNANSWERED_HOLD_MS: u64 = MAX_DELAY_MS + 3_000;

/// Largest share of tickets with an unanswered command that may hold memory for longer than `MAX_HOLD_MS`.
const MAX_OVERDUE_SHARE: f64 = 0.02;

/// Time between two checks of the reservations, in ms.
const CHECK_INTERVAL_MS: u64 = 100;

/// Response of an engine to commands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Mode {
    #[default]
    Ready,
    /// Refuses new reservations, but renews existing ones.
    Full,
    /// Receives no command and sends no answer.
    Unreachable,
    /// Leaves some commands unanswered, and executes them later.
    Delaying,
}

#[derive(Debug, Default)]
struct Engine {
    mode: Mode,
    incarnation: u32,
    /// Number of faults that have started at this engine.
    fault_count: u32,
    /// Expiry of the reservation of each ticket.
    reserved_until: BTreeMap<String, Instant>,
    /// Tickets with a command that got no answer.
    unanswered: BTreeSet<String>,
    /// Those of them that held memory for longer than `MAX_HOLD_MS` after the end of their prompt.
    overdue: BTreeSet<String>,
}

impl Engine {
    fn execute(&mut self, command: &Command) -> bool {
        let now = Instant::now();
        self.reserved_until.retain(|_, until| *until > now);
        match command {
            Command::Reserve { ticket, hold_ms } => {
                let is_refused =
                    self.mode == Mode::Full && !self.reserved_until.contains_key(ticket);
                if !is_refused {
                    let until = now + Duration::from_millis(*hold_ms);
                    self.reserved_until.insert(ticket.clone(), until);
                }
                !is_refused
            }
            Command::Release { ticket } => {
                self.reserved_until.remove(ticket);
                true
            }
        }
    }
}

#[derive(Clone, Debug)]
enum Command {
    Reserve { ticket: String, hold_ms: u64 },
    Release { ticket: String },
}

impl Command {
    fn parse(head: &str) -> Self {
        let mut parts = head.split([' ', '/']).filter(|part| !part.is_empty()).skip(1);
        let (kind, ticket) = (parts.next().unwrap(), parts.next().unwrap().to_owned());
        match kind {
            "reserve" => Self::Reserve { ticket, hold_ms: parts.next().unwrap().parse().unwrap() },
            _ => Self::Release { ticket },
        }
    }

    fn ticket(&self) -> &str {
        match self {
            Self::Reserve { ticket, .. } | Self::Release { ticket } => ticket,
        }
    }
}

struct PathCommands;

fn commands() -> CommandSender {
    CommandSender { connector: Arc::new(Connector::default()), format: Arc::new(PathCommands) }
}

impl CommandFormat for PathCommands {
    fn reserve(&self, ticket: &str, _: u64, hold_ms: u64) -> Request<Full<Bytes>> {
        command(&format!("/reserve/{ticket}/{hold_ms}"))
    }

    fn release(&self, ticket: &str) -> Request<Full<Bytes>> {
        command(&format!("/release/{ticket}"))
    }
}

fn command(path: &str) -> Request<Full<Bytes>> {
    Request::post(path).header("host", "engine").body(Full::default()).unwrap()
}

/// State that all tasks of a run share.
struct Cluster {
    engines: Vec<Mutex<Engine>>,
    /// Times at which hosts terminated, by the host's number; commands that they send afterwards
    /// are dropped.
    terminated_hosts: Mutex<BTreeMap<usize, Instant>>,
    /// Times at which prompts ended, by the prompt's number.
    prompt_ends: Mutex<BTreeMap<usize, Instant>>,
    /// Chooses the commands that are delayed, and their delays.
    delay_rng: Mutex<SmallRng>,
}

/// The numbers of the host and the prompt of a ticket, whose name is `HOST-PROMPT`.
fn parse_ticket(ticket: &str) -> (usize, usize) {
    let (host, prompt) = ticket.split_once('-').unwrap();
    (host.parse().unwrap(), prompt.parse().unwrap())
}

impl Cluster {
    /// Time at which the prompt of a ticket ended, by itself or with its host.
    fn ended_at(&self, ticket: &str) -> Option<Instant> {
        let (host, prompt) = parse_ticket(ticket);
        let host_end = self.terminated_hosts.lock().unwrap().get(&host).copied();
        let prompt_end = self.prompt_ends.lock().unwrap().get(&prompt).copied();
        host_end.into_iter().chain(prompt_end).min()
    }

    fn has_terminated_host(&self, ticket: &str) -> bool {
        self.terminated_hosts.lock().unwrap().contains_key(&parse_ticket(ticket).0)
    }
}

async fn start_engine(cluster: Arc<Cluster>, number: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(handle_command(stream, Arc::clone(&cluster), number));
        }
    });
    address
}

async fn handle_command(mut stream: TcpStream, cluster: Arc<Cluster>, number: usize) {
    let mut head = vec![0; 4_096];
    let Ok(length) = stream.read(&mut head).await else {
        return;
    };
    let command = Command::parse(std::str::from_utf8(&head[..length]).unwrap());
    let is_delayed = cluster.delay_rng.lock().unwrap().random_bool(DELAYED_SHARE);
    let (mode, incarnation) = {
        let engine = cluster.engines[number].lock().unwrap();
        (engine.mode, engine.incarnation)
    };
    if cluster.has_terminated_host(command.ticket()) {
        return;
    }
    match mode {
        Mode::Ready | Mode::Full => answer(&mut stream, &cluster, number, &command).await,
        Mode::Delaying if !is_delayed => answer(&mut stream, &cluster, number, &command).await,
        Mode::Unreachable => {}
        Mode::Delaying => execute_later(&cluster, number, incarnation, command),
    }
    // Without an answer, the connection stays open until the host abandons the request.
    let _closed = stream.read(&mut head).await;
}

/// Executes a command and answers whether it was accepted.
async fn answer(stream: &mut TcpStream, cluster: &Cluster, number: usize, command: &Command) {
    let is_accepted = cluster.engines[number].lock().unwrap().execute(command);
    let status = if is_accepted { "200 OK" } else { "409 Conflict" };
    let answer = format!("HTTP/1.1 {status}\r\ncontent-length: 2\r\n\r\n{{}}");
    stream.write_all(answer.as_bytes()).await.ok();
}

/// Executes a command later, unless the engine has restarted or is unreachable by then.
fn execute_later(cluster: &Arc<Cluster>, number: usize, incarnation: u32, command: Command) {
    let delay_ms = cluster.delay_rng.lock().unwrap().random_range(0..MAX_DELAY_MS);
    let ticket = command.ticket().to_owned();
    cluster.engines[number].lock().unwrap().unanswered.insert(ticket);
    let cluster = Arc::clone(cluster);
    tokio::spawn(async move {
        sleep(Duration::from_millis(delay_ms)).await;
        let mut engine = cluster.engines[number].lock().unwrap();
        if engine.incarnation == incarnation && engine.mode != Mode::Unreachable {
            engine.execute(&command);
        }
    });
}

/// Puts an engine into a fault mode for some time. An unreachable engine may come back as another
/// incarnation, without its reservations.
async fn inject_fault(cluster: Arc<Cluster>, number: usize, seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    sleep(Duration::from_millis(rng.random_range(0..ARRIVAL_SPAN_MS))).await;
    let mode =
        [Mode::Full, Mode::Unreachable, Mode::Unreachable, Mode::Delaying][rng.random_range(0..4)];
    {
        let mut engine = cluster.engines[number].lock().unwrap();
        engine.mode = mode;
        engine.fault_count += 1;
    }
    sleep(Duration::from_millis(rng.random_range(200..5_000))).await;
    let mut engine = cluster.engines[number].lock().unwrap();
    engine.mode = Mode::Ready;
    if mode == Mode::Unreachable && rng.random_bool(0.5) {
        engine.incarnation += 1;
        engine.reserved_until.clear();
    }
}

/// Runs one prompt: reserves memory at some engines, runs for a while, and ends. The caller may leave at
/// any step.
async fn run_prompt(cluster: Arc<Cluster>, addresses: Vec<SocketAddr>, prompt: usize, seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let host = rng.random_range(0..HOSTS);
    let name = format!("{host}-{prompt}");
    let count = rng.random_range(1..=ENGINES);
    let tickets = addresses[..count]
        .iter()
        .map(|&address| Ticket { address, name: name.clone(), tokens: 1_000 })
        .collect();
    sleep(Duration::from_millis(rng.random_range(0..ARRIVAL_SPAN_MS))).await;
    let run_time = Duration::from_millis(rng.random_range(0..6_000));
    let prompt_run = async {
        let reservation = Reservation::make(commands(), tickets).await;
        if reservation.is_some() {
            std::future::pending::<()>().await;
        }
    };
    // The prompt ends amid its reservation or after it, depending on the time.
    tokio::time::timeout(run_time, prompt_run).await.ok();
    cluster.prompt_ends.lock().unwrap().entry(prompt).or_insert_with(Instant::now);
}

/// Checks the reservations periodically; panics if a prompt that ended holds memory for too long.
async fn check_reservations(cluster: Arc<Cluster>) {
    let mut reserved_since: BTreeMap<(usize, String), Instant> = BTreeMap::new();
    loop {
        sleep(Duration::from_millis(CHECK_INTERVAL_MS)).await;
        let now = Instant::now();
        for (number, engine) in cluster.engines.iter().enumerate() {
            let mut engine = engine.lock().unwrap();
            engine.reserved_until.retain(|_, until| *until > now);
            reserved_since.retain(|(engine_number, ticket), _| {
                *engine_number != number || engine.reserved_until.contains_key(ticket)
            });
            let held: Vec<_> = engine.reserved_until.keys().cloned().collect();
            for ticket in held {
                let since = *reserved_since.entry((number, ticket.clone())).or_insert(now);
                let Some(ended) = cluster.ended_at(&ticket) else {
                    continue;
                };
                let held_ms = (now - since.max(ended)).as_millis() as u64;
                let has_unanswered = engine.unanswered.contains(&ticket);
                let is_responsive =
                    engine.fault_count == 0 && !cluster.has_terminated_host(&ticket);
                let bound_ms = match (has_unanswered, is_responsive) {
                    (true, _) => MAX_UNANSWERED_HOLD_MS,
                    (false, true) => MAX_RESPONSIVE_HOLD_MS,
                    (false, false) => MAX_HOLD_MS,
                };
                assert!(
                    held_ms <= bound_ms + CHECK_INTERVAL_MS,
                    "engine {number} held {ticket} for {held_ms} ms after its end"
                );
                if held_ms > MAX_HOLD_MS + CHECK_INTERVAL_MS {
                    engine.overdue.insert(ticket);
                }
            }
        }
    }
}

/// Runs a seed; returns the number of tickets with an unanswered command, and of those among them that
/// held memory for too long.
async fn run_seed(seed: u64) -> (usize, usize) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let engine = || Mutex::new(Engine::default());
    let cluster = Arc::new(Cluster {
        engines: (0..ENGINES).map(|_| engine()).collect(),
        terminated_hosts: Mutex::default(),
        prompt_ends: Mutex::default(),
        delay_rng: Mutex::new(SmallRng::seed_from_u64(!seed)),
    });
    let mut addresses = Vec::new();
    for number in 0..ENGINES {
        addresses.push(start_engine(Arc::clone(&cluster), number).await);
    }
    for _ in 0..rng.random_range(1..5) {
        let number = rng.random_range(0..ENGINES);
        tokio::spawn(inject_fault(Arc::clone(&cluster), number, rng.random()));
    }
    for prompt in 0..RESERVATIONS {
        tokio::spawn(run_prompt(Arc::clone(&cluster), addresses.clone(), prompt, rng.random()));
    }
    let checks = tokio::spawn(check_reservations(Arc::clone(&cluster)));
    if rng.random_bool(0.5) {
        sleep(Duration::from_millis(rng.random_range(0..ARRIVAL_SPAN_MS))).await;
        cluster.terminated_hosts.lock().unwrap().insert(rng.random_range(0..HOSTS), Instant::now());
    }
    sleep(Duration::from_millis(2 * ARRIVAL_SPAN_MS)).await;
    sleep(SETTLE_TIME).await;
    assert!(!checks.is_finished(), "memory stayed reserved: {:?}", checks.await.err());
    let now = Instant::now();
    let mut counts = (0, 0);
    for (number, engine) in cluster.engines.iter().enumerate() {
        let mut engine = engine.lock().unwrap();
        engine.reserved_until.retain(|_, until| *until > now);
        assert!(
            engine.reserved_until.is_empty(),
            "engine {number} still holds reservations: {engine:?}"
        );
        counts = (counts.0 + engine.unanswered.len(), counts.1 + engine.overdue.len());
    }
    counts
}

fn selected_seeds() -> std::ops::Range<u64> {
    let Ok(text) = std::env::var("CLAYPLANK_RESERVATION_SEEDS") else {
        return 0..100;
    };
    match text.split_once("..") {
        Some((first, end)) => first.parse().unwrap()..end.parse().unwrap(),
        None => {
            let seed = text.parse().unwrap();
            seed..seed + 1
        }
    }
}

#[test]
fn reservations_become_free_whoever_ends_at_whatever_step() {
    let (mut unanswered, mut overdue) = (0, 0);
    for seed in selected_seeds() {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .start_paused(true)
            .build()
            .unwrap();
        println!("seed {seed}");
        let (unanswered_in_run, overdue_in_run) = runtime.block_on(run_seed(seed));
        unanswered += unanswered_in_run;
        overdue += overdue_in_run;
    }
    println!(
        "of {unanswered} tickets with an unanswered command, {overdue} held memory for too long"
    );
    assert!(overdue as f64 <= unanswered as f64 * MAX_OVERDUE_SHARE, "{overdue} of {unanswered}");
}
