//! Upstreams with a request rate limit that applies to all hosts together.

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use clayplank_placement::EngineModel;
use clayplank_standin::SharedLimit;
use rstest::rstest;
use serde_json::{Value, json};

use crate::answer::Answer;
use crate::failover::leader;
use crate::guarantees::plan_with_engines;
use crate::host::Host;
use crate::system::{LIMITED_SERVICE, System, Topology, wait_for};

/// Entry hosts.
const ENTRIES: usize = 4;

/// Limit, in requests per second, of an upstream under pressure.
const LIMIT_PER_S: f64 = 1.0;

/// Within this time all hosts must have received a limit.
const PROPAGATION_TIME: Duration = Duration::from_secs(3);

/// Length of the time window in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// Time during which requests are sent after `PROPAGATION_TIME`.
const RUN: Duration = Duration::from_secs(9);

/// Time during which requests are sent before a limit is set.
const WARM_UP: Duration = Duration::from_secs(2);

/// Callers per entry host, and the pause of each between two requests (24 requests per second in
/// total).
const CALLERS: usize = 2;
const PAUSE: Duration = Duration::from_millis(330);

/// Maximum number of requests from all hosts within one window: 1.5 times what the
/// limit allows, plus 5.
pub fn max_allowed(limit_per_s: f64) -> usize {
    (1.5 * limit_per_s * WINDOW.as_secs_f64() + 5.0) as usize
}

/// Maximum number of arrivals within one window, counted from `since` on if given.
pub fn max_in_window(limit: &SharedLimit, since: Option<Instant>) -> usize {
    let mut arrivals = limit.arrivals();
    arrivals.retain(|at| since.is_none_or(|since| *at >= since));
    let within = |(first, from): (usize, &Instant)| {
        arrivals[first..].iter().take_while(|at| **at < *from + WINDOW).count()
    };
    arrivals.iter().enumerate().map(within).max().unwrap_or_default()
}

/// Kind of the upstreams that serve the requests of a test.
#[derive(Clone, Copy, Debug)]
enum UpstreamKind {
    Engines,
    Service,
}

impl UpstreamKind {
    fn path(self) -> &'static str {
        match self {
            Self::Engines => "/prompt/x",
            Self::Service => "/repeatable/x",
        }
    }
}

fn limited_plan() -> Value {
    let mut plan = plan_with_engines(2, &EngineModel::default());
    plan["routes"][0]["targets"] = json!([{ "service": LIMITED_SERVICE, "weight": 1 }]);
    plan
}

/// A system with four upstreams that can set a limit.
struct LimitedSystem {
    system: System,
    kind: UpstreamKind,
    limits: Vec<SharedLimit>,
}

impl LimitedSystem {
    fn start(kind: UpstreamKind) -> Self {
        let system = System::start_with(Topology { entries: ENTRIES, ..Topology::default() });
        let limits: Vec<_> = (0..4).map(|_| SharedLimit::default()).collect();
        for (number, limit) in (1_u8..).zip(&limits) {
            let (id, last) = (format!("l{number}"), 30 + number);
            match kind {
                UpstreamKind::Engines => {
                    let model = EngineModel::default();
                    system.start_limited_engine(&id, last, model, limit.clone());
                }
                UpstreamKind::Service => {
                    system.start_limited_service(LIMITED_SERVICE, &id, last, limit.clone());
                }
            }
        }
        system.wait_for_plan(&limited_plan());
        let limited = Self { system, kind, limits };
        for entry in 0..ENTRIES {
            let mut number = 0;
            wait_for("an answer at each host", || {
                number += 1;
                limited.is_served(entry, &format!("first-{entry}-{number}"))
            });
        }
        limited
    }

    fn is_served(&self, entry: usize, attempt: &str) -> bool {
        let answer = self.request(entry, attempt);
        answer.status == 200 && answer.is_complete
    }

    fn request(&self, entry: usize, attempt: &str) -> Answer {
        let headers = [("x-clayplank-tokens", "2000,90")];
        self.system.send(entry, attempt, self.kind.path(), &headers)
    }

    /// Requests to upstreams with a limit, as logged by each host: their number, with the number of
    /// first attempts in parentheses.
    fn logged_sends(&self) -> String {
        let of_host = |host: &Host| {
            let lines = host.lines("Sends to an upstream with a limit");
            let first = lines.iter().filter(|line| line["sent"] == 1).count();
            format!("{} ({first})", lines.len())
        };
        self.system.entries.iter().map(of_host).collect::<Vec<_>>().join(", ")
    }

    /// Runs callers at all hosts concurrently with `main`; returns the numbers of served and sent
    /// requests.
    fn run_with_callers(&self, main: impl FnOnce()) -> (usize, usize) {
        let is_finished = AtomicBool::new(false);
        let call_on = |entry: usize, caller: usize| {
            let (mut served, mut sent) = (0, 0);
            while !is_finished.load(Ordering::SeqCst) {
                sent += 1;
                served += usize::from(self.is_served(entry, &format!("{entry}-{caller}-{sent}")));
                std::thread::sleep(PAUSE);
            }
            (served, sent)
        };
        std::thread::scope(|scope| {
            let callers = (0..ENTRIES).flat_map(|entry| (0..CALLERS).map(move |one| (entry, one)));
            let threads: Vec<_> = callers
                .map(|(entry, caller)| scope.spawn(move || call_on(entry, caller)))
                .collect();
            main();
            is_finished.store(true, Ordering::SeqCst);
            let counts = threads.into_iter().map(|thread| thread.join().unwrap());
            counts.fold((0, 0), |(served, sent), (more, of)| (served + more, sent + of))
        })
    }
}

