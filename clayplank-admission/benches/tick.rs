//! Time of one update of a full queue, and of one arrival at it.

#![allow(missing_docs, reason = "criterion writes the functions")]

use std::hint::black_box;

use clayplank_admission::Admission;
use clayplank_placement::{
    EngineModel, EngineSpec, Event, PlacementId, PlacementRequest, QueueTerms,
};
use clayplank_types::{DataCentre, Fingerprint, UpstreamId};
use criterion::{BatchSize, Criterion, criterion_group, criterion_main};

const ENGINES: usize = 69;
const SLOTS: u32 = 12;
const QUEUED: u64 = 4_096;
const ACCOUNTS: u64 = 40;

fn request(number: u64) -> PlacementRequest {
    // One in fifty is long.
    let (tokens, goal_ms, limit_ms) = if number.is_multiple_of(50) {
        (220_000, 4_000.0, 15_000.0)
    } else {
        (5_000, 300.0, 2_000.0)
    };
    let mut request =
        PlacementRequest::new(PlacementId { host: 1, number }, "main", tokens, goal_ms);
    request.output_tokens = 1_000;
    request.limit_ms = limit_ms;
    request.data_centre = DataCentre::new("a");
    request.route_limit_ms = 15_000.0;
    request.sent_limit_ms = 15_000.0;
    request.queue_terms = Some(QueueTerms {
        fingerprint: Fingerprint::new(u128::from(number)),
        account: format!("account-{}", number % ACCOUNTS),
        rank: 0,
        deadline_ms: 15_000.0,
    });
    request
}

/// A keeper without free slots and with a full queue.
fn full() -> Admission {
    let mut admission = Admission::default();
    let model = EngineModel { slots: SLOTS, memory_tokens: 4_000_000, ..EngineModel::default() };
    let spec = EngineSpec { pool: "main".to_owned(), data_centre: DataCentre::new("a"), model };
    for number in 0..ENGINES {
        let id = UpstreamId::new(format!("engine-{number:03}"));
        admission.fleet_mut().set_engine(id, spec.clone(), true);
    }
    let mut number = 0;
    // The first ones fill the slots.
    while admission.stats().queued < QUEUED as usize {
        number += 1;
        admission.place(0.0, &request(number));
    }
    admission
}

fn tick(criterion: &mut Criterion) {
    let admission = full();
    assert_eq!(admission.stats().queued, QUEUED as usize);
    for (name, now_ms, freed) in
        [("no slot free", 20.0, 0), ("40 slots free", 20.0, 40), ("all late", 600.0, 0)]
    {
        let mut admission = admission.clone();
        for number in 1..=freed {
            let id = PlacementId { host: 1, number };
            admission.apply_event(10.0, id, Event::Ended);
        }
        criterion.bench_function(&format!("tick, {name}"), |bencher| {
            bencher.iter_batched(
                || admission.clone(),
                |mut admission| {
                    admission.advance(black_box(now_ms));
                    admission
                },
                BatchSize::LargeInput,
            );
        });
    }
    criterion.bench_function("arrival at a full queue", |bencher| {
        bencher.iter_batched(
            || admission.clone(),
            |mut admission| {
                black_box(admission.place(20.0, &request(1_000_000)));
                admission
            },
            BatchSize::LargeInput,
        );
    });
}

criterion_group!(benches, tick);
criterion_main!(benches);
