//! The world of the placement bench: engines of the pass model, and what happens when.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use clayplank_placement::{Ask, EngineSpec, Event, Fleet, PASSED_GOAL_MS, Placed, PlacementId};
use clayplank_standin::{PassEngine, Reading, Writing};
use clayplank_types::{DataCentre, UpstreamId};

use crate::placement_requests::{Mix, RUN_MS, Request};

/// From an event at an engine until the placement knows of it, in ms.
const NEWS_MS: f64 = 20.0;

/// Slow engines of a run with trouble: how many, how slow, and from when until when, in ms.
const SLOW_ENGINES: usize = 3;
const SLOW_PACE: f64 = 5.0;
const SLOW_MS: std::ops::Range<f64> = 4_000.0..14_000.0;

/// Requests a second that an engine takes which names a limit, and from when on it does, in ms.
const LIMIT_PER_S: f64 = 1.5;
const LIMITED_FROM_MS: f64 = 4_000.0;

/// Between two looks at which engines are late, and until one has told its pace, in ms.
const LOOK_MS: f64 = 100.0;
const TELL_MS: f64 = 5.0;

/// How old the pace is that an engine tells, in ms.
const REPORT_LAG_MS: f64 = 200.0;

/// How often a refused request comes back, after what it was told.
const RETRIES: u32 = 1;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Happening {
    Arrival(usize),
    PassEnd(usize),
    News(usize, Event),
    /// Late engines are asked for their pace.
    Look,
    Told(usize),
    /// Some engines begin to name a limit.
    Limit,
}

/// What is wrong with the engines, and what is known of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Trouble {
    None,
    /// Some are slow; that is learned from their answers alone.
    Slow,
    /// Some are slow, and tell so when they are asked.
    SlowAndAsked,
    /// So many name a limit.
    Limited(usize),
}

impl Trouble {
    /// How many times longer an engine's work takes.
    fn pace(self, engine: usize, now_ms: f64) -> f64 {
        let is_slow = match self {
            Self::None | Self::Limited(_) => false,
            Self::Slow | Self::SlowAndAsked => engine < SLOW_ENGINES && SLOW_MS.contains(&now_ms),
        };
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

/// The fleet, the engines, and what happens next.
pub(crate) struct World {
    mix: &'static Mix,
    fleet: Fleet,
    engines: Vec<PassEngine>,
    pub(crate) requests: Vec<Request>,
    planned: BinaryHeap<Reverse<Planned>>,
    count: u64,
    /// How often the placement refused one.
    pub(crate) refused: u64,
    trouble: Trouble,
}

fn engine_name(engine: usize) -> UpstreamId {
    UpstreamId::new(format!("engine-{engine:03}"))
}

impl World {
    /// Plays requests to the end.
    pub(crate) fn played(mix: &'static Mix, requests: Vec<Request>, trouble: Trouble) -> Self {
        let mut world = Self::new(mix, requests, trouble);
        world.run();
        world
    }

    fn new(mix: &'static Mix, requests: Vec<Request>, trouble: Trouble) -> Self {
        let model = mix.model.clone();
        let mut fleet = Fleet::default();
        for engine in 0..mix.engines {
            let spec = EngineSpec {
                pool: "main".to_owned(),
                data_centre: DataCentre::new("a"),
                model: model.clone(),
            };
            fleet.set_engine(engine_name(engine), spec, true);
        }
        let engines = vec![PassEngine::new(model); mix.engines];
        let mut world = Self {
            mix,
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
        match trouble {
            Trouble::SlowAndAsked => world.plan(0.0, Happening::Look),
            Trouble::Limited(_) => world.plan(LIMITED_FROM_MS, Happening::Limit),
            Trouble::None | Trouble::Slow => {}
        }
        world
    }

    fn plan(&mut self, at_ms: f64, happening: Happening) {
        self.count += 1;
        self.planned.push(Reverse(Planned { at_ms, number: self.count, happening }));
    }

    /// Plays all that is planned, and what comes of it.
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
                Happening::Limit => self.limit(),
            }
        }
    }

    fn limit(&mut self) {
        let Trouble::Limited(engines) = self.trouble else {
            return;
        };
        for engine in 0..engines {
            self.fleet.set_named_limit(&engine_name(engine), Some(LIMIT_PER_S));
        }
    }

    fn look(&mut self, now_ms: f64) {
        let suspects = self.fleet.take_suspects(now_ms);
        for engine in
            (0..self.mix.engines).filter(|&engine| suspects.contains(&engine_name(engine)))
        {
            self.plan(now_ms + TELL_MS, Happening::Told(engine));
        }
        if now_ms < RUN_MS {
            self.plan(now_ms + LOOK_MS, Happening::Look);
        }
    }

    fn place(&mut self, now_ms: f64, number: usize) {
        let request = &self.requests[number];
        let kind = &self.mix.kinds[request.kind];
        let id = PlacementId { host: 1, number: number as u64 };
        let waited_ms = now_ms - request.arrives_ms;
        let left_ms = (kind.goal_ms - waited_ms).max(PASSED_GOAL_MS);
        let mut ask = Ask::new(id, "main", request.tokens as u64, left_ms);
        ask.output_tokens = (f64::from(request.events) * self.mix.event_tokens()) as u64;
        ask.pause_goal_ms = kind.pause_goal_ms;
        ask.limit_ms = kind.limit_ms;
        ask.waited_ms = waited_ms;
        ask.data_centre = DataCentre::new("a");
        ask.route = kind.name.to_owned();
        ask.route_limit_ms = kind.time_ms;
        ask.sent_limit_ms = kind.time_ms - (request.arrives_ms - request.first_try_ms);
        match self.fleet.place(now_ms, &ask) {
            Placed::At(assignment) => {
                let names: Vec<_> = std::iter::once(assignment.engine)
                    .chain(assignment.helpers.into_iter().map(|part| part.engine))
                    .collect();
                self.begin(now_ms, number, &names);
            }
            Placed::Soon { again_in_ms } => {
                self.plan(now_ms + again_in_ms as f64, Happening::Arrival(number));
            }
            Placed::Full { retry_after_ms } => {
                self.refused += 1;
                self.requests[number].refusals += 1;
                self.requests[number].held_ms += waited_ms;
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
            (0..self.mix.engines).filter(|&engine| names.contains(&engine_name(engine))).collect();
        let first = (0..self.mix.engines).find(|&engine| engine_name(engine) == names[0]);
        let request = &mut self.requests[number];
        request.engine = first.unwrap_or_default();
        request.sent_ms = now_ms;
        request.parts_left = engines.len();
        request.events_left = request.events;
        let (tokens, parts) = (request.tokens, engines.len());
        let model = &self.mix.model;
        for engine in engines {
            let reading = Reading::part(model, number, tokens, parts);
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
        let first_try_ms = request.first_try_ms;
        match request.last_event_ms {
            Some(last_ms) => {
                request.longest_pause_ms = request.longest_pause_ms.max(now_ms - last_ms);
            }
            None => {
                request.first_ms = Some(now_ms - first_try_ms);
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