/// The upstream with the most requests so far.
fn busiest(limits: &[SharedLimit]) -> &SharedLimit {
    limits.iter().max_by_key(|limit| limit.arrivals().len()).unwrap()
}

/// Sets a limit at the busiest upstream after the warm-up; returns it and the instant by which all
/// hosts must know the limit.
fn limit_busiest(limits: &[SharedLimit]) -> (&SharedLimit, Instant) {
    std::thread::sleep(WARM_UP);
    let limit = busiest(limits);
    limit.set(Some(LIMIT_PER_S));
    (limit, Instant::now() + PROPAGATION_TIME)
}

/// Guards against hosts that each use a limit in full: an upstream with a limit of one request per
/// second received 26 requests within four seconds.
#[rstest]
#[case::engines(UpstreamKind::Engines)]
#[case::service(UpstreamKind::Service)]
fn hosts_told_of_a_limit_stay_below_it_together(#[case] kind: UpstreamKind) {
    let limited = LimitedSystem::start(kind);
    let mut max = 0;
    let (served, sent) = limited.run_with_callers(|| {
        let (limit, since) = limit_busiest(&limited.limits);
        std::thread::sleep(PROPAGATION_TIME + RUN);
        max = max_in_window(limit, Some(since));
    });
    println!("{}", limited.logged_sends());
    println!(
        "{max} requests in a window, {} allowed; {served} of {sent} served",
        max_allowed(LIMIT_PER_S)
    );
    assert!(max <= max_allowed(LIMIT_PER_S), "{max} requests in a window of {WINDOW:?}");
    assert!(
        served * 100 >= sent * 98,
        "{served} of {sent} were served, with free capacity at other upstreams"
    );
}

/// The leader is killed while an upstream has a limit, which the next leader must know.
#[rstest]
#[case::engines(UpstreamKind::Engines)]
#[case::service(UpstreamKind::Service)]
fn a_limit_survives_a_change_of_leader(#[case] kind: UpstreamKind) {
    let mut limited = LimitedSystem::start(kind);
    let first = leader(&limited.system);
    let mut max = 0;
    let (served, sent) = limited.run_with_callers(|| {
        let (limit, since) = limit_busiest(&limited.limits);
        std::thread::sleep(PROPAGATION_TIME);
        limited.system.keepers[first].signal("-KILL");
        std::thread::sleep(RUN);
        max = max_in_window(limit, Some(since));
    });
    println!(
        "{max} requests in a window, {} allowed; {served} of {sent} served",
        max_allowed(LIMIT_PER_S)
    );
    limited.system.keepers[first].kill();
    assert!(max <= max_allowed(LIMIT_PER_S), "{max} requests in a window of {WINDOW:?}");
    assert!(served * 10 >= sent * 9, "{served} of {sent} were served");
}

/// All upstreams have a limit far below the request rate. Their capacity is used, and excess
/// requests are refused immediately with a `retry-after` time.
#[rstest]
#[case::engines(UpstreamKind::Engines)]
#[case::service(UpstreamKind::Service)]
fn the_capacity_of_upstreams_with_a_limit_is_used(#[case] kind: UpstreamKind) {
    const EACH_LIMIT_PER_S: f64 = 2.0;
    let limited = LimitedSystem::start(kind);
    let mut max = Vec::new();
    let mut refused = Answer::default();
    let (served, sent) = limited.run_with_callers(|| {
        std::thread::sleep(WARM_UP);
        limited.limits.iter().for_each(|limit| limit.set(Some(EACH_LIMIT_PER_S)));
        let since = Instant::now() + PROPAGATION_TIME;
        std::thread::sleep(PROPAGATION_TIME);
        let mut number = 0;
        wait_for("a refusal", || {
            number += 1;
            refused = limited.request(0, &format!("refused-{number}"));
            refused.status != 200
        });
        std::thread::sleep(RUN);
        max = limited.limits.iter().map(|limit| max_in_window(limit, Some(since))).collect();
    });
    let run_s = (PROPAGATION_TIME + RUN).as_secs_f64();
    let capacity = EACH_LIMIT_PER_S * limited.limits.len() as f64 * run_s;
    println!("{max:?} requests in a window; {served} of {sent} served, capacity for {capacity}");
    assert!(
        max.iter().all(|max| *max <= max_allowed(EACH_LIMIT_PER_S)),
        "{max:?} requests in a window"
    );
    assert!(served as f64 > capacity / 2.0, "{served} served, capacity for {capacity}");
    assert_eq!(refused.status, 503, "{}", refused.text());
    assert!(refused.header("retry-after").is_some());
}

#[rstest]
#[case::engines(UpstreamKind::Engines)]
#[case::service(UpstreamKind::Service)]
fn a_removed_limit_no_longer_applies(#[case] kind: UpstreamKind) {
    const CONSECUTIVE_SERVED: usize = 40;
    let limited = LimitedSystem::start(kind);
    limited.limits.iter().for_each(|limit| limit.set(Some(LIMIT_PER_S)));
    limited.run_with_callers(|| std::thread::sleep(PROPAGATION_TIME));
    limited.limits.iter().for_each(|limit| limit.set(None));
    let (mut number, mut streak) = (0, 0);
    wait_for("requests that are all served", || {
        number += 1;
        let is_served = limited.is_served(number % ENTRIES, &format!("after-{number}"));
        streak = if is_served { streak + 1 } else { 0 };
        streak >= CONSECUTIVE_SERVED
    });
}
