//! Tests of single scheduler decisions, and of the rate limit and the retry budget.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::collections::BTreeMap;

use clayplank_schedule::{
    Decision, EngineReport, EngineSpec, Grant, GrantHolder, Policy, RequestRateLimit,
    ReservationRequest, RetryBudget, Scheduler, Usage,
};
use clayplank_types::{
    AccountId, AttemptId, EnginePriority, Incarnation, Partner, Priority, Refusal, RefusalReason,
    RequestId, UpstreamId,
};
use rstest::rstest;

const MEMORY_TOKENS: u64 = 400_000;

fn scheduler(engines: usize) -> Scheduler {
    let mut scheduler = Scheduler::new(Policy::default());
    for engine in 0..engines {
        let id = UpstreamId::new(format!("e{engine}"));
        scheduler.add_engine(EngineSpec::new(id, MEMORY_TOKENS, ["base"]));
    }
    scheduler
}

fn request(number: u64, account: &str, prompt_tokens: u64, deadline_ms: u64) -> ReservationRequest {
    let account = AccountId::new(Partner::new("dala"), account);
    ReservationRequest::new(
        RequestId(number),
        AttemptId::from_bits(u128::from(number)),
        account,
        "base",
        prompt_tokens,
        deadline_ms,
    )
}

fn submit(scheduler: &mut Scheduler, now_ms: u64, request: ReservationRequest) -> Vec<Decision> {
    scheduler.submit(now_ms, GrantHolder::default(), request);
    scheduler.take_decisions()
}

fn granted(decisions: &[Decision]) -> &Grant {
    match decisions {
        [Decision::Granted(grant)] => grant,
        other => panic!("expected exactly one grant, got {other:?}"),
    }
}

fn refusal(decisions: &[Decision]) -> Refusal {
    match decisions {
        [Decision::Refused(_, refusal)] => *refusal,
        other => panic!("expected exactly one refusal, got {other:?}"),
    }
}

#[rstest]
#[case::brief(1_000, 0)]
#[case::short(5_000, 1)]
#[case::medium(40_000, 2)]
#[case::long(200_000, 3)]
fn shorter_prompts_get_a_higher_engine_priority(#[case] prompt_tokens: u64, #[case] class: u8) {
    let decisions = submit(&mut scheduler(2), 0, request(1, "a", prompt_tokens, 600_000));
    assert_eq!(granted(&decisions).engine_priority, EnginePriority(class));
}

#[test]
fn short_prompt_avoids_engine_prefilling_a_long_one() {
    let mut scheduler = scheduler(2);
    let long = submit(&mut scheduler, 0, request(1, "a", 200_000, 600_000));
    let long_engine = granted(&long).parts[0].engine.clone();
    let short = submit(&mut scheduler, 1, request(2, "b", 1_000, 10_000));
    assert_ne!(granted(&short).parts[0].engine, long_engine);
}

#[test]
fn request_that_cannot_meet_its_deadline_is_refused_immediately() {
    let decisions = submit(&mut scheduler(1), 0, request(1, "a", 200_000, 1_000));
    let refusal = refusal(&decisions);
    assert_eq!(refusal.reason, RefusalReason::DeadlineOutOfReach);
    assert!(refusal.retry_after_ms > 0);
}

#[test]
fn gang_request_is_granted_all_engines_or_none() {
    let mut scheduler = scheduler(3);
    // One engine is nearly full, so the three together cannot hold the prompt yet.
    let first = submit(&mut scheduler, 0, request(1, "a", 300_000, 3_600_000));
    let blocking = granted(&first).grant_id;
    assert_eq!(submit(&mut scheduler, 1, request(2, "b", 1_000_000, 3_600_000)), vec![]);
    assert_eq!(scheduler.totals().grants, 1, "nothing is reserved for the gang");
    scheduler.end_grant(2, blocking, Usage { engine_ended: true, ..Usage::default() });
    let decisions = scheduler.take_decisions();
    let grant = granted(&decisions);
    assert_eq!(grant.parts.len(), 3);
    assert_eq!(grant.parts.iter().map(|part| part.prompt_tokens).sum::<u64>(), 1_000_000);
}

