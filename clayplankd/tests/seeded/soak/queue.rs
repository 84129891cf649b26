//! Bursts of prompts beyond the slots of the engines, in runs whose hosts have an admission queue.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant, SystemTime};

use clayplank_placement::EngineModel;
use clayplank_standin::SharedSignals;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use serde_json::Value;

use super::callers::ANSWER_TIMEOUT;
use super::checks::{Span, is_calm};
use super::record::{Kind, ObservedRequest};
use super::run::Shared;
use super::schedule::ENTRIES;
use crate::client::{PersistentConnection, head};
use crate::guarantees::{plan_with_engines, report};
use crate::host::Host;
use crate::queued::{SLOTS, enable_queue, wait_for_prompts};
use crate::signals::HOST_HEADER;
use crate::system::System;

/// Slots that the engines themselves enforce. With as few as in the plan, they would refuse excess
/// prompts, which hides that too many were placed.
const ENFORCED_SLOTS: u32 = 64;

/// A prompt whose caller left ends at its engine only after the host has noticed.
const EXCESS_TIME: Duration = Duration::from_millis(200);

/// Longest time that a prompt takes at a busy engine, in s.
const PROMPT_TIME_S: f64 = 3.0;

const DEADLINE: Duration = Duration::from_secs(9);

/// Time in which queue entries and appointments end once callers have stopped.
const DRAIN_TIME: Duration = Duration::from_secs(5);

/// The engines of a run, and the times at which one ran more prompts than it has slots.
pub struct Queue {
    engines: [SocketAddr; 2],
    signals: SharedSignals,
    excesses: Mutex<Vec<(Instant, f64, u64)>>,
}

pub fn queue_plan(version: u64) -> Value {
    plan_with_engines(version, &EngineModel { slots: SLOTS, ..EngineModel::default() })
}

impl Queue {
    /// Starts the engines, and the entry hosts again with a queue, in half of the runs. Draws from
    /// its own generator, so that the schedules of earlier seeds remain.
    pub fn draw(system: &mut System, seed: u64) -> Option<Self> {
        if SmallRng::seed_from_u64(seed ^ 0x0051_0000).random_bool(0.5) {
            return None;
        }
        enable_queue(system);
        let signals = SharedSignals::default();
        let engines = [51, 52].map(|last| {
            let model = EngineModel { slots: ENFORCED_SLOTS, ..EngineModel::default() };
            system.start_engine_with(&format!("e{last}"), last, model, signals.clone())
        });
        system.wait_for_plan(&queue_plan(2));
        wait_for_prompts(system);
        Some(Self { engines, signals, excesses: Mutex::default() })
    }

    /// Number of times that engines received a prompt.
    pub fn count(&self, attempt: &str) -> usize {
        self.signals.received().iter().filter(|received| received.host == attempt).count()
    }

    /// Sends bursts of prompts until the run is finished.
    pub fn run_bursts(shared: &Shared, seed: u64) {
        let mut rng = SmallRng::seed_from_u64(seed ^ 0x0051_0001);
        std::thread::scope(|scope| {
            for burst in (0_u64..).take_while(|_| !shared.is_finished.load(Ordering::SeqCst)) {
                let entry = rng.random_range(0..ENTRIES);
                for number in 0..rng.random_range(6..16) {
                    let name = format!("prompt-{seed}-{burst}-{number}");
                    let rng = SmallRng::seed_from_u64(rng.random());
                    scope.spawn(move || send_prompt(shared, entry, &name, rng));
                }
                std::thread::sleep(Duration::from_millis(rng.random_range(300..1_500)));
            }
        });
    }

