//! The placement of prompts against engines of the published cost model.
//!
//! The mix swings as the users' days do: for eleven seconds long prompts come at
//! 2.8 times their mean, then short ones at 2.45 times theirs. Nothing fails and
//! nothing is sent: what is measured is the decision alone.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use clayplank_placement::{Ask, EngineModel, EngineSpec, Event, Fleet, Placed, PlacementId};
use clayplank_standin::{PassEngine, Reading, Writing};
use clayplank_types::{DataCentre, UpstreamId};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

/// Engines of the fleet.
const ENGINES: usize = 18;

/// Length of a run, in ms, and of a phase of the mix.
const RUN_MS: f64 = 34_000.0;
const PHASE_MS: f64 = 11_000.0;

/// Worth is also told by windows of arrival: their length, in ms, and how many a run has.
const WINDOW_MS: f64 = 2_000.0;
const WINDOWS: usize = 17;

/// From an event at an engine until the placement knows of it, in ms.
const NEWS_MS: f64 = 20.0;

/// Tokens of an event.
const EVENT_TOKENS: f64 = 46.0;

/// Slow engines of a run with trouble: how many, how slow, and from when until when, in ms.
const SLOW_ENGINES: usize = 3;
const SLOW_PACE: f64 = 5.0;
const SLOW_MS: std::ops::Range<f64> = 4_000.0..14_000.0;

/// Between two looks at which engines are late, and until one has told its pace, in ms.
const LOOK_MS: f64 = 100.0;
const TELL_MS: f64 = 5.0;

/// How old the pace is that an engine tells, in ms.
const REPORT_LAG_MS: f64 = 200.0;

/// How often a refused request comes back, after what it was told.
const RETRIES: u32 = 1;

/// One kind of prompt, with its worth as the users' sheet gives it.
struct Kind {
    name: &'static str,
    per_s: f64,
    /// Factors of the rate in the long phase and in the short one.
    swing: [f64; 2],
    mean_tokens: f64,
    spread: f64,
    max_tokens: f64,
    mean_events: f64,
    goal_ms: f64,
    pause_goal_ms: f64,
    limit_ms: f64,
    time_ms: f64,
    worth: f64,
    late_worth: f64,
}

const KINDS: [Kind; 3] = [
    Kind {
        name: "short",
        per_s: 33.5,
        swing: [0.34, 2.45],
        mean_tokens: 4_960.0,
        spread: 0.9,
        max_tokens: 23_800.0,
        mean_events: 35.0,
        goal_ms: 300.0,
        pause_goal_ms: 200.0,
        limit_ms: 2_000.0,
        time_ms: 10_000.0,
        worth: 1.3,
        late_worth: 0.33,
    },
    Kind {
        name: "medium",
        per_s: 2.43,
        swing: [1.3, 0.5],
        mean_tokens: 45_000.0,
        spread: 0.5,
        max_tokens: 110_000.0,
        mean_events: 21.0,
        goal_ms: 1_500.0,
        pause_goal_ms: 500.0,
        limit_ms: 6_000.0,
        time_ms: 10_000.0,
        worth: 3.1,
        late_worth: 0.79,
    },
    Kind {
        name: "long",
        per_s: 1.01,
        swing: [2.8, 0.05],
        mean_tokens: 210_000.0,
        spread: 0.55,
        max_tokens: 1_000_000.0,
        mean_events: 17.0,
        goal_ms: 3_000.0,
        pause_goal_ms: 800.0,
        limit_ms: 12_000.0,
        time_ms: 15_000.0,
        worth: 22.0,
        late_worth: 5.4,
    },
];

/// One prompt, and what became of it.
#[derive(Clone, Debug)]
struct Request {
    kind: usize,
    arrives_ms: f64,
    tokens: f64,
    events: u32,
    retries: u32,
    engine: usize,
    sent_ms: f64,
    parts_left: usize,
    events_left: u32,
    last_event_ms: Option<f64>,
    first_ms: Option<f64>,
    longest_pause_ms: f64,
    is_done: bool,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Happening {
    Arrival(usize),
    PassEnd(usize),
    News(usize, Event),
    /// Late engines are asked for their pace.
    Look,
    Told(usize),
}

/// What is wrong with the engines, and what is known of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Trouble {
    None,
    /// Some are slow; that is learned from their answers alone.
    Slow,
    /// Some are slow, and tell so when they are asked.
    SlowAndAsked,
}

