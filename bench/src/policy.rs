//! The policy experiment: queueing disciplines and workloads at several loads, with an outage, and with
//! each mechanism of the scheduler turned off.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError};

use clayplank_schedule::{Discipline, Mechanisms, Policy};
use serde::Serialize;

use crate::mix::{Arrival, Mix, SHORT_WORK_TOKENS, base_policy};
use crate::replay::{RequestOutcome, Setup, replay};
use crate::summary::{Summary, is_in_time, summarise};

const ENGINES: usize = 20;
/// Time over which requests arrive.
const LENGTH_MS: u64 = 600_000;
/// Offered loads, as shares of the engines' capacity.
const LOADS: [f64; 4] = [0.5, 0.8, 0.95, 1.2];
/// Start and end of the outage of half of the engines.
const OUTAGE_MS: (u64, u64) = (200_000, 400_000);
const OUTAGE_LOAD: f64 = 0.8;
/// Loads of the runs with a mechanism turned off.
const MECHANISM_LOADS: [f64; 2] = [0.8, 1.2];
const RACE_DAY_LOAD: f64 = 2.2;

const DISCIPLINES: [(&str, Discipline); 3] = [
    ("current", Discipline::Current),
    ("first-come", Discipline::FirstCome),
    ("shortest-first", Discipline::ShortestFirst),
];

/// Parameters of one run.
#[derive(Clone, Debug)]
struct RunSpec {
    name: String,
    mix: Mix,
    load: f64,
    policy: Policy,
    without_long: bool,
    has_outage: bool,
}

/// Results of one run.
#[derive(Clone, Debug, Serialize)]
struct Row {
    name: String,
    mix: Mix,
    load: f64,
    without_long: bool,
    summary: Summary,
    /// Goodput before, during and after the outage, in tokens per second.
    outage_goodput: Option<[f64; 3]>,
}

fn policy_of(discipline: Discipline, mechanisms: Mechanisms, seed: u64) -> Policy {
    base_policy(Policy::builder()).discipline(discipline).mechanisms(mechanisms).seed(seed).build()
}

fn mechanisms_off() -> Vec<(&'static str, Mechanisms)> {
    let all = Mechanisms::default();
    vec![
        ("without fair-share", Mechanisms { fair_share: false, ..all }),
        ("without heavy-limit", Mechanisms { heavy_limit: false, ..all }),
        ("without engine-priority", Mechanisms { engine_priority: false, ..all }),
        ("without prefix-reuse", Mechanisms { prefix_reuse: false, ..all }),
        ("without prefill-cap", Mechanisms { limit_queued_prefill: false, ..all }),
        ("without early-refusal", Mechanisms { early_refusal: false, ..all }),
    ]
}

fn run_specs(seed: u64) -> Vec<RunSpec> {
    let mut specs = Vec::new();
    for mix in Mix::BOTH {
        for (name, discipline) in DISCIPLINES {
            let policy = policy_of(discipline, Mechanisms::default(), seed);
            let spec = |load, without_long, has_outage| RunSpec {
                name: name.to_owned(),
                mix,
                load,
                policy: policy.clone(),
                without_long,
                has_outage,
            };
            specs.extend(LOADS.map(|load| spec(load, false, false)));
            specs.extend(LOADS.map(|load| spec(load, true, false)));
            specs.push(spec(OUTAGE_LOAD, false, true));
        }
    }
    for (name, discipline) in DISCIPLINES {
        specs.push(race_day(name, policy_of(discipline, Mechanisms::default(), seed)));
    }
    for (name, mechanisms) in mechanisms_off() {
        let policy = policy_of(Discipline::Current, mechanisms, seed);
        for (mix, load) in
            Mix::BOTH.into_iter().flat_map(|mix| MECHANISM_LOADS.map(|load| (mix, load)))
        {
            let (name, policy) = (name.to_owned(), policy.clone());
            specs.push(RunSpec { name, mix, load, policy, without_long: false, has_outage: false });
        }
        specs.push(race_day(name, policy));
    }
    specs
}

fn race_day(name: &str, policy: Policy) -> RunSpec {
    let (name, mix, load) = (name.to_owned(), Mix::RaceDay, RACE_DAY_LOAD);
    RunSpec { name, mix, load, policy, without_long: false, has_outage: false }
}

