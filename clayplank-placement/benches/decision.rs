//! Cost of a placement decision by the number of engines.

#![allow(missing_docs, reason = "criterion writes the functions")]

use clayplank_placement::{
    EngineModel, EngineSpec, Fleet, PlacementId, PlacementOutcome, PlacementRequest,
};
use clayplank_types::{DataCentre, UpstreamId};
use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};

/// Requests that run on each engine.
const RUNNING: u64 = 2;

fn busy_fleet(engines: u64) -> Fleet {
    let mut fleet = Fleet::default();
    for number in 0..engines {
        let spec = EngineSpec {
            pool: "main".to_owned(),
            data_centre: DataCentre::new("a"),
            model: EngineModel { slots: 10, ..EngineModel::default() },
        };
        fleet.set_engine(UpstreamId::new(format!("engine-{number}")), spec, true);
    }
    for number in 0..RUNNING * engines {
        fleet.place(0.0, &request(number, 5_000, 300.0));
    }
    fleet
}

fn request(number: u64, tokens: u64, goal_ms: f64) -> PlacementRequest {
    PlacementRequest::new(PlacementId { host: 1, number }, "main", tokens, goal_ms)
}

fn decisions(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("place");
    group.sample_size(10);
    for engines in [20, 150, 1_200, 4_900] {
        let mut fleet = busy_fleet(engines);
        for (kind, tokens, goal_ms) in [("short", 5_000, 300.0), ("long", 300_000, 4_000.0)] {
            let mut number = 1_000_000;
            group.bench_function(BenchmarkId::new(kind, engines), |bencher| {
                bencher.iter(|| {
                    number += 1;
                    let request = request(number, tokens, goal_ms);
                    let placed = fleet.place(10.0, &request);
                    fleet.apply_event(10.0, request.id, clayplank_placement::Event::Ended);
                    matches!(placed, PlacementOutcome::At(_))
                });
            });
        }
    }
    group.finish();
}

criterion_group!(benches, decisions);
criterion_main!(benches);