impl Trouble {
    /// How many times longer an engine's work takes.
    fn pace(self, engine: usize, now_ms: f64) -> f64 {
        let is_slow = self != Self::None && engine < SLOW_ENGINES && SLOW_MS.contains(&now_ms);
        if is_slow { SLOW_PACE } else { 1.0 }
    }
}

/// Ordered by time, then by when it was planned.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Planned {
    at_ms: f64,
    number: u64,
    happening: Happening,
}

impl Eq for Planned {}

impl Ord for Planned {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.at_ms.total_cmp(&other.at_ms).then(self.number.cmp(&other.number))
    }
}

impl PartialOrd for Planned {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

struct World {
    fleet: Fleet,
    engines: Vec<PassEngine>,
    requests: Vec<Request>,
    planned: BinaryHeap<Reverse<Planned>>,
    count: u64,
    refused: u64,
    trouble: Trouble,
}

fn engine_name(engine: usize) -> UpstreamId {
    UpstreamId::new(format!("engine-{engine:02}"))
}

impl World {
    fn new(requests: Vec<Request>, trouble: Trouble) -> Self {
        let model = EngineModel::default();
        let mut fleet = Fleet::default();
        for engine in 0..ENGINES {
            let spec = EngineSpec {
                pool: "main".to_owned(),
                data_centre: DataCentre::new("a"),
                model: model.clone(),
            };
            fleet.set_engine(engine_name(engine), spec, true);
        }
        let engines = vec![PassEngine::new(model); ENGINES];
        let mut world = Self {
            fleet,
            engines,
            requests,
            planned: BinaryHeap::new(),
            count: 0,
            refused: 0,
            trouble,
        };
        for request in 0..world.requests.len() {
            world.plan(world.requests[request].arrives_ms, Happening::Arrival(request));
        }
        if trouble == Trouble::SlowAndAsked {
            world.plan(0.0, Happening::Look);
        }
        world
    }

    fn plan(&mut self, at_ms: f64, happening: Happening) {
        self.count += 1;
        self.planned.push(Reverse(Planned { at_ms, number: self.count, happening }));
    }

    fn run(&mut self) {
        while let Some(Reverse(next)) = self.planned.pop() {
            match next.happening {
                Happening::Arrival(request) => self.place(next.at_ms, request),
                Happening::PassEnd(engine) => self.end_pass(next.at_ms, engine),
                Happening::News(request, event) => {
                    let id = PlacementId { host: 1, number: request as u64 };
                    self.fleet.note(next.at_ms, id, event);
                }
                Happening::Look => self.look(next.at_ms),
                Happening::Told(engine) => {
                    let pace = self.trouble.pace(engine, next.at_ms - REPORT_LAG_MS);
                    self.fleet.note_pace(next.at_ms, &engine_name(engine), pace);
                }
            }
        }
    }

    fn look(&mut self, now_ms: f64) {
        let suspects = self.fleet.take_suspects(now_ms);
        for engine in (0..ENGINES).filter(|&engine| suspects.contains(&engine_name(engine))) {
            self.plan(now_ms + TELL_MS, Happening::Told(engine));
        }
        if now_ms < RUN_MS {
            self.plan(now_ms + LOOK_MS, Happening::Look);
        }
    }

    fn place(&mut self, now_ms: f64, number: usize) {
        let request = &self.requests[number];
        let kind = &KINDS[request.kind];
        let id = PlacementId { host: 1, number: number as u64 };
        let mut ask = Ask::new(id, "main", request.tokens as u64, kind.goal_ms);
        ask.output_tokens = (f64::from(request.events) * EVENT_TOKENS) as u64;
        ask.pause_goal_ms = kind.pause_goal_ms;
        ask.limit_ms = kind.limit_ms;
        ask.data_centre = DataCentre::new("a");
        ask.is_returning = request.retries > 0;
        match self.fleet.place(now_ms, &ask) {
            Placed::At(assignment) => {
                let names: Vec<_> = std::iter::once(assignment.engine)
                    .chain(assignment.helpers.into_iter().map(|part| part.engine))
                    .collect();
                self.begin(now_ms, number, &names);
            }
            Placed::Full { retry_after_ms } => {
                self.refused += 1;
                if self.requests[number].retries < RETRIES {
                    let back_ms = now_ms + (retry_after_ms as f64).min(kind.time_ms / 3.0);
                    self.requests[number].retries += 1;
                    self.requests[number].arrives_ms = back_ms;
                    self.plan(back_ms, Happening::Arrival(number));
                }
            }
        }
    }

