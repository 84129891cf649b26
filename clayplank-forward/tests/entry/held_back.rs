//! What a host tells of requests under which upstreams ended, and what it does with one that is held
//! back.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use clayplank_forward::{BoxFuture, Directory, EntryBuilder, Judge, Observation};
use clayplank_registry::Standing;
use clayplank_routes::{RequestKind, Route};
use clayplank_types::{HeldBack, RequestFingerprint, RequestIdentity, SeenOutcome};
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

use crate::harness::{Host, NoPlacer, plain_service, record, route};

/// Sent by all callers, on a route that asks for none.
const KEY: &str = "a-secret-key";

/// From the begin of a request that ends an upstream to its end.
const RUNS_FOR: Duration = Duration::from_millis(20);

/// Keeps what is told, and grants trials.
#[derive(Default)]
struct Kept {
    told: Mutex<Vec<Observation>>,
    trials: AtomicUsize,
}

impl Judge for Kept {
    fn tell(&self, observation: Observation) {
        self.told.lock().unwrap().push(observation);
    }

    fn claim_trial(&self, _: RequestFingerprint) -> BoxFuture<'_, bool> {
        let is_first = self.trials.fetch_add(1, Ordering::SeqCst) == 0;
        Box::pin(std::future::ready(is_first))
    }
}

/// What an upstream does with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Way {
    /// Answers it.
    Answers,
    /// Closes the connection, and listens on.
    Resets,
    /// Closes the connection, and listens no more.
    Ends,
    /// Closes the first connection, and ends with the next request.
    ResetsThenEnds,
}

/// One upstream; returns where it listens, and counts what it gets.
async fn upstream(way: Way, requests: Arc<AtomicUsize>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let mut count = 0;
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut bytes = [0; 4_096];
            // A connection without a request only asks whether somebody listens.
            if stream.read(&mut bytes).await.unwrap_or_default() == 0 {
                continue;
            }
            requests.fetch_add(1, Ordering::SeqCst);
            count += 1;
            match way {
                Way::Answers => {
                    let answer = "HTTP/1.1 200 OK\r\nx-clayplank-attempt-id: a\r\n\
                        x-clayplank-seal: s\r\ncontent-length: 2\r\n\r\nok";
                    stream.write_all(answer.as_bytes()).await.unwrap();
                }
                Way::Resets => {}
                Way::ResetsThenEnds if count == 1 => {}
                Way::Ends | Way::ResetsThenEnds => {
                    tokio::time::sleep(RUNS_FOR).await;
                    return;
                }
            }
        }
    });
    address
}

struct World {
    host: Host,
    directory: Arc<Directory>,
    judge: Arc<Kept>,
    /// Requests that upstreams got.
    requests: Arc<AtomicUsize>,
}

impl World {
    async fn start(ways: &[Way]) -> Self {
        let requests = Arc::<AtomicUsize>::default();
        let directory = Arc::new(Directory::default());
        for (number, way) in ways.iter().enumerate() {
            let address = upstream(*way, Arc::clone(&requests)).await;
            directory.apply(vec![record(&format!("u{number}"), address)]);
        }
        let judge = Arc::<Kept>::default();
        let host = Host::start(
            EntryBuilder::default().judge(judge.clone()),
            Route { time_limit_ms: 5_000, ..route(RequestKind::Repeatable) },
            plain_service(),
            Arc::clone(&directory),
            Arc::new(NoPlacer),
        )
        .await;
        Self { host, directory, judge, requests }
    }

