//! Time of a request's fingerprint by the size of its body.

#![allow(missing_docs, reason = "criterion's macros write undocumented functions")]

use clayplank_types::{RequestFingerprint, RequestIdentity};
use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};

/// A small call, a prompt of 5,000 tokens, and one of a million, in bytes.
const BODIES: [usize; 3] = [1_000, 20_000, 4_000_000];

fn fingerprints(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("fingerprint");
    for size in BODIES {
        let body = vec![7; size];
        let identity = RequestIdentity {
            caller: "clubs",
            host: "dala.example",
            path: "/results/2",
            body: &body,
        };
        group.bench_with_input(
            BenchmarkId::from_parameter(size),
            &identity,
            |bencher, identity| {
                bencher.iter(|| RequestFingerprint::of(identity));
            },
        );
    }
    group.finish();
}

criterion_group!(benches, fingerprints);
criterion_main!(benches);