    fn begin(&mut self, now_ms: f64, number: usize, names: &[UpstreamId]) {
        let engines: Vec<_> =
            (0..ENGINES).filter(|&engine| names.contains(&engine_name(engine))).collect();
        let first = (0..ENGINES).find(|&engine| engine_name(engine) == names[0]);
        let request = &mut self.requests[number];
        request.engine = first.unwrap_or_default();
        request.sent_ms = now_ms;
        request.parts_left = engines.len();
        request.events_left = request.events;
        let (tokens, parts) = (request.tokens, engines.len());
        for engine in engines {
            let reading = Reading::part(&EngineModel::default(), number, tokens, parts);
            self.engines[engine].read(reading);
            self.start_pass(now_ms, engine);
        }
    }

    fn start_pass(&mut self, now_ms: f64, engine: usize) {
        if !self.engines[engine].is_resting() {
            return;
        }
        if let Some(span_ms) = self.engines[engine].start_pass() {
            let span_ms = span_ms * self.trouble.pace(engine, now_ms);
            self.plan(now_ms + span_ms, Happening::PassEnd(engine));
        }
    }

    fn end_pass(&mut self, now_ms: f64, engine: usize) {
        let end = self.engines[engine].end_pass();
        for number in end.written {
            self.write_event(now_ms, number);
        }
        for number in end.read {
            let request = &mut self.requests[number];
            request.parts_left -= 1;
            if request.parts_left > 0 {
                continue;
            }
            let writing = Writing { request: number, context_tokens: request.tokens };
            let primary = request.engine;
            self.engines[primary].write(writing);
            if primary == engine && end.is_long {
                self.write_event(now_ms, number);
            }
            self.start_pass(now_ms, primary);
        }
        self.start_pass(now_ms, engine);
    }

    fn write_event(&mut self, now_ms: f64, number: usize) {
        let request = &mut self.requests[number];
        let arrives_ms = request.arrives_ms;
        match request.last_event_ms {
            Some(last_ms) => {
                request.longest_pause_ms = request.longest_pause_ms.max(now_ms - last_ms);
            }
            None => {
                request.first_ms = Some(now_ms - arrives_ms);
                let took_ms = now_ms - request.sent_ms;
                self.plan(now_ms + NEWS_MS, Happening::News(number, Event::Started { took_ms }));
            }
        }
        let request = &mut self.requests[number];
        request.last_event_ms = Some(now_ms);
        request.events_left -= 1;
        if request.events_left == 0 {
            request.is_done = true;
            let engine = request.engine;
            self.engines[engine].end(number);
            self.plan(now_ms + NEWS_MS, Happening::News(number, Event::Ended));
        }
    }
}

/// A standard normal draw (Box and Muller, 1958).
fn draw_normal(rng: &mut SmallRng) -> f64 {
    let radius = (-2.0 * (1.0 - rng.random::<f64>()).ln()).sqrt();
    radius * (std::f64::consts::TAU * rng.random::<f64>()).cos()
}

fn draw_requests(seed: u64, load: f64) -> Vec<Request> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut requests = Vec::new();
    for (kind, facts) in KINDS.iter().enumerate() {
        let mut at_ms = 0.0;
        loop {
            let phase = (at_ms / PHASE_MS) as usize % 2;
            let per_ms = facts.per_s * facts.swing[phase] * load / 1e3;
            at_ms += -(1.0 - rng.random::<f64>()).ln() / per_ms;
            if at_ms > RUN_MS {
                break;
            }
            let scale = (facts.spread * draw_normal(&mut rng) - facts.spread.powi(2) / 2.0).exp();
            let events = facts.mean_events * (0.6 * draw_normal(&mut rng) - 0.18).exp();
            requests.push(Request {
                kind,
                arrives_ms: at_ms,
                tokens: (facts.mean_tokens * scale).clamp(200.0, facts.max_tokens),
                events: events.clamp(1.0, 2.5 * facts.mean_events) as u32,
                retries: 0,
                engine: 0,
                sent_ms: 0.0,
                parts_left: 0,
                events_left: 0,
                last_event_ms: None,
                first_ms: None,
                longest_pause_ms: 0.0,
                is_done: false,
            });
        }
    }
    requests
}

/// Worth earned and owed, of a kind or of all.
#[derive(Clone, Copy, Debug, Default)]
struct Account {
    earned: f64,
    owed: f64,
}

impl Account {
    fn share(self) -> f64 {
        self.earned / self.owed.max(1e-9)
    }
}