#[test]
fn prompt_larger_than_the_pool_is_refused() {
    let decisions = submit(&mut scheduler(2), 0, request(1, "a", 1_000_000, 3_600_000));
    assert_eq!(refusal(&decisions).reason, RefusalReason::PromptTooLarge);
}

#[test]
fn draining_engine_gets_no_new_work_until_it_restarts() {
    let mut scheduler = scheduler(1);
    scheduler.mark_draining(&UpstreamId::new("e0"));
    let decisions = submit(&mut scheduler, 0, request(1, "a", 1_000, 10_000));
    assert_eq!(refusal(&decisions).reason, RefusalReason::NoEngine);
    let alive = EngineReport {
        incarnation: Incarnation(1),
        memory_tokens: MEMORY_TOKENS,
        ..EngineReport::default()
    };
    scheduler.apply_report(10, &UpstreamId::new("e0"), &alive);
    let decisions = submit(&mut scheduler, 11, request(2, "a", 1_000, 10_000));
    assert_eq!(
        refusal(&decisions).reason,
        RefusalReason::NoEngine,
        "an incarnation that drains stays so, whatever it reports"
    );
    scheduler.apply_report(
        20,
        &UpstreamId::new("e0"),
        &EngineReport { incarnation: Incarnation(2), ..alive },
    );
    granted(&submit(&mut scheduler, 21, request(3, "a", 1_000, 10_000)));
}

#[test]
fn memory_of_an_expired_grant_is_released_only_once_the_engine_ended_it() {
    let mut scheduler = scheduler(1);
    let engine = UpstreamId::new("e0");
    granted(&submit(&mut scheduler, 0, request(1, "a", 1_000, 10_000)));
    scheduler.tick(3_001);
    assert_eq!(
        scheduler.take_decisions(),
        vec![Decision::Cancel(engine.clone(), AttemptId::from_bits(1))]
    );
    let running = BTreeMap::from([(AttemptId::from_bits(1), 1_016)]);
    let mut report = EngineReport {
        incarnation: Incarnation(1),
        memory_tokens: MEMORY_TOKENS,
        running,
        is_draining: false,
        ..EngineReport::default()
    };
    scheduler.apply_report(9_000, &engine, &report);
    assert_eq!(scheduler.totals().granted_tokens, 1_016, "the engine still runs the attempt");
    report.running.clear();
    scheduler.apply_report(9_500, &engine, &report);
    assert_eq!(scheduler.totals().granted_tokens, 0);
}

#[test]
fn new_owner_counts_attempts_that_the_engine_already_runs() {
    let mut scheduler = scheduler(1);
    let running = BTreeMap::from([(AttemptId::from_bits(77), 250_000)]);
    let report = EngineReport {
        incarnation: Incarnation(1),
        memory_tokens: MEMORY_TOKENS,
        running,
        is_draining: false,
        ..EngineReport::default()
    };
    scheduler.apply_report(0, &UpstreamId::new("e0"), &report);
    assert_eq!(scheduler.totals().foreign_tokens, 250_000);
    assert_eq!(
        submit(&mut scheduler, 1, request(1, "a", 200_000, 3_600_000)),
        vec![],
        "no room is left beside the reported attempt"
    );
}

#[test]
fn account_with_a_long_queue_does_not_delay_another() {
    let mut scheduler = scheduler(1);
    for number in 0..200 {
        scheduler.submit(0, GrantHolder::default(), request(number, "large", 4_000, 600_000));
    }
    scheduler.take_decisions();
    scheduler.submit(1, GrantHolder::default(), request(1_000, "small", 4_000, 600_000));
    let mut order = Vec::new();
    let mut grants = vec![1];
    for step in 0..20 {
        let now_ms = 300 * (step + 1);
        for grant in grants.drain(..) {
            let grant_id = clayplank_schedule::GrantId(grant);
            scheduler.record_first_token(now_ms, grant_id);
            scheduler.end_grant(now_ms, grant_id, Usage { engine_ended: true, ..Usage::default() });
        }
        for decision in scheduler.take_decisions() {
            if let Decision::Granted(grant) = decision {
                order.push(grant.request_id);
                grants.push(grant.grant_id.0);
            }
        }
    }
    let position = order.iter().position(|&request_id| request_id == RequestId(1_000)).unwrap();
    assert!(position < 3, "granted at position {position} of {order:?}");
}

