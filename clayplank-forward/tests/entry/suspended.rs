//! An entry host whose machine is suspended: the suspension extends no lease and no retry window, and
//! counts against the time limits of requests in flight.

use std::sync::Arc;
use std::time::Duration;

use clayplank_clock::simulate_suspension;
use clayplank_forward::{BudgetLimits, Directory, EntryBuilder, Gate, RetryBudget, now_ms};
use clayplank_routes::{RequestKind, Route};
use proptest::prelude::*;
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use crate::harness::{Host, TestPlacer, plain_service, read_some, record, route};

/// Time for which a plan is valid after a confirmation by a keeper, in ms.
const LEASE_MS: u64 = 4_000;

#[rstest]
#[case::shorter_than_the_lease(1, true)]
#[case::longer(5, false)]
#[case::much_longer(30, false)]
#[tokio::test(start_paused = true)]
async fn a_suspension_does_not_extend_the_lease_of_a_plan(
    #[case] seconds: u64,
    #[case] is_confirmed: bool,
) {
    let gate = Gate::new(LEASE_MS);
    gate.confirm(now_ms());
    assert!(gate.is_confirmed());
    simulate_suspension(Duration::from_secs(seconds));
    assert_eq!(gate.is_confirmed(), is_confirmed);
}

#[tokio::test(start_paused = true)]
async fn retries_before_a_suspension_leave_the_budget_window() {
    let limits = BudgetLimits { ratio: 0.0, extra: 2.5, window_ms: 10_000 };
    let mut budget = RetryBudget::new(limits);
    budget.set_hosts(1);
    assert!(budget.take_retry(now_ms(), "app"));
    assert!(budget.take_retry(now_ms(), "app"));
    assert!(!budget.take_retry(now_ms(), "app"));
    simulate_suspension(Duration::from_secs(11));
    assert!(budget.take_retry(now_ms(), "app"));
}

/// A request in flight. Its head is sent, and its body of four bytes in part or completely.
struct StartedRequest {
    upstream: TcpListener,
    caller: TcpStream,
    _host: Host,
}

/// Sends the head of a request, and `body`, to an entry host with one upstream.
async fn start_request(body: &str) -> StartedRequest {
    let upstream = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let directory = Arc::new(Directory::default());
    directory.apply(vec![record("u", upstream.local_addr().unwrap())]);
    let host = Host::start(
        EntryBuilder::default(),
        Route { max_attempts: 1, ..route(RequestKind::Unrepeatable) },
        plain_service(),
        directory,
        Arc::new(TestPlacer::default()),
    )
    .await;
    let mut caller = host.connect().await;
    caller.write_all(format!("{HEAD}{body}").as_bytes()).await.unwrap();
    StartedRequest { upstream, caller, _host: host }
}

const HEAD: &str = "POST /x HTTP/1.1\r\nhost: dala.example\r\nx-clayplank-attempt-id: a\r\n\
    x-clayplank-deadline-ms: 6000\r\nconnection: close\r\ncontent-length: 4\r\n\r\n";

#[tokio::test]
async fn the_deadline_sent_to_an_upstream_includes_a_suspension() {
    let mut request = start_request("bo").await;
    tokio::time::sleep(Duration::from_millis(50)).await;
    simulate_suspension(Duration::from_secs(2));
    request.caller.write_all(b"dy").await.unwrap();
    let (mut stream, _) = request.upstream.accept().await.unwrap();
    let head = read_some(&mut stream).await;
    let remaining = head.split("x-clayplank-deadline-ms: ").nth(1).unwrap();
    let remaining_ms: u64 = remaining.split("\r\n").next().unwrap().parse().unwrap();
    assert!(remaining_ms <= 4_000, "{remaining_ms} ms of 6,000 after two seconds");
}

#[tokio::test]
async fn a_request_times_out_when_the_machine_resumes_after_its_deadline() {
    let mut request = start_request("body").await;
    let (mut stream, _) = request.upstream.accept().await.unwrap();
    read_some(&mut stream).await;
    let resumed_at = tokio::time::Instant::now();
    simulate_suspension(Duration::from_secs(30));
    let mut answer = String::new();
    request.caller.read_to_string(&mut answer).await.unwrap();
    assert!(answer.starts_with("HTTP/1.1 504"), "{answer}");
    // A clock that stands still during a suspension would leave nearly all of the 6 s to wait for.
    assert!(resumed_at.elapsed() < Duration::from_secs(3), "{:?}", resumed_at.elapsed());
}

/// One step in the run of a host whose plan is confirmed by keepers.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// Time passes.
    Awake { span_ms: u64 },
    /// The machine is suspended.
    Suspended { span_ms: u64 },
    /// The host requests a confirmation from a keeper.
    RequestsConfirmation,
    /// The answer to the last request arrives, however late.
    ReceivesConfirmation,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        (1_u64..3_000).prop_map(|span_ms| Step::Awake { span_ms }),
        (1_u64..40_000).prop_map(|span_ms| Step::Suspended { span_ms }),
        Just(Step::RequestsConfirmation),
        Just(Step::ReceivesConfirmation),
    ];
    prop::collection::vec(step, 1..40)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(10_000))]

    /// In whichever order a host is suspended, requests confirmations and receives them: its plan is
    /// confirmed exactly within the lease from the last request that was answered, by a clock that runs
    /// on during suspensions.
    #[test]
    fn no_sequence_of_suspensions_extends_a_lease(steps in steps()) {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build()
            .unwrap();
        runtime.block_on(async {
            let gate = Gate::new(LEASE_MS);
            let (mut true_ms, mut requested, mut confirmed_ms) = (0, None, None);
            for step in steps {
                match step {
                    Step::Awake { span_ms } => {
                        tokio::time::advance(Duration::from_millis(span_ms)).await;
                        true_ms += span_ms;
                    }
                    Step::Suspended { span_ms } => {
                        simulate_suspension(Duration::from_millis(span_ms));
                        true_ms += span_ms;
                    }
                    Step::RequestsConfirmation => requested = Some((true_ms, now_ms())),
                    Step::ReceivesConfirmation => {
                        if let Some((true_requested_ms, requested_ms)) = requested {
                            gate.confirm(requested_ms);
                            confirmed_ms = Some(true_requested_ms);
                        }
                    }
                }
                let is_within = confirmed_ms.is_some_and(|at_ms| true_ms < at_ms + LEASE_MS);
                prop_assert_eq!(gate.is_confirmed(), is_within);
            }
            Ok(())
        })?;
    }
}
