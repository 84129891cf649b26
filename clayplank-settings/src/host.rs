//! Settings of one host: addresses, roles, upstreams, limits and times.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::PathBuf;

use clayplank_types::{DataCentre, HostId, LengthBands, Partner, PoolId, TokenRatio, UpstreamId};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::check::{Check, Faults};
use crate::key::KeyDigest;

/// What a daemon does.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, JsonSchema,
)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Takes requests of callers and owns pools of engines.
    Entry,
    /// Holds a replica of the replicated state on its disk.
    Keeper,
}

/// Everything that one daemon has to know before it starts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct HostSettings {
    /// This host's name; it must stand in `hosts`.
    pub host: HostId,
    /// What this host does.
    #[schemars(length(min = 1))]
    pub roles: Vec<Role>,
    /// Where a keeper stores its state.
    #[serde(default)]
    pub data_dir: Option<PathBuf>,
    /// The addresses on which this host listens.
    pub listen: Listen,
    /// All hosts, this one among them.
    pub hosts: Vec<HostEntry>,
    /// The platform's list of live and leaving hosts.
    #[serde(default)]
    pub platform: Option<PlatformSource>,
    /// Engines and plain services.
    pub upstreams: Vec<Upstream>,
    /// Operators of the partners.
    pub operators: Vec<Operator>,
    /// Length bands of prompts, for queues and figures.
    #[serde(default)]
    pub length_bands: LengthBands,
    /// Bytes of prompt for one token.
    #[serde(default)]
    pub bytes_per_token: TokenRatio,
    /// Limits at the doors.
    #[serde(default)]
    pub doors: Doors,
    /// Times of the inner protocols.
    #[serde(default)]
    pub timing: Timing,
    /// What is logged.
    #[serde(default)]
    pub log: LogSettings,
}

/// Addresses on which a host listens.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// For callers.
    pub callers: SocketAddr,
    /// For the other hosts.
    pub inner: SocketAddr,
    /// For operators.
    pub operators: SocketAddr,
}

/// One host as the others see it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct HostEntry {
    /// Its name.
    pub host: HostId,
    /// Where it stands.
    pub data_centre: DataCentre,
    /// Where it listens for the other hosts.
    pub inner: SocketAddr,
    /// Whether it holds a replica of the state from the start.
    #[serde(default)]
    pub keeper: bool,
}

/// The platform's list of hosts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct PlatformSource {
    /// Where `GET /hosts` is answered.
    pub address: SocketAddr,
    /// How often it is asked.
    #[serde(default = "default_poll_interval")]
    #[schemars(range(min = 50))]
    pub poll_interval_ms: u64,
}

fn default_poll_interval() -> u64 {
    1_000
}

/// What runs requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase", tag = "kind")]
pub enum Upstream {
    /// A model engine.
    Engine(EngineSettings),
    /// A plain service.
    Service(ServiceSettings),
}

impl Upstream {
    /// The upstream's name.
    pub fn id(&self) -> &UpstreamId {
        match self {
            Self::Engine(engine) => &engine.id,
            Self::Service(service) => &service.id,
        }
    }
}

/// A model engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct EngineSettings {
    /// Its name.
    pub id: UpstreamId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Where it stands.
    pub data_centre: DataCentre,
    /// Engines of a pool share one queue and can pass KV cache to each other.
    pub pool: PoolId,
    /// Tokens of KV cache that it holds; its own report corrects this.
    #[schemars(range(min = 1))]
    pub memory_tokens: u64,
    /// Models that it serves.
    #[schemars(length(min = 1))]
    pub models: Vec<String>,
    /// Who guards its orders.
    #[serde(default)]
    pub fence: FenceCheck,
}

/// Whether an upstream refuses orders with an old fencing token.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum FenceCheck {
    /// It checks the token itself.
    #[default]
    Upstream,
    /// It checks nothing: whoever gives orders first waits out the former lease.
    Lease,
}

