//! What may be set of a scheduler.

use clayplank_types::EnginePriority;

/// In which order and where requests run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Discipline {
    /// Lanes by length, fair among accounts.
    #[default]
    Current,
    /// Baseline: one queue, the least loaded engine.
    FirstCome,
    /// Baseline: one queue by length of prompt, the least loaded engine.
    ShortestFirst,
}

/// Parts of the current discipline that can be switched off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Mechanisms {
    /// Share the capacity among accounts by weight.
    pub fair_share: bool,
    /// Bound how many engines read long prompts at a time.
    pub heavy_limit: bool,
    /// Let engines read short prompts first.
    pub engine_priority: bool,
    /// Prefer engines that have a prefix cached.
    pub prefix_reuse: bool,
    /// Keep the queue at the owner, not at the engine.
    pub prefill_cap: bool,
    /// Refuse at arrival what is predicted to miss its deadline.
    pub early_refusal: bool,
}

impl Default for Mechanisms {
    fn default() -> Self {
        Self {
            fair_share: true,
            heavy_limit: true,
            engine_priority: true,
            prefix_reuse: true,
            prefill_cap: true,
            early_refusal: true,
        }
    }
}

/// Requests that compete for the same places, by the length of the prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Lane {
    /// One line; read before all else.
    Brief,
    /// Read in well under a second.
    Short,
    /// Read one at a time by an engine, before long ones.
    Medium,
    /// Read one at a time by an engine.
    Long,
    /// Needs the memory of several engines.
    Gang,
}

impl Lane {
    /// Every lane, in the order in which they are served.
    pub const ALL: [Self; 5] = [Self::Brief, Self::Short, Self::Medium, Self::Gang, Self::Long];

    /// The class in which an engine reads prompts of the lane.
    pub fn engine_priority(self) -> EnginePriority {
        EnginePriority(match self {
            Self::Brief => 0,
            Self::Short => 1,
            Self::Medium => 2,
            Self::Long | Self::Gang => 3,
        })
    }

    /// Whether an engine reads prompts of the lane for longer than somebody waits.
    pub(crate) fn is_heavy(self) -> bool {
        match self {
            Self::Brief | Self::Short => false,
            Self::Medium | Self::Long | Self::Gang => true,
        }
    }
}

/// Settings of a scheduler.
#[derive(Clone, Debug, PartialEq)]
pub struct Policy {
    pub(crate) discipline: Discipline,
    pub(crate) mechanisms: Mechanisms,
    pub(crate) brief_prompt_tokens: u64,
    pub(crate) short_prompt_tokens: u64,
    pub(crate) medium_prompt_tokens: u64,
    pub(crate) max_prefill_ahead_ms: f64,
    pub(crate) short_reserve_percent: u64,
    pub(crate) ageing_ms: u64,
    pub(crate) grant_lease_ms: u64,
    pub(crate) report_grace_ms: u64,
    pub(crate) max_waiting: usize,
    pub(crate) finish_margin: f64,
    pub(crate) prefill_ms_per_token: f64,
    pub(crate) decode_ms_per_token: f64,
    pub(crate) seed: u64,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            discipline: Discipline::default(),
            mechanisms: Mechanisms::default(),
            brief_prompt_tokens: 2_048,
            short_prompt_tokens: 8_192,
            medium_prompt_tokens: 65_536,
            max_prefill_ahead_ms: 250.0,
            short_reserve_percent: 10,
            ageing_ms: 2_000,
            grant_lease_ms: 3_000,
            report_grace_ms: 1_500,
            max_waiting: 100_000,
            finish_margin: 1.3,
            prefill_ms_per_token: 0.1,
            decode_ms_per_token: 50.0,
            seed: 0,
        }
    }
}

impl Policy {
    /// Starts from the defaults.
    pub fn builder() -> PolicyBuilder {
        PolicyBuilder { policy: Self::default() }
    }

    /// The lane of a prompt that fits one engine.
    pub(crate) fn classify_lane(&self, prompt_tokens: u64) -> Lane {
        match self.discipline {
            Discipline::FirstCome | Discipline::ShortestFirst => Lane::Short,
            Discipline::Current if prompt_tokens <= self.brief_prompt_tokens => Lane::Brief,
            Discipline::Current if prompt_tokens <= self.short_prompt_tokens => Lane::Short,
            Discipline::Current if prompt_tokens <= self.medium_prompt_tokens => Lane::Medium,
            Discipline::Current => Lane::Long,
        }
    }
}

/// Builds a [`Policy`].
#[derive(Clone, Debug)]
pub struct PolicyBuilder {
    policy: Policy,
}

impl PolicyBuilder {
    /// The order of requests.
    pub fn discipline(mut self, discipline: Discipline) -> Self {
        self.policy.discipline = discipline;
        self
    }

    /// Switches parts on and off.
    pub fn mechanisms(mut self, mechanisms: Mechanisms) -> Self {
        self.policy.mechanisms = mechanisms;
        self
    }

    /// Up to which length a prompt is brief, short, and medium.
    pub fn lane_bounds_tokens(mut self, brief: u64, short: u64, medium: u64) -> Self {
        self.policy.brief_prompt_tokens = brief;
        self.policy.short_prompt_tokens = short;
        self.policy.medium_prompt_tokens = medium;
        self
    }

    /// How long a grant lasts without a renewal.
    pub fn grant_lease_ms(mut self, lease_ms: u64) -> Self {
        self.policy.grant_lease_ms = lease_ms;
        self
    }

    /// After this time a request counts as one class more urgent.
    pub fn ageing_ms(mut self, ageing_ms: u64) -> Self {
        self.policy.ageing_ms = ageing_ms;
        self
    }

    /// The most requests that wait.
    pub fn max_waiting(mut self, max_waiting: usize) -> Self {
        self.policy.max_waiting = max_waiting;
        self
    }

    /// Rates that are assumed until an engine has shown its own.
    pub fn starting_rates(mut self, prefill_ms_per_token: f64, decode_ms_per_token: f64) -> Self {
        self.policy.prefill_ms_per_token = prefill_ms_per_token;
        self.policy.decode_ms_per_token = decode_ms_per_token;
        self
    }

    /// Starts the spread of retry times.
    pub fn seed(mut self, seed: u64) -> Self {
        self.policy.seed = seed;
        self
    }

    /// The finished settings.
    pub fn build(self) -> Policy {
        self.policy
    }
}
