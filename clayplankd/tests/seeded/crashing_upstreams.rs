//! Upstreams that terminate together with all running requests, and restart later under a new id.

use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use clayplank_standin::{
    CrashTrigger, CrashingRequest, Registration, SharedRuns, SharedSignals, send_heartbeats,
    serve_upstream,
};
use tokio::sync::mpsc;

use crate::host::{Host, UPSTREAM_PORT};
use crate::system::System;

/// The service of all upstreams that can terminate.
pub const FLEET_SERVICE: &str = "fleet";

/// Body of the request that terminates every upstream that runs it.
pub const CRASHING_BODY: &str = "a prompt that no engine survives";

/// Id of the prompt part that terminates every upstream that begins to answer a prompt with it.
pub const CRASHING_PART: &str = "dead0f";

/// Times from the start of a crashing request to the termination of its upstream, in turn.
const TERMINATION_DELAYS_MS: [u64; 4] = [80, 30, 120, 50];

/// Time from the termination of an upstream to its restart.
const RESTART_DELAY: Duration = Duration::from_millis(1_500);

/// Concurrent requests per upstream.
const SLOTS: u32 = 6;

/// Recorded starts and terminations of a fleet.
#[derive(Debug, Default)]
pub struct FleetEvents {
    /// Times at which the crashing request started at an upstream.
    pub request_starts: Vec<Instant>,
    /// Times at which a prompt with the crashing part did.
    pub part_starts: Vec<Instant>,
    /// Times at which an upstream terminated because of either.
    pub terminations: Vec<Instant>,
}

/// Upstreams that terminate under the crashing request, or when they are killed.
pub struct Fleet {
    events: Arc<Mutex<FleetEvents>>,
    pub runs: SharedRuns,
    is_finished: Arc<AtomicBool>,
    kills: Vec<mpsc::UnboundedSender<()>>,
    threads: Vec<std::thread::JoinHandle<()>>,
}

impl Fleet {
    /// Starts `count` upstreams, which register with all keepers of the system.
    pub fn start(system: &System, count: u8) -> Self {
        let mut fleet = Self {
            events: Arc::default(),
            runs: SharedRuns::default(),
            is_finished: Arc::default(),
            kills: Vec::new(),
            threads: Vec::new(),
        };
        for number in 0..count {
            let (kill, killed) = mpsc::unbounded_channel();
            let member = FleetMember {
                number,
                address: SocketAddr::new(
                    IpAddr::V4(system.upstream_ip(40 + number)),
                    UPSTREAM_PORT,
                ),
                keepers: system.keepers.iter().map(Host::control).collect(),
                events: Arc::clone(&fleet.events),
                runs: fleet.runs.clone(),
                is_finished: Arc::clone(&fleet.is_finished),
            };
            fleet.kills.push(kill);
            fleet.threads.push(std::thread::spawn(move || member.run(killed)));
        }
        fleet
    }

    pub fn events(&self) -> MutexGuard<'_, FleetEvents> {
        self.events.lock().unwrap()
    }

    /// Terminates these upstreams immediately, whatever they run.
    pub fn kill(&self, numbers: impl IntoIterator<Item = usize>) {
        for number in numbers {
            self.kills[number].send(()).ok();
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.is_finished.store(true, Ordering::SeqCst);
        self.kill(0..self.kills.len());
        for thread in self.threads.drain(..) {
            thread.join().ok();
        }
    }
}

/// One upstream of a fleet through all its incarnations.
struct FleetMember {
    number: u8,
    address: SocketAddr,
    keepers: Vec<SocketAddr>,
    events: Arc<Mutex<FleetEvents>>,
    runs: SharedRuns,
    is_finished: Arc<AtomicBool>,
}

impl FleetMember {
    fn run(&self, mut killed: mpsc::UnboundedReceiver<()>) {
        for incarnation in 1_u64.. {
            if self.is_finished.load(Ordering::SeqCst) {
                return;
            }
            let was_terminated_by_request = self.run_incarnation(incarnation, &mut killed);
            if was_terminated_by_request {
                self.events.lock().unwrap().terminations.push(Instant::now());
            }
            std::thread::sleep(RESTART_DELAY);
            // Kills that arrive while the upstream is down have no effect.
            while killed.try_recv().is_ok() {}
        }
    }

    /// Runs one incarnation; returns whether the crashing request terminated it.
    fn run_incarnation(&self, incarnation: u64, killed: &mut mpsc::UnboundedReceiver<()>) -> bool {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()
            .unwrap();
        let (started, mut ends) = mpsc::unbounded_channel();
        let was_terminated_by_request = runtime.block_on(async {
            let listener = clayplank_standin::bind(self.address).await.unwrap();
            let id = format!("fleet-{}-{incarnation}", self.number);
            let crashing = CrashingRequest {
                body: CRASHING_BODY.into(),
                prompt_part: CRASHING_PART.to_owned(),
                started,
            };
            tokio::spawn(serve_upstream(
                listener,
                id.clone(),
                self.runs.clone(),
                Some(crashing),
                SharedSignals::default(),
            ));
            let registration = Registration {
                id,
                service: FLEET_SERVICE.to_owned(),
                address: self.address,
                data_centre: "hall".to_owned(),
                slots: SLOTS,
            };
            let interval = Duration::from_millis(300);
            tokio::spawn(send_heartbeats(registration, self.keepers.clone(), interval));
            let first = tokio::select! {
                first = ends.recv() => first,
                _ = killed.recv() => return false,
            };
            self.record_start(first);
            let delay_ms =
                TERMINATION_DELAYS_MS[incarnation as usize % TERMINATION_DELAYS_MS.len()];
            let end = tokio::time::sleep(Duration::from_millis(delay_ms));
            tokio::pin!(end);
            loop {
                tokio::select! {
                    () = &mut end => return true,
                    next = ends.recv() => self.record_start(next),
                }
            }
        });
        // This closes the sockets: open connections break, and new ones are refused.
        runtime.shutdown_background();
        was_terminated_by_request
    }

    fn record_start(&self, start: Option<CrashTrigger>) {
        let mut events = self.events.lock().unwrap();
        match start {
            Some(CrashTrigger::Body) => events.request_starts.push(Instant::now()),
            Some(CrashTrigger::PromptPart) => events.part_starts.push(Instant::now()),
            None => {}
        }
    }
}
