//! Time to compute the fingerprint of a request, by the size of its body.

#![allow(missing_docs, reason = "criterion's macros write undocumented functions")]

use clayplank_types::{Fingerprint, RequestIdentity};
use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};

/// Sizes of a small request, a prompt of 5,000 tokens and a prompt of a million tokens, in bytes.
const BODY_SIZES_BYTES: [usize; 3] = [1_000, 20_000, 4_000_000];

fn fingerprints(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("fingerprint");
    for size in BODY_SIZES_BYTES {
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
                bencher.iter(|| Fingerprint::of(identity));
            },
        );
    }
    group.finish();
}

criterion_group!(benches, fingerprints);
criterion_main!(benches);