fn settle(request: &Request) -> (f64, f64) {
    let kind = &KINDS[request.kind];
    let size = request.tokens + 10.0 * f64::from(request.events) * EVENT_TOKENS;
    let mean = kind.mean_tokens + 10.0 * kind.mean_events * EVENT_TOKENS;
    let factor = (0.3 + 0.7 * size / mean).min(4.0);
    let is_in_time = request.first_ms.is_some_and(|first_ms| first_ms <= kind.goal_ms)
        && request.longest_pause_ms <= kind.pause_goal_ms;
    let is_waited_for = request.first_ms.is_some_and(|first_ms| first_ms <= kind.limit_ms);
    let earned = match (request.is_done && is_waited_for, is_in_time) {
        // One that came back in time earns the mean.
        (true, true) if request.retries > 0 => (kind.worth + kind.late_worth) / 2.0,
        (true, true) => kind.worth,
        (true, false) => kind.late_worth,
        (false, _) => 0.0,
    };
    (earned * factor, kind.worth * factor)
}

/// Prompts above this many tokens are told apart: the engines' memory holds no longer ones.
const LONGEST_TOKENS: f64 = 430_000.0;

/// Why a request earned less than its worth.
const CAUSES: [&str; 4] = ["in time", "first event late", "pause too long", "not served"];

fn late_cause(request: &Request) -> usize {
    let kind = &KINDS[request.kind];
    match request.first_ms {
        _ if !request.is_done => 3,
        None => 3,
        Some(first_ms) if first_ms > kind.limit_ms => 3,
        Some(first_ms) if first_ms > kind.goal_ms => 1,
        Some(_) if request.longest_pause_ms > kind.pause_goal_ms => 2,
        Some(_) => 0,
    }
}

/// Prints the share of worth that is earned, by kind, over seeds.
pub(crate) fn run(first_seed: u64, seeds: u64) {
    println!("load  seeds  whole  short  medium  long  worst 2 s  refused");
    for load in [1.0, 1.2, 1.4] {
        Tally::of(first_seed..first_seed + seeds, load, Trouble::None).print(load, seeds);
    }
    println!("three slow engines, learned from answers alone, then asked as well:");
    for trouble in [Trouble::Slow, Trouble::SlowAndAsked] {
        Tally::of(first_seed..first_seed + seeds, 1.0, trouble).print(1.0, seeds);
    }
    let names: Vec<_> = KINDS.iter().map(|kind| kind.name).collect();
    println!("kinds in order: {}", names.join(", "));
}

/// What the runs of several seeds came to.
#[derive(Default)]
struct Tally {
    whole: Account,
    kinds: [Account; KINDS.len()],
    /// Mean of the two worst windows, summed over the seeds.
    worst: f64,
    refused: u64,
    longest: Account,
    causes: [[u64; CAUSES.len()]; KINDS.len()],
}

impl Tally {
    fn of(seeds: std::ops::Range<u64>, load: f64, trouble: Trouble) -> Self {
        let mut tally = Self::default();
        for seed in seeds {
            let mut world = World::new(draw_requests(seed, load), trouble);
            world.run();
            tally.add(&world);
        }
        tally
    }

    fn add(&mut self, world: &World) {
        let mut windows = [Account::default(); WINDOWS];
        for request in &world.requests {
            self.causes[request.kind][late_cause(request)] += 1;
            let (earned, owed) = settle(request);
            if request.tokens > LONGEST_TOKENS {
                self.longest.owed += 1.0;
                self.longest.earned += f64::from(u8::from(earned > 0.0));
            }
            let window = ((request.arrives_ms / WINDOW_MS) as usize).min(WINDOWS - 1);
            for account in [&mut self.whole, &mut self.kinds[request.kind], &mut windows[window]] {
                account.earned += earned;
                account.owed += owed;
            }
        }
        let mut shares: Vec<_> = windows.iter().map(|window| window.share()).collect();
        shares.sort_by(f64::total_cmp);
        self.worst += (shares[0] + shares[1]) / 2.0;
        self.refused += world.refused;
    }

    fn print(&self, load: f64, seeds: u64) {
        let kinds: Vec<_> = self.kinds.iter().map(|kind| format!("{:.3}", kind.share())).collect();
        println!(
            "{load:.1}   {seeds:5}  {:.3}  {}  {:.3}  {}",
            self.whole.share(),
            kinds.join("  "),
            self.worst / seeds as f64,
            self.refused
        );
        println!(
            "      share of the longest prompts, above {LONGEST_TOKENS} tokens, that are served: {:.2}",
            self.longest.share()
        );
        for (kind, counts) in KINDS.iter().zip(self.causes) {
            println!("      {}: {CAUSES:?} {counts:?}", kind.name);
        }
    }
}
