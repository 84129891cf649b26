//! An entry host whose machine is suspended: what held before does not hold for longer, and the time
//! counts against the limits of requests that it has.

#![allow(clippy::disallowed_methods, reason = "tests measure and wait by the runtime's clock")]
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use clayplank_clock::suspend;
use clayplank_forward::{
    BoxFuture, BudgetLimits, Directory, EntryBuilder, Gate, Placer, RetryBudget, now_ms,
    serve_callers,
};
use clayplank_placement::{Ask, Event, Placed, PlacementId};
use clayplank_registry::{Heartbeat, Record};
use clayplank_routes::{
    CallerLimits, PlanIndex, RequestKind, Route, ServiceGroup, ServingPlan, Target,
};
use proptest::prelude::*;
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// A plan holds for this long after a keeper confirmed it, in ms.
const LEASE_MS: u64 = 4_000;

#[rstest]
#[case::shorter_than_the_lease(1, true)]
#[case::longer(5, false)]
#[case::much_longer(30, false)]
#[tokio::test(start_paused = true)]
async fn a_plan_is_not_confirmed_for_longer(#[case] seconds: u64, #[case] is_confirmed: bool) {
    let gate = Gate::new(LEASE_MS);
    gate.confirm(now_ms());
    assert!(gate.is_confirmed());
    suspend(Duration::from_secs(seconds));
    assert_eq!(gate.is_confirmed(), is_confirmed);
}

#[tokio::test(start_paused = true)]
async fn retries_of_before_do_not_count_any_more() {
    let limits = BudgetLimits { ratio: 0.0, extra: 2.5, window_ms: 10_000 };
    let mut budget = RetryBudget::new(limits);
    budget.set_hosts(1);
    assert!(budget.take_retry(now_ms(), "app"));
    assert!(budget.take_retry(now_ms(), "app"));
    assert!(!budget.take_retry(now_ms(), "app"));
    suspend(Duration::from_secs(11));
    assert!(budget.take_retry(now_ms(), "app"));
}

/// No engines here.
struct NoPlacer;

impl Placer for NoPlacer {
    fn place<'a>(&'a self, _: &'a Ask) -> BoxFuture<'a, Placed> {
        Box::pin(std::future::ready(Placed::Full { retry_after_ms: 100 }))
    }

    fn note(&self, _: PlacementId, _: Event) {}

    fn next_id(&self) -> PlacementId {
        PlacementId::default()
    }
}

fn plan() -> PlanIndex {
    PlanIndex::new(ServingPlan {
        version: 1,
        routes: vec![Route {
            name: "app".to_owned(),
            host: "dala.example".to_owned(),
            path_prefix: "/".to_owned(),
            kind: RequestKind::Unrepeatable,
            time_limit_ms: 9_000,
            goal_ms: 300,
            pause_goal_ms: None,
            rank: 0,
            targets: vec![Target { service: "app".to_owned(), weight: 1 }],
            max_attempts: 1,
            allows_anonymous: true,
        }],
        services: vec![ServiceGroup { name: "app".to_owned(), engine: None }],
        accounts: Vec::new(),
        limits: CallerLimits::default(),
    })
}

/// An entry host before one upstream; returns where it takes callers.
async fn start_entry(upstream: SocketAddr) -> (SocketAddr, watch::Sender<bool>) {
    let heartbeat = Heartbeat {
        address: upstream,
        service: "app".to_owned(),
        slots: 4,
        ..Heartbeat::default()
    };
    let directory = Arc::new(Directory::default());
    directory.apply(vec![Record { heartbeat: heartbeat.named("u"), is_silent: false }]);
    let gate = Arc::new(Gate::new(60_000));
    gate.set_plan(plan());
    gate.confirm(now_ms());
    let entry = EntryBuilder::default().build(gate, directory, Arc::new(NoPlacer));
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let callers = listener.local_addr().unwrap();
    let (closing, is_closing) = watch::channel(false);
    tokio::spawn(serve_callers(listener, Arc::new(entry), is_closing));
    (callers, closing)
}