    /// The answer to a request, as text.
    async fn ask(&self, body: &str) -> String {
        let mut stream = self.host.connect().await;
        let request = format!(
            "POST /x HTTP/1.1\r\nhost: dala.example\r\nx-clayplank-attempt-id: a\r\n\
             authorization: Bearer {KEY}\r\nconnection: close\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        );
        stream.write_all(request.as_bytes()).await.unwrap();
        let mut answer = String::new();
        stream.read_to_string(&mut answer).await.unwrap();
        answer
    }

    /// What was told once nothing more comes of one connection that is tried.
    async fn told(&self) -> Vec<SeenOutcome> {
        tokio::time::sleep(Duration::from_millis(150)).await;
        self.judge.told.lock().unwrap().iter().map(|one| one.outcome.clone()).collect()
    }

    fn requests(&self) -> usize {
        self.requests.load(Ordering::SeqCst)
    }

    /// Holds back one request, and no other.
    fn hold_back(&self, fingerprint: RequestFingerprint, next_trial_in: Duration) {
        self.host.entry.set_held_back(vec![HeldBack {
            fingerprint,
            caller: String::new(),
            ended: Vec::new(),
            next_trial_in_ms: next_trial_in.as_millis() as u64,
        }]);
    }

    /// Holds back the request that the host told of.
    fn hold_back_what_was_told(&self, next_trial_in: Duration) {
        let fingerprint = self.judge.told.lock().unwrap()[0].fingerprint;
        self.hold_back(fingerprint, next_trial_in);
    }
}

#[rstest]
#[case::one_that_ends(Way::Ends, 2)]
#[case::one_that_resets(Way::Resets, 0)]
#[case::one_that_answers(Way::Answers, 0)]
#[tokio::test]
async fn an_end_is_told_and_a_broken_connection_is_not(#[case] way: Way, #[case] ends: usize) {
    let world = World::start(&[way, way]).await;
    world.ask("crashing").await;
    let told = world.told().await;
    let count = told.iter().filter(|one| matches!(one, SeenOutcome::Ended(_))).count();
    assert_eq!((count, told.len()), (ends, ends), "{told:?}");
    let told = world.judge.told.lock().unwrap();
    assert!(told.iter().all(|one| !one.caller.contains(KEY)), "a key stands in what is told");
}

/// Whether its next life follows is looked for during seconds after the first break.
#[tokio::test]
async fn an_end_soon_after_a_broken_connection_is_told_at_once() {
    let world = World::start(&[Way::ResetsThenEnds]).await;
    world.ask("first").await;
    assert_eq!(world.told().await, []);
    world.ask("second").await;
    assert_eq!(world.told().await.len(), 1);
}

#[tokio::test]
async fn an_answer_after_an_end_is_told() {
    let world = World::start(&[Way::Ends]).await;
    world.ask("beside").await;
    assert_eq!(world.told().await.len(), 1);
    let address = upstream(Way::Answers, Arc::clone(&world.requests)).await;
    world.directory.apply(vec![record("next", address)]);
    assert!(world.ask("beside").await.starts_with("HTTP/1.1 200"));
    assert_eq!(world.told().await[1], SeenOutcome::Survived);
}

#[tokio::test]
async fn the_end_of_one_that_leaves_is_not_told() {
    let world = World::start(&[Way::Ends]).await;
    let address = world.directory.records()[0].heartbeat.address;
    let asked = world.ask("beside");
    let left = async {
        // Between the choice of the upstream and its end.
        while world.requests() == 0 {
            world.directory.apply(vec![record("u0", address)]);
            tokio::task::yield_now().await;
        }
    };
    let mut draining = record("u0", address);
    draining.heartbeat.standing = Standing::Draining;
    draining.heartbeat.sequence = 2;
    tokio::join!(asked, async {
        left.await;
        world.directory.apply(vec![draining]);
    });
    assert_eq!(world.told().await, []);
}

#[tokio::test]
async fn a_request_that_is_held_back_reaches_no_upstream() {
    let world = World::start(&[Way::Ends, Way::Ends, Way::Answers]).await;
    world.ask("crashing").await;
    world.told().await;
    world.hold_back_what_was_told(Duration::from_secs(60));
    let sent = world.requests();
    let answer = world.ask("crashing").await;
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert!(answer.contains("held_back"), "{answer}");
    let retry_after = answer.split("retry-after: ").nth(1).unwrap().split('.').next().unwrap();
    assert!((50..=60).contains(&retry_after.parse::<u64>().unwrap()), "{answer}");
    assert_eq!(world.requests(), sent);
    assert!(world.ask("another").await.starts_with("HTTP/1.1 200"), "another request is served");
}

#[tokio::test]
async fn a_request_that_is_held_back_is_tried_once_when_it_is_time() {
    let world = World::start(&[Way::Ends, Way::Ends, Way::Ends, Way::Ends]).await;
    world.ask("crashing").await;
    world.told().await;
    world.hold_back_what_was_told(Duration::ZERO);
    let sent = world.requests();
    assert!(world.ask("crashing").await.starts_with("HTTP/1.1 502"), "it may have run");
    assert_eq!(world.requests(), sent + 1, "one try, and no second one within it");
    assert!(world.ask("crashing").await.starts_with("HTTP/1.1 503"), "the keepers grant no other");
    assert_eq!(world.requests(), sent + 1);
}

#[tokio::test]
async fn a_request_that_was_answered_here_is_told_of_when_it_is_held_back() {
    let world = World::start(&[Way::Answers]).await;
    world.ask("popular").await;
    assert_eq!(world.told().await, []);
    // Whatever is held back: the one that was answered is known by its own fingerprint alone.
    world.hold_back(RequestFingerprint::new(7), Duration::ZERO);
    let key = RequestIdentity { caller: KEY, host: "", path: "", body: b"" };
    let fingerprint = RequestFingerprint::of(&RequestIdentity {
        caller: &format!("key {}", RequestFingerprint::of(&key)),
        host: "dala.example",
        path: "/x",
        body: b"popular",
    });
    assert_eq!(world.told().await, []);
    world.hold_back(fingerprint, Duration::ZERO);
    assert_eq!(world.told().await, [SeenOutcome::Survived]);
}