#[test]
fn waiting_raises_the_urgency_of_low_priority_requests() {
    let mut scheduler = scheduler(1);
    let mut low = request(1, "a", 4_000, 600_000);
    low.priority = Priority::Low;
    // The engine always has one prompt in prefill.
    granted(&submit(&mut scheduler, 0, request(0, "z", 4_000, 600_000)));
    assert_eq!(submit(&mut scheduler, 1, low), vec![]);
    let mut last = 1;
    for number in 2..40 {
        let now_ms = number * 400;
        let mut high = request(number, "b", 4_000, now_ms + 60_000);
        high.priority = Priority::High;
        scheduler.submit(now_ms, GrantHolder::default(), high);
        let grant_id = clayplank_schedule::GrantId(last);
        scheduler.record_first_token(now_ms + 1, grant_id);
        for decision in scheduler.take_decisions() {
            let Decision::Granted(grant) = decision else { continue };
            last = grant.grant_id.0;
            if grant.request_id == RequestId(1) {
                assert!(now_ms >= 4_000, "granted before it aged by two priority classes");
                return;
            }
        }
    }
    panic!("the low-priority request was never granted");
}

#[test]
fn service_time_forecast_adapts_to_measured_rates() {
    let mut scheduler = scheduler(1);
    let before =
        scheduler.forecast(&request(0, "a", 100_000, 1), clayplank_schedule::Lane::Long).service_ms;
    for number in 1..40 {
        let now_ms = number * 1_000;
        let decisions =
            submit(&mut scheduler, now_ms, request(number, "a", 4_000, now_ms + 60_000));
        let grant_id = granted(&decisions).grant_id;
        // The engine prefills 40 tokens per ms, four times the configured initial rate.
        scheduler.record_first_token(now_ms + 100, grant_id);
        scheduler.end_grant(
            now_ms + 200,
            grant_id,
            Usage { engine_ended: true, output_tokens: 11, decode_ms: 100, ..Usage::default() },
        );
    }
    let after =
        scheduler.forecast(&request(0, "a", 100_000, 1), clayplank_schedule::Lane::Long).service_ms;
    assert!(after < before / 3.0, "before {before}, after {after}");
}

#[test]
fn requests_with_a_common_prefix_spread_over_engines() {
    let mut scheduler = scheduler(4);
    let mut engines = BTreeMap::new();
    for number in 0..40 {
        let mut hot = request(number, "a", 2_000, 60_000);
        hot.prefix_hashes = vec![42];
        for decision in submit(&mut scheduler, 0, hot) {
            if let Decision::Granted(grant) = decision {
                *engines.entry(grant.parts[0].engine.clone()).or_insert(0) += 1;
            }
        }
    }
    assert_eq!(engines.len(), 4, "{engines:?}");
}

#[test]
fn rate_limit_reports_the_time_until_the_next_request_is_allowed() {
    let mut limit = RequestRateLimit::new(2, 0);
    assert_eq!(
        (0..4).filter(|_| limit.try_acquire(2, 0).is_ok()).count(),
        4,
        "a burst of two seconds of the rate is allowed"
    );
    assert_eq!(limit.try_acquire(2, 0), Err(500));
    assert_eq!(limit.try_acquire(2, 499), Err(1));
    assert_eq!(limit.try_acquire(2, 500), Ok(()));
}

#[test]
fn retries_are_limited_to_a_share_of_first_attempts() {
    let mut budget = RetryBudget::new();
    assert!(budget.try_withdraw());
    assert!(!budget.try_withdraw());
    (0..9).for_each(|_| budget.deposit(10));
    assert!(!budget.try_withdraw());
    budget.deposit(10);
    assert!(budget.try_withdraw());
}