/// A plain service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ServiceSettings {
    /// Its name.
    pub id: UpstreamId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Where it stands.
    pub data_centre: DataCentre,
    /// Requests whose path starts with this go to it; workers may share a prefix.
    pub path_prefix: String,
    /// Requests that one entry host keeps open to it.
    #[serde(default = "default_service_in_flight")]
    #[schemars(range(min = 1))]
    pub max_in_flight: u64,
}

fn default_service_in_flight() -> u64 {
    64
}

/// An operator of a partner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Operator {
    /// The partner whose settings it may change.
    pub partner: Partner,
    /// A name for logs.
    pub name: String,
    /// Digest of the operator's key.
    pub key_sha256: KeyDigest,
}

/// Limits at the doors.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Doors {
    /// The largest body of a request.
    pub max_body_bytes: u64,
    /// The largest head of a request.
    pub max_head_bytes: u64,
    /// Open connections of callers.
    pub max_connections: u64,
    /// Requests that wait or run on this host.
    pub max_in_progress: u64,
    /// Time for a caller to send its head, and then its body.
    pub read_timeout_ms: u64,
}

impl Default for Doors {
    fn default() -> Self {
        Self {
            max_body_bytes: 16 << 20,
            max_head_bytes: 32 << 10,
            max_connections: 4_096,
            max_in_progress: 4_096,
            read_timeout_ms: 10_000,
        }
    }
}

/// Times of the inner protocols.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Timing {
    /// Between two probes of a host.
    #[schemars(range(min = 10))]
    pub probe_interval_ms: u64,
    /// From a first missed probe until a host counts as gone.
    pub suspect_ms: u64,
    /// Between two load reports asked of an engine.
    #[schemars(range(min = 10))]
    pub load_interval_ms: u64,
    /// A grant that is not renewed for this long lapses.
    #[schemars(range(min = 500))]
    pub grant_lease_ms: u64,
    /// The oldest confirmation of settings under which a host takes requests.
    #[schemars(range(min = 2_000, max = 14_000))]
    pub settings_lease_ms: u64,
    /// Keepers: a follower that hears nothing for this long asks for an election.
    pub election_ms: u64,
    /// Keepers: between two heartbeats of the leader.
    #[schemars(range(min = 1))]
    pub heartbeat_ms: u64,
    /// How long the outcome of a claim is kept; longer than any deadline.
    #[schemars(range(min = 86_400_001))]
    pub claim_keep_ms: u64,
    /// How long a host that stops still takes requests, while the balancer turns away.
    pub leave_grace_ms: u64,
    /// How long a planned stop waits for requests in progress.
    pub drain_ms: u64,
    /// The longest silence of an upstream within an answer.
    pub upstream_silence_ms: u64,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            probe_interval_ms: 500,
            suspect_ms: 2_000,
            load_interval_ms: 250,
            grant_lease_ms: 3_000,
            settings_lease_ms: 5_000,
            election_ms: 600,
            heartbeat_ms: 100,
            claim_keep_ms: 25 * 60 * 60 * 1_000,
            leave_grace_ms: 3_000,
            drain_ms: 15 * 60 * 1_000,
            upstream_silence_ms: 5_000,
        }
    }
}

/// What is logged.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// The least severe lines that are written.
    pub level: LogLevel,
    /// Lines that wait for a reader that is slow; more are dropped, and their count is told.
    #[schemars(range(min = 1))]
    pub buffered_lines: usize,
}

impl Default for LogSettings {
    /// About a megabyte of lines: some seconds of a busy host.
    fn default() -> Self {
        Self { level: LogLevel::default(), buffered_lines: 4_096 }
    }
}

/// Severity of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
#[allow(missing_docs, reason = "the names are those of the log crate")]
pub enum LogLevel {
    Error,
    Warn,
    #[default]
    Info,
    Debug,
}