    /// Records when engines run more prompts than they have slots for longer than `EXCESS_TIME`.
    pub fn run_watch(&self, shared: &Shared) {
        let mut since = [None; 2];
        while !shared.is_finished.load(Ordering::SeqCst) {
            for (address, since) in self.engines.iter().zip(&mut since) {
                let running = report(*address)["running"].as_u64().unwrap();
                let now = Instant::now();
                if running <= u64::from(SLOTS) {
                    *since = None;
                } else if now - *since.get_or_insert(now) > EXCESS_TIME {
                    let time = SystemTime::UNIX_EPOCH.elapsed().unwrap().as_secs_f64();
                    self.excesses.lock().unwrap().push((now, time % 86_400.0, running));
                }
            }
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// Checks that engines ran no more prompts than they have slots, and those that hosts placed
    /// by themselves. Amid faults, a former and a new leader may each fill the slots.
    pub fn check_slots(&self, hosts: &[Host], spans: &[Span]) -> Option<String> {
        let times = |host: &Host| host.times("Chooses engines by itself");
        let alone: Vec<_> = hosts.iter().flat_map(times).collect();
        let excesses = self.excesses.lock().unwrap();
        let wrong = excesses.iter().filter_map(|(at, time, running)| {
            let by_keepers = if is_calm(spans, *at, *at) { SLOTS } else { 2 * SLOTS };
            let recent = |one: &&f64| (time - PROMPT_TIME_S..=*time).contains(*one);
            let alone = alone.iter().filter(recent).count();
            (*running > u64::from(by_keepers) + alone as u64).then_some((running, time, alone))
        });
        let most = wrong.max_by_key(|(running, ..)| **running)?;
        Some(format!("engines ran too many (prompts, second of the day, alone): {most:?}"))
    }
}

/// Keepers whose queue or appointments do not end after the callers have stopped.
pub fn check_drained(system: &Mutex<System>) -> Vec<String> {
    let system = system.lock().unwrap();
    let stopped_at = Instant::now();
    let is_left = |keeper: &&Host| {
        let text = keeper.metrics();
        let is_zero = |name| text.contains(&format!("clayplank_keeper_{name} 0\n"));
        !is_zero("queued") || !is_zero("open_appointments")
    };
    let mut left: Vec<_> = system.keepers.iter().collect();
    while !left.is_empty() && stopped_at.elapsed() < DRAIN_TIME {
        left.retain(is_left);
        std::thread::sleep(Duration::from_millis(50));
    }
    left.iter().map(|keeper| format!("{} did not empty its queue", keeper.ip)).collect()
}

/// Prompts that got no answer before their deadline, outside the periods in which their host was
/// disturbed; and the number of prompts by status.
pub fn check_prompts(
    observed: &[ObservedRequest],
    spans: impl Fn(usize) -> Vec<Span>,
) -> (Vec<String>, BTreeMap<u16, usize>) {
    let (mut silent, mut statuses) = (Vec::new(), BTreeMap::new());
    for one in observed.iter().filter(|one| one.attempt.starts_with("prompt-")) {
        let status = one.answer.as_ref().map_or(0, |answer| answer.status);
        *statuses.entry(status).or_default() += 1;
        let is_silent = [0, 504].contains(&status) && one.requested_fault.is_none();
        if is_silent && is_calm(&spans(one.entry), one.sent_at, one.ended_at) {
            let (attempt, took) = (&one.attempt, one.ended_at - one.sent_at);
            silent.push(format!("{attempt} at {} got {status} after {took:?}", one.entry));
        }
    }
    (silent, statuses)
}

/// Sends a prompt, and some again after refusals. Some callers leave while they wait.
fn send_prompt(shared: &Shared, entry: usize, name: &str, mut rng: SmallRng) {
    let started_at = Instant::now();
    let address = shared.system.lock().unwrap().entries[entry].callers();
    let events = rng.random_range(4..24);
    let tokens = events * u64::from(EngineModel::default().steps_per_event);
    // Pause after a refusal, in retry times.
    let pause = [Some(1.0), Some(1.0), Some(0.0), None][rng.random_range(0..4)];
    let leaves = rng.random_range(0..6) == 0;
    let patience = Duration::from_millis(rng.random_range(50..1_500));
    let timeout = if leaves { patience } else { ANSWER_TIMEOUT };
    for number in 0..3 {
        let attempt = format!("{name}-{number}");
        let sent_at = Instant::now();
        let deadline_ms = DEADLINE.saturating_sub(sent_at - started_at).as_millis() as u64;
        let headers = format!("x-clayplank-tokens: 2000,{tokens}\r\n{HOST_HEADER}: {attempt}\r\n");
        let head = head(&attempt, "/prompt/x", deadline_ms.into(), &headers, name);
        let answer = PersistentConnection::new(address, timeout).send(&head, name).ok();
        let refused = answer.as_ref().filter(|answer| answer.status == 503);
        let retry_s = refused.and_then(|answer| answer.header("retry-after")?.parse::<f64>().ok());
        shared.record.push(ObservedRequest {
            attempt,
            kind: Kind::Stream { events },
            entry,
            sent_at,
            ended_at: Instant::now(),
            deadline: sent_at + Duration::from_millis(deadline_ms),
            requested_fault: leaves.then_some("leave"),
            answer,
        });
        let (Some(retry_s), Some(pause)) = (retry_s, pause) else { return };
        let pause = Duration::from_secs_f64(retry_s * pause);
        if started_at.elapsed() + pause > DEADLINE {
            return;
        }
        std::thread::sleep(pause);
    }
}
