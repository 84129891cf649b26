//! Settings of a scheduler.

use clayplank_types::EnginePriority;

/// Queueing discipline: the order of requests and the selection of engines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Discipline {
    /// Lanes by prompt length, with fair queueing among accounts.
    #[default]
    Current,
    /// Baseline: one first-come, first-served queue; the least loaded engine is used.
    FirstCome,
    /// Baseline: one queue, shortest prompt first; the least loaded engine is used.
    ShortestFirst,
}

/// Mechanisms of [`Discipline::Current`] that can be switched off one by one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Mechanisms {
    /// Shares the capacity among accounts by weight.
    pub fair_share: bool,
    /// Limits how many engines prefill heavy prompts at the same time.
    pub heavy_limit: bool,
    /// Has engines prefill short prompts first.
    pub engine_priority: bool,
    /// Prefers engines that have a prefix of the prompt cached.
    pub prefix_reuse: bool,
    /// Limits the prefill work queued at an engine, so that requests wait at the pool's owner.
    pub limit_queued_prefill: bool,
    /// Refuses requests as soon as they are predicted to miss their deadline.
    pub early_refusal: bool,
}

impl Default for Mechanisms {
    fn default() -> Self {
        Self {
            fair_share: true,
            heavy_limit: true,
            engine_priority: true,
            prefix_reuse: true,
            limit_queued_prefill: true,
            early_refusal: true,
        }
    }
}

/// Class of requests by prompt length; each lane has its own queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Lane {
    /// The shortest prompts; prefilled before all others.
    Brief,
    /// Prefill takes well under a second.
    Short,
    /// An engine prefills one of them at a time, before long ones.
    Medium,
    /// An engine prefills one of them at a time.
    Long,
    /// The prompt needs the memory of several engines.
    Gang,
}

impl Lane {
    /// Every lane, in the order in which they are served.
    pub const ALL: [Self; 5] = [Self::Brief, Self::Short, Self::Medium, Self::Gang, Self::Long];

    /// Priority class in which an engine prefills prompts of the lane; 0 is the most urgent.
    pub fn engine_priority(self) -> EnginePriority {
        EnginePriority(match self {
            Self::Brief => 0,
            Self::Short => 1,
            Self::Medium => 2,
            Self::Long | Self::Gang => 3,
        })
    }

    /// Whether the lane is heavy: its prefills take longer than an interactive caller waits.
    pub(crate) fn is_heavy(self) -> bool {
        match self {
            Self::Brief | Self::Short => false,
            Self::Medium | Self::Long | Self::Gang => true,
        }
    }
}

/// Settings of a scheduler, built with [`Policy::builder`].
#[derive(Clone, Debug, PartialEq)]
pub struct Policy {
    pub(crate) discipline: Discipline,
    pub(crate) mechanisms: Mechanisms,
    pub(crate) brief_prompt_tokens: u64,
    pub(crate) short_prompt_tokens: u64,
    pub(crate) medium_prompt_tokens: u64,
    /// A short prompt goes only to engines with at most this much prefill work ahead of it.
    pub(crate) max_prefill_ahead_ms: f64,
    /// Percentage of each engine's KV cache that heavy prompts may not use.
    pub(crate) short_reserve_percent: u64,
    pub(crate) ageing_ms: u64,
    pub(crate) grant_lease_ms: u64,
    /// Time after a cancellation before a load report without the attempt counts as its end.
    pub(crate) report_grace_ms: u64,
    pub(crate) max_waiting: usize,
    /// Factor on predicted service times, as a safety margin.
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
    /// Returns a builder with the default settings.
    pub fn builder() -> PolicyBuilder {
        PolicyBuilder { policy: Self::default() }
    }

    /// Lane of a prompt that fits one engine. The baseline disciplines use a single lane.
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
    /// Sets the queueing discipline.
    pub fn discipline(mut self, discipline: Discipline) -> Self {
        self.policy.discipline = discipline;
        self
    }

    /// Switches mechanisms of the current discipline on and off.
    pub fn mechanisms(mut self, mechanisms: Mechanisms) -> Self {
        self.policy.mechanisms = mechanisms;
        self
    }

    /// Sets the maximum prompt lengths of the lanes brief, short and medium, in tokens.
    pub fn max_lane_prompt_tokens(mut self, brief: u64, short: u64, medium: u64) -> Self {
        self.policy.brief_prompt_tokens = brief;
        self.policy.short_prompt_tokens = short;
        self.policy.medium_prompt_tokens = medium;
        self
    }

    /// Sets the time after which a grant expires unless it is renewed, in ms.
    pub fn grant_lease_ms(mut self, lease_ms: u64) -> Self {
        self.policy.grant_lease_ms = lease_ms;
        self
    }

    /// Sets the waiting time per priority class, in ms, after which a request counts as one
    /// class more urgent.
    pub fn ageing_ms(mut self, ageing_ms: u64) -> Self {
        self.policy.ageing_ms = ageing_ms;
        self
    }

    /// Sets the maximum number of waiting requests; further ones are refused.
    pub fn max_waiting(mut self, max_waiting: usize) -> Self {
        self.policy.max_waiting = max_waiting;
        self
    }

    /// Sets the prefill and decode times per token, in ms, that are assumed until an engine's
    /// own are measured.
    pub fn initial_rates(mut self, prefill_ms_per_token: f64, decode_ms_per_token: f64) -> Self {
        self.policy.prefill_ms_per_token = prefill_ms_per_token;
        self.policy.decode_ms_per_token = decode_ms_per_token;
        self
    }

    /// Sets the random seed of the jitter on retry delays.
    pub fn seed(mut self, seed: u64) -> Self {
        self.policy.seed = seed;
        self
    }

    /// Returns the settings.
    pub fn build(self) -> Policy {
        self.policy
    }
}
