//! An entry host whose machine is suspended: what held before does not hold for longer, and the time
//! counts against the limits of requests that it has.

use std::sync::Arc;
use std::time::Duration;

use clayplank_clock::suspend;
use clayplank_forward::{BudgetLimits, Directory, EntryBuilder, Gate, RetryBudget, now_ms};
use clayplank_routes::{RequestKind, Route};
use proptest::prelude::*;
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use crate::harness::{Host, NoPlacer, plain_service, read_some, record, route};

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

/// A request that has begun: its head, and a part of its body of four bytes.
struct Begun {
    upstream: TcpListener,
    caller: TcpStream,
    _host: Host,
}

/// Sends the head of a request, and a part of its body, to an entry host before one upstream.
async fn begin(body: &str) -> Begun {
    let upstream = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let directory = Arc::new(Directory::default());
    directory.apply(vec![record("u", upstream.local_addr().unwrap())]);
    let host = Host::start(
        EntryBuilder::default(),
        Route { max_attempts: 1, ..route(RequestKind::Unrepeatable) },
        plain_service(),
        directory,
        Arc::new(NoPlacer),
    )
    .await;
    let mut caller = host.connect().await;
    caller.write_all(format!("{HEAD}{body}").as_bytes()).await.unwrap();
    Begun { upstream, caller, _host: host }
}

const HEAD: &str = "POST /x HTTP/1.1\r\nhost: dala.example\r\nx-clayplank-attempt-id: a\r\n\
    x-clayplank-deadline-ms: 6000\r\nconnection: close\r\ncontent-length: 4\r\n\r\n";

#[tokio::test]
async fn an_upstream_is_told_what_is_left_of_the_callers_time() {
    let mut begun = begin("bo").await;
    tokio::time::sleep(Duration::from_millis(50)).await;
    suspend(Duration::from_secs(2));
    begun.caller.write_all(b"dy").await.unwrap();
    let (mut stream, _) = begun.upstream.accept().await.unwrap();
    let head = read_some(&mut stream).await;
    let left = head.split("x-clayplank-deadline-ms: ").nth(1).unwrap();
    let left_ms: u64 = left.split("\r\n").next().unwrap().parse().unwrap();
    assert!(left_ms <= 4_000, "{left_ms} ms of 6,000 after two seconds");
}

#[tokio::test]
async fn a_request_is_given_up_when_the_machine_wakes_after_its_limit() {
    let mut begun = begin("body").await;
    let (mut stream, _) = begun.upstream.accept().await.unwrap();
    read_some(&mut stream).await;
    let awake = tokio::time::Instant::now();
    suspend(Duration::from_secs(30));
    let mut answer = String::new();
    begun.caller.read_to_string(&mut answer).await.unwrap();
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