impl HostSettings {
    /// This host's own entry.
    pub fn own_entry(&self) -> Option<&HostEntry> {
        self.hosts.iter().find(|entry| entry.host == self.host)
    }

    /// Whether this host has a role.
    pub fn has_role(&self, role: Role) -> bool {
        self.roles.contains(&role)
    }

    /// The engines among the upstreams.
    pub fn engines(&self) -> impl Iterator<Item = &EngineSettings> {
        self.upstreams.iter().filter_map(|upstream| match upstream {
            Upstream::Engine(engine) => Some(engine),
            Upstream::Service(_) => None,
        })
    }

    /// The plain services among the upstreams.
    pub fn services(&self) -> impl Iterator<Item = &ServiceSettings> {
        self.upstreams.iter().filter_map(|upstream| match upstream {
            Upstream::Service(service) => Some(service),
            Upstream::Engine(_) => None,
        })
    }
}

impl Check for HostSettings {
    fn check(&self, at: &str, faults: &mut Faults) {
        self.check_roles(at, faults);
        self.check_names(at, faults);
        self.check_upstreams(at, faults);
        self.timing.check(&format!("{at}/timing"), faults);
    }
}

impl HostSettings {
    fn check_roles(&self, at: &str, faults: &mut Faults) {
        let stored = !self.has_role(Role::Keeper) || self.data_dir.is_some();
        faults.require(stored, &format!("{at}/data_dir"), "a keeper must have a data folder");
        let keepers = self.hosts.iter().filter(|entry| entry.keeper).count();
        faults.require(
            keepers % 2 == 1,
            &format!("{at}/hosts"),
            "an odd number of hosts must be keepers",
        );
        let own = self.own_entry();
        faults.require(own.is_some(), &format!("{at}/host"), "must be the name of one of `hosts`");
        let agrees = own.is_none_or(|entry| entry.keeper == self.has_role(Role::Keeper));
        faults.require(
            agrees,
            &format!("{at}/roles"),
            "must agree with `keeper` of this host in `hosts`",
        );
    }

    fn check_names(&self, at: &str, faults: &mut Faults) {
        let hosts = self.hosts.iter().map(|entry| entry.host.as_str());
        check_unique(hosts, &format!("{at}/hosts"), "host", faults);
        let upstreams = self.upstreams.iter().map(|upstream| upstream.id().as_str());
        check_unique(upstreams, &format!("{at}/upstreams"), "id", faults);
        let operators = self.operators.iter().map(|operator| operator.name.as_str());
        check_unique(operators, &format!("{at}/operators"), "name", faults);
    }

    fn check_upstreams(&self, at: &str, faults: &mut Faults) {
        for (position, upstream) in self.upstreams.iter().enumerate() {
            if let Upstream::Service(service) = upstream {
                let rooted = service.path_prefix.starts_with('/')
                    && !service.path_prefix.starts_with("/v1/");
                let place = format!("{at}/upstreams/{position}/path_prefix");
                faults.require(rooted, &place, "must start with `/`, and not with `/v1/`");
            }
        }
    }
}

fn check_unique<'a>(
    names: impl Iterator<Item = &'a str>,
    at: &str,
    field: &str,
    faults: &mut Faults,
) {
    let mut seen = BTreeSet::new();
    for (position, name) in names.enumerate() {
        if !seen.insert(name) {
            faults.push(format!("{at}/{position}/{field}"), format!("`{name}` stands here twice"));
        }
    }
}

impl Check for Timing {
    fn check(&self, at: &str, faults: &mut Faults) {
        let quick = self.heartbeat_ms * 3 <= self.election_ms;
        faults.require(
            quick,
            &format!("{at}/heartbeat_ms"),
            "must be at most a third of `election_ms`",
        );
        let probed = self.probe_interval_ms <= self.suspect_ms;
        faults.require(probed, &format!("{at}/probe_interval_ms"), "must be at most `suspect_ms`");
    }
}