const HEAD: &str = "POST /x HTTP/1.1\r\nhost: dala.example\r\nx-clayplank-attempt-id: a\r\n\
    x-clayplank-deadline-ms: 6000\r\nconnection: close\r\ncontent-length: 4\r\n\r\n";

async fn read_head(stream: &mut TcpStream) -> String {
    let mut bytes = vec![0; 4_096];
    let count = stream.read(&mut bytes).await.unwrap();
    String::from_utf8_lossy(&bytes[..count]).into_owned()
}

#[tokio::test]
async fn an_upstream_is_told_what_is_left_of_the_callers_time() {
    let upstream = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (callers, _closing) = start_entry(upstream.local_addr().unwrap()).await;
    let mut caller = TcpStream::connect(callers).await.unwrap();
    caller.write_all(format!("{HEAD}bo").as_bytes()).await.unwrap();
    tokio::time::sleep(Duration::from_millis(50)).await;
    suspend(Duration::from_secs(2));
    caller.write_all(b"dy").await.unwrap();
    let (mut stream, _) = upstream.accept().await.unwrap();
    let head = read_head(&mut stream).await;
    let left = head.split("x-clayplank-deadline-ms: ").nth(1).unwrap();
    let left_ms: u64 = left.split("\r\n").next().unwrap().parse().unwrap();
    assert!(left_ms <= 4_000, "{left_ms} ms of 6,000 after two seconds");
}

#[tokio::test]
async fn a_request_is_given_up_when_the_machine_wakes_after_its_limit() {
    let upstream = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (callers, _closing) = start_entry(upstream.local_addr().unwrap()).await;
    let mut caller = TcpStream::connect(callers).await.unwrap();
    caller.write_all(format!("{HEAD}body").as_bytes()).await.unwrap();
    let (mut stream, _) = upstream.accept().await.unwrap();
    read_head(&mut stream).await;
    let awake = tokio::time::Instant::now();
    suspend(Duration::from_secs(30));
    let mut answer = String::new();
    caller.read_to_string(&mut answer).await.unwrap();
    assert!(answer.starts_with("HTTP/1.1 504"), "{answer}");
    // The limit was six seconds, by a clock that stood still all the while.
    assert!(awake.elapsed() < Duration::from_secs(3), "{:?}", awake.elapsed());
}

/// What befalls a host that follows the keepers.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// Time passes.
    Awake { span_ms: u64 },
    /// The machine is suspended.
    Suspended { span_ms: u64 },
    /// A keeper is asked for a confirmation.
    Asks,
    /// The answer to the last question comes, however late.
    IsConfirmed,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        (1_u64..3_000).prop_map(|span_ms| Step::Awake { span_ms }),
        (1_u64..40_000).prop_map(|span_ms| Step::Suspended { span_ms }),
        Just(Step::Asks),
        Just(Step::IsConfirmed),
    ];
    prop::collection::vec(step, 1..40)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(10_000))]

    /// In whichever order a host is suspended, asks and hears: it serves under a plan only within the
    /// lease from the last question that was answered, by a clock that never stands still.
    #[test]
    fn no_series_of_suspensions_makes_a_lease_longer(steps in steps()) {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build()
            .unwrap();
        runtime.block_on(async {
            let gate = Gate::new(LEASE_MS);
            let (mut true_ms, mut asked, mut confirmed_ms) = (0, None, None);
            for step in steps {
                match step {
                    Step::Awake { span_ms } => {
                        tokio::time::advance(Duration::from_millis(span_ms)).await;
                        true_ms += span_ms;
                    }
                    Step::Suspended { span_ms } => {
                        suspend(Duration::from_millis(span_ms));
                        true_ms += span_ms;
                    }
                    Step::Asks => asked = Some((true_ms, now_ms())),
                    Step::IsConfirmed => {
                        if let Some((true_asked_ms, asked_ms)) = asked {
                            gate.confirm(asked_ms);
                            confirmed_ms = Some(true_asked_ms);
                        }
                    }
                }
                let is_within = confirmed_ms.is_some_and(|asked_ms| true_ms < asked_ms + LEASE_MS);
                prop_assert_eq!(gate.is_confirmed(), is_within);
            }
            Ok(())
        })?;
    }
}