fn execute(spec: &RunSpec, seed: u64) -> Row {
    let mut arrivals = spec.mix.generate(seed, spec.load, ENGINES, LENGTH_MS);
    if spec.without_long {
        arrivals.retain(|arrival| arrival.prompt_tokens <= SHORT_WORK_TOKENS);
    }
    let arrivals = Arc::new(arrivals);
    let setup = Setup {
        mix: spec.mix,
        policy: spec.policy.clone(),
        engines: ENGINES,
        arrivals: Arc::clone(&arrivals),
        outage_ms: spec.has_outage.then_some(OUTAGE_MS),
    };
    let outcomes = replay(setup);
    Row {
        name: spec.name.clone(),
        mix: spec.mix,
        load: spec.load,
        without_long: spec.without_long,
        summary: summarise(&arrivals, &outcomes, LENGTH_MS),
        outage_goodput: spec.has_outage.then(|| outage_goodput(&arrivals, &outcomes)),
    }
}

/// Tokens per second of requests that completed in time, by the period in which they completed.
fn outage_goodput(arrivals: &[Arrival], outcomes: &[RequestOutcome]) -> [f64; 3] {
    let periods = [(0, OUTAGE_MS.0), OUTAGE_MS, (OUTAGE_MS.1, LENGTH_MS)];
    periods.map(|(from_ms, to_ms)| {
        let ended = arrivals.iter().zip(outcomes).filter(|(arrival, outcome)| {
            is_in_time(arrival, outcome)
                && outcome.ended_ms.is_some_and(|ended_ms| (from_ms..to_ms).contains(&ended_ms))
        });
        let tokens: u64 = ended.map(|(arrival, _)| arrival.tokens()).sum();
        tokens as f64 * 1_000.0 / (to_ms - from_ms) as f64
    })
}

/// Executes all runs, in parallel on all processors, and prints the results in order.
pub(crate) fn run(seed: u64, as_json: bool, only: Option<&str>) {
    let mut specs = run_specs(seed);
    specs.retain(|spec| only.is_none_or(|name| spec.name == name));
    let next = AtomicUsize::new(0);
    let rows: Mutex<Vec<(usize, Row)>> = Mutex::default();
    let workers = std::thread::available_parallelism().map_or(4, usize::from);
    std::thread::scope(|scope| {
        for _ in 0..workers {
            scope.spawn(|| {
                loop {
                    let position = next.fetch_add(1, Ordering::SeqCst);
                    let Some(spec) = specs.get(position) else {
                        return;
                    };
                    let row = execute(spec, seed);
                    rows.lock().unwrap_or_else(PoisonError::into_inner).push((position, row));
                }
            });
        }
    });
    let mut rows = rows.into_inner().unwrap_or_else(PoisonError::into_inner);
    rows.sort_by_key(|(position, _)| *position);
    let rows: Vec<Row> = rows.into_iter().map(|(_, row)| row).collect();
    if as_json {
        println!("{}", serde_json::json!(rows));
    } else {
        print_rows(&rows);
    }
}

fn print_rows(rows: &[Row]) {
    println!("{ENGINES} engines, arrivals for {} s; times to first token in ms", LENGTH_MS / 1_000);
    for row in rows.iter().filter(|row| !row.without_long) {
        let summary = &row.summary;
        println!(
            "\n{} {:?} load {}{}: in time {:.4}, refused {} (after p99 {} ms), goodput {:.0}, long {:.0}, fairness {:.2}",
            row.name,
            row.mix,
            row.load,
            if row.outage_goodput.is_some() {
                " with half of the engines gone for a while"
            } else {
                ""
            },
            summary.in_time,
            summary.refused,
            summary.refused_after_p99_ms,
            summary.goodput,
            summary.long_goodput,
            summary.fairness,
        );
        if let Some([before, during, after]) = row.outage_goodput {
            println!("  goodput before {before:.0}, during {during:.0}, after {after:.0}");
        }
        let without = rows.iter().find(|other| {
            other.without_long
                && other.name == row.name
                && other.mix == row.mix
                && (other.load - row.load).abs() < 1e-9
        });
        print_bands(summary, without.map(|other| &other.summary));
    }
}

fn print_bands(summary: &Summary, without_long: Option<&Summary>) {
    for band in &summary.bands {
        let same_band =
            |summary: &Summary| summary.bands.iter().find(|other| other.band == band.band).cloned();
        let slowdown = without_long.and_then(same_band).map_or(String::new(), |other| {
            let ratio = |with: u64, without: u64| with as f64 / without.max(1) as f64;
            format!(
                "  slowdown p50 {:.2} p99 {:.2}",
                ratio(band.first_token_p50_ms, other.first_token_p50_ms),
                ratio(band.first_token_p99_ms, other.first_token_p99_ms),
            )
        });
        println!(
            "  {:>5}: {:>6} arrived, p50 {:>6} p95 {:>6} p99 {:>6}, refused {}, failed {}, late {}{slowdown}",
            band.band,
            band.arrived,
            band.first_token_p50_ms,
            band.first_token_p95_ms,
            band.first_token_p99_ms,
            band.refused,
            band.failed,
            band.late,
        );
    }
}
