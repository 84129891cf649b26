//! Costs of the replicated log: commit latency by batch size, recovery time by log length, memory per
//! claim.

use std::path::Path;
use std::time::{Duration, Instant};

use clayplank_agreement::{
    Configuration, Options, Payload, Replica, ReplicaId, Store, StoredState,
};
use clayplank_state::{
    Claim, ClaimHolder, ClaimKey, Command, CommandBody, Machine, decode, encode,
};
use clayplank_types::{AccountId, AttemptId, HostId, Incarnation, Partner};
use hdrhistogram::Histogram;

/// Number of replicas for commits.
const REPLICAS: usize = 3;
/// Numbers of claims proposed at once.
const BATCHES: [usize; 3] = [1, 16, 256];
/// Number of timed syncs, and of timed batches for each batch size.
const ROUNDS: usize = 200;
/// Lengths of the recovered logs.
const RECOVERY_ENTRIES: [u64; 2] = [1_000, 100_000];
/// Upper bound of recorded times: one minute.
const MAX_US: u64 = 60_000_000;
/// Numbers of claims in memory; memory per claim is the difference between the two.
const CLAIM_COUNTS: [u64; 2] = [10_000, 110_000];

/// Reason that a benchmark of the log or the settings could not run.
#[derive(Debug, thiserror::Error)]
pub(crate) enum LogError {
    #[error("a file operation failed")]
    Io(#[from] std::io::Error),
    #[error("the store failed")]
    Store(#[from] clayplank_agreement::StoreError),
    #[error("no replica leads")]
    NoLeader(#[from] clayplank_agreement::NotLeader),
    #[error("the state cannot be encoded")]
    Codec(#[from] clayplank_state::CodecError),
}

/// A replica, its store on disk and its state machine.
struct Node {
    replica: Replica,
    store: Store,
    machine: Machine,
}

fn claim(number: u64) -> CommandBody {
    CommandBody::Claim(Claim {
        key: ClaimKey {
            account: AccountId::new(Partner::new("dala"), "times"),
            key: format!("finish-{number:024}"),
        },
        fingerprint: u128::from(number),
        holder: ClaimHolder { host: HostId::new("entry-1"), incarnation: Incarnation(1) },
        attempt_id: AttemptId::from_bits(u128::from(number)),
        deadline_in_ms: 10_000,
        keep_ms: 90_000_000,
    })
}

fn start(dir: &Path, count: usize) -> Result<Vec<Node>, LogError> {
    let ids: Vec<_> = (0..count).map(|number| ReplicaId::new(format!("k{number}"), 1)).collect();
    let members = Configuration::from_voters(ids.clone());
    let genesis = StoredState::genesis(members.clone(), Vec::new());
    let mut nodes = Vec::new();
    for id in ids {
        let (mut store, _) = Store::open(&dir.join(&id.host), &id.host, 1)?;
        store.initialize(&genesis, members.clone())?;
        let replica = Replica::new(id, genesis.clone(), Options::default(), 0);
        nodes.push(Node { replica, store, machine: Machine::default() });
    }
    Ok(nodes)
}

/// Persists, applies and delivers until no replica has anything left to do.
fn run_until_idle(nodes: &mut [Node], now_ms: u64) -> Result<(), LogError> {
    loop {
        let mut messages = Vec::new();
        // The stores are written in parallel, as they would be on separate hosts.
        let mut writes = Vec::new();
        for node in nodes.iter_mut() {
            let ready = node.replica.take_ready(now_ms);
            if !ready.is_empty() {
                writes.push((node, ready));
            }
        }
        if writes.is_empty() {
            return Ok(());
        }
        std::thread::scope(|scope| {
            let tasks: Vec<_> = writes
                .iter_mut()
                .map(|(node, ready)| {
                    let hard_state = node.replica.hard_state().clone();
                    let store = &mut node.store;
                    scope.spawn(move || store.write(ready, &hard_state))
                })
                .collect();
            tasks.into_iter().try_for_each(|task| task.join().unwrap_or(Ok(())))
        })?;
        for (node, ready) in writes {
            node.replica.record_persisted(ready.written());
            for entry in &ready.committed {
                if let Payload::Command(bytes) = &entry.payload {
                    node.machine.apply(&decode::<Command>(bytes)?);
                }
            }
            messages.extend(ready.messages);
        }
        for message in messages {
            if let Some(node) = nodes.iter_mut().find(|node| *node.replica.id() == message.to) {
                node.replica.receive(now_ms, message);
            }
        }
    }
}

/// Ticks the replicas until one leads and has committed more than its first entry; returns its position.
fn elect(nodes: &mut [Node]) -> Result<usize, LogError> {
    for now_ms in (0..10_000).step_by(10) {
        nodes.iter_mut().for_each(|node| node.replica.tick(now_ms));
        run_until_idle(nodes, now_ms)?;
        let is_ready = |node: &Node| node.replica.is_leader() && node.replica.commit_index() > 1;
        if let Some(leader) = nodes.iter().position(is_ready) {
            return Ok(leader);
        }
    }
    Err(clayplank_agreement::NotLeader { hint: None }.into())
}

fn micros(span: Duration) -> u64 {
    span.as_micros() as u64
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_max(MAX_US, 3).expect("the bounds of the histogram fit")
}

/// Times a plain write of 256 bytes followed by a sync, for comparison with the commits.
fn measure_sync(dir: &Path) -> Result<Histogram<u64>, LogError> {
    use std::io::Write;
    let mut file = std::fs::File::create(dir.join("sync"))?;
    let mut times = histogram();
    for _ in 0..ROUNDS {
        let started = Instant::now();
        file.write_all(&[0; 256])?;
        file.sync_data()?;
        times.saturating_record(micros(started.elapsed()));
    }
    Ok(times)
}

/// Times batches of claims from proposal to commit. Also returns claims per second.
fn measure_commits(dir: &Path, batch: usize) -> Result<(Histogram<u64>, f64), LogError> {
    let mut nodes = start(dir, REPLICAS)?;
    let leader = elect(&mut nodes)?;
    let mut times = histogram();
    let mut number = 0;
    let run_started = Instant::now();
    for _ in 0..ROUNDS {
        let started = Instant::now();
        for _ in 0..batch {
            number += 1;
            let command = Command { at_ms: number, body: claim(number) };
            nodes[leader].replica.propose(encode(&command)?)?;
        }
        run_until_idle(&mut nodes, 20_000)?;
        times.saturating_record(micros(started.elapsed()));
    }
    let rate = number as f64 / run_started.elapsed().as_secs_f64();
    assert_eq!(nodes[leader].machine.stats().claims as u64, number, "every claim was applied");
    Ok((times, rate))
}

/// Times the opening of a store with `entries` claims and their application.
fn measure_recovery(dir: &Path, entries: u64) -> Result<Duration, LogError> {
    let mut nodes = start(dir, 1)?;
    let leader = elect(&mut nodes)?;
    for number in 0..entries {
        nodes[leader].replica.propose(encode(&Command { at_ms: number, body: claim(number) })?)?;
    }
    run_until_idle(&mut nodes, 20_000)?;
    drop(nodes);
    let started = Instant::now();
    let (_, state) = Store::open(&dir.join("k0"), "k0", 1)?;
    let mut machine = Machine::default();
    for entry in state.unwrap_or_default().entries {
        if let Payload::Command(bytes) = &entry.payload {
            machine.apply(&decode::<Command>(bytes)?);
        }
    }
    assert_eq!(machine.stats().claims as u64, entries, "every claim is back");
    Ok(started.elapsed())
}

/// Resident memory of this process in bytes (proc(5), `statm`).
pub(crate) fn resident_bytes() -> Result<u64, LogError> {
    const PAGE_BYTES: u64 = 4_096;
    let text = std::fs::read_to_string("/proc/self/statm")?;
    let pages =
        text.split_whitespace().nth(1).and_then(|word| word.parse::<u64>().ok()).unwrap_or(0);
    Ok(pages * PAGE_BYTES)
}

fn measure_claims() -> Result<(), LogError> {
    let mut machine = Machine::default();
    let mut sizes = Vec::new();
    let mut number = 0;
    for count in CLAIM_COUNTS {
        while number < count {
            number += 1;
            machine.apply(&Command { at_ms: number, body: claim(number) });
        }
        sizes.push(resident_bytes()?);
    }
    let claims = CLAIM_COUNTS[1] - CLAIM_COUNTS[0];
    println!("memory for a claim: {} bytes", (sizes[1] - sizes[0]) / claims);
    println!(
        "a claim in a snapshot: {} bytes",
        machine.to_snapshot()?.len() as u64 / CLAIM_COUNTS[1]
    );
    Ok(())
}

/// Runs all measurements of the log and prints the results.
pub(crate) fn run() -> Result<(), LogError> {
    measure_claims()?;
    let dir = tempfile::tempdir()?;
    let sync = measure_sync(dir.path())?;
    println!(
        "plain write and sync: p50 {} us, p99 {} us",
        sync.value_at_quantile(0.5),
        sync.value_at_quantile(0.99)
    );
    for batch in BATCHES {
        let (times, rate) = measure_commits(&dir.path().join(format!("batch-{batch}")), batch)?;
        println!(
            "{REPLICAS} replicas, {batch} claims at a time: p50 {} us, p99 {} us, {rate:.0} claims a second",
            times.value_at_quantile(0.5),
            times.value_at_quantile(0.99),
        );
    }
    for entries in RECOVERY_ENTRIES {
        let time = measure_recovery(&dir.path().join(format!("recovery-{entries}")), entries)?;
        println!("recovery of {entries} entries: {} ms", time.as_millis());
    }
    Ok(())
}
