//! Benchmark of the time per decision, by number of engines and accounts.

#![allow(missing_docs, reason = "criterion's macros write undocumented functions")]

use clayplank_schedule::{
    Decision, EngineSpec, GrantHolder, Policy, ReservationRequest, Scheduler, Usage,
};
use clayplank_types::{AccountId, AttemptId, Partner, RequestId, UpstreamId};
use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};

const SIZES: [(usize, usize); 6] =
    [(20, 10), (20, 43_000), (1_200, 10), (1_200, 43_000), (4_900, 10), (4_900, 43_000)];

/// Number of requests queued behind full engines before the measurement, from up to as many
/// accounts.
const WAITING: usize = 2_000;

fn new_scheduler(engines: usize) -> Scheduler {
    let mut scheduler = Scheduler::new(Policy::builder().max_waiting(1_000_000).build());
    for engine in 0..engines {
        scheduler.add_engine(EngineSpec::new(
            UpstreamId::new(format!("e{engine}")),
            400_000,
            ["base"],
        ));
    }
    scheduler
}

fn new_reservation_request(number: u64, accounts: usize) -> ReservationRequest {
    let account = AccountId::new(Partner::new("dala"), format!("a{}", number as usize % accounts));
    let attempt_id = AttemptId::from_bits(u128::from(number));
    ReservationRequest::new(RequestId(number), attempt_id, account, "base", 1_500, u64::MAX / 2)
}

/// Submits one request and completes every grant that results: first token, then end.
fn decide(scheduler: &mut Scheduler, number: u64, accounts: usize) {
    scheduler.submit(number, GrantHolder::default(), new_reservation_request(number, accounts));
    for decision in scheduler.take_decisions() {
        if let Decision::Granted(grant) = decision {
            scheduler.record_first_token(number, grant.grant_id);
            let usage = Usage { engine_ended: true, ..Usage::default() };
            scheduler.end_grant(number, grant.grant_id, usage);
        }
    }
}

fn bench_decisions(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("decision");
    for (engines, accounts) in SIZES {
        let mut scheduler = new_scheduler(engines);
        let mut number = 0;
        // Make every account known and give every engine a prompt to prefill.
        for _ in 0..accounts.max(engines) {
            number += 1;
            scheduler.submit(
                number,
                GrantHolder::default(),
                new_reservation_request(number, accounts),
            );
        }
        scheduler.take_decisions();
        let mut waiting = 0;
        while waiting < WAITING {
            number += 1;
            waiting += 1;
            scheduler.submit(
                number,
                GrantHolder::default(),
                new_reservation_request(number, accounts),
            );
        }
        scheduler.take_decisions();
        let id = BenchmarkId::new(format!("{engines} engines"), format!("{accounts} accounts"));
        group.bench_function(id, |bencher| {
            bencher.iter(|| {
                number += 1;
                decide(&mut scheduler, number, accounts);
            });
        });
    }
    group.finish();
}

criterion_group!(decisions, bench_decisions);
criterion_main!(decisions);
