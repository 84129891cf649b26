//! Settings of one host: addresses, roles, upstreams, limits and timing.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::PathBuf;

use clayplank_types::{DataCentre, HostId, LengthBands, Partner, PoolId, TokenRatio, UpstreamId};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::check::{Check, Faults};
use crate::key::KeyDigest;

/// Role of a daemon.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, JsonSchema,
)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Accepts requests from callers and owns pools of engines.
    Entry,
    /// Stores a replica of the replicated state on its disk.
    Keeper,
}

/// Start-up settings of a daemon whose settings list all hosts and upstreams.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct HostSettings {
    /// Name of the local host; must be in `hosts`.
    pub host: HostId,
    /// Roles of the local host.
    #[schemars(length(min = 1))]
    pub roles: Vec<Role>,
    /// Directory in which a keeper stores its state; required for keepers.
    #[serde(default)]
    pub data_dir: Option<PathBuf>,
    /// Addresses on which the local host listens.
    pub listen: Listen,
    /// All hosts, including the local one.
    pub hosts: Vec<HostEntry>,
    /// Source of the platform's list of live and leaving hosts, if there is one.
    #[serde(default)]
    pub platform: Option<PlatformSource>,
    /// Engines and plain services that run requests.
    pub upstreams: Vec<Upstream>,
    /// Operators of the partners, with their keys.
    pub operators: Vec<Operator>,
    /// Length bands of prompts, for queues and statistics.
    #[serde(default)]
    pub length_bands: LengthBands,
    /// Average number of prompt bytes per token.
    #[serde(default)]
    pub bytes_per_token: TokenRatio,
    /// Limits on connections and requests of callers.
    #[serde(default)]
    pub doors: CallerEndpointLimits,
    /// Intervals and time-outs of the protocols between hosts and with engines.
    #[serde(default)]
    pub timing: Timing,
    /// Log level and buffering.
    #[serde(default)]
    pub log: LogSettings,
}

/// Addresses on which a host listens.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// Address for requests of callers.
    pub callers: SocketAddr,
    /// Address for connections of the other hosts.
    pub inner: SocketAddr,
    /// Address for the operators' API.
    pub operators: SocketAddr,
}

/// Entry of one host in the list of all hosts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct HostEntry {
    /// Name of the host.
    pub host: HostId,
    /// Data centre in which the host runs.
    pub data_centre: DataCentre,
    /// Address on which it listens for the other hosts.
    pub inner: SocketAddr,
    /// Whether it stores a replica of the replicated state from the first start on.
    #[serde(default)]
    pub keeper: bool,
}

/// Source of the platform's list of hosts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct PlatformSource {
    /// Address that answers `GET /hosts`.
    pub address: SocketAddr,
    /// Polling interval, in ms.
    #[serde(default = "default_poll_interval")]
    #[schemars(range(min = 50))]
    pub poll_interval_ms: u64,
}

fn default_poll_interval() -> u64 {
    1_000
}

/// An upstream that runs requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase", tag = "kind")]
pub enum Upstream {
    /// A model engine.
    Engine(EngineSettings),
    /// A plain service.
    Service(ServiceSettings),
}

impl Upstream {
    /// Returns the name of the upstream.
    pub fn id(&self) -> &UpstreamId {
        match self {
            Self::Engine(engine) => &engine.id,
            Self::Service(service) => &service.id,
        }
    }
}

/// Settings of a model engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct EngineSettings {
    /// Name of the upstream.
    pub id: UpstreamId,
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Data centre in which it runs.
    pub data_centre: DataCentre,
    /// Pool of the engine. Engines of a pool share one queue and can transfer KV cache to each
    /// other.
    pub pool: PoolId,
    /// Capacity of its KV cache, in tokens; replaced by the value in the engine's load report.
    #[schemars(range(min = 1))]
    pub memory_tokens: u64,
    /// Models that it serves.
    #[schemars(length(min = 1))]
    pub models: Vec<String>,
    /// Protection against commands of a former owner.
    #[serde(default)]
    pub fence: FenceCheck,
}

/// Protection of an upstream against commands that carry an outdated fencing token.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum FenceCheck {
    /// The upstream checks the token and rejects an outdated one.
    #[default]
    Upstream,
    /// The upstream checks nothing; a new sender of commands first waits until the former lease
    /// has expired.
    Lease,
}

/// Settings of a plain service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ServiceSettings {
    /// Name of the upstream.
    pub id: UpstreamId,
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Data centre in which it runs.
    pub data_centre: DataCentre,
    /// Path prefix of the requests that are routed to the service; several services may share one.
    pub path_prefix: String,
    /// Maximum number of requests in flight to it from one entry host.
    #[serde(default = "default_service_in_flight")]
    #[schemars(range(min = 1))]
    pub max_in_flight: u64,
}

fn default_service_in_flight() -> u64 {
    64
}

/// An operator of a partner, authenticated by a bearer key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Operator {
    /// Partner whose settings the operator may change.
    pub partner: Partner,
    /// Name of the operator in logs; must be unique.
    pub name: String,
    /// SHA-256 digest of the operator's bearer key.
    pub key_sha256: KeyDigest,
}

/// Limits on connections and requests of callers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct CallerEndpointLimits {
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: u64,
    /// Maximum size of a request head, in bytes.
    pub max_head_bytes: u64,
    /// Maximum number of open connections from callers.
    pub max_connections: u64,
    /// Maximum number of requests that wait or run on the local host.
    pub max_in_progress: u64,
    /// Time-out for reading a request head, and again for reading its body, in ms.
    pub read_timeout_ms: u64,
}

impl Default for CallerEndpointLimits {
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

/// Intervals and time-outs of the protocols between hosts and with engines, in ms.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Timing {
    /// Interval between two liveness probes of a host.
    #[schemars(range(min = 10))]
    pub probe_interval_ms: u64,
    /// Time from the first missed probe of a host until it is declared dead.
    pub suspect_ms: u64,
    /// Interval between two requests for an engine's load report.
    #[schemars(range(min = 10))]
    pub load_interval_ms: u64,
    /// Lease duration of a grant; a grant that is not renewed within it expires.
    #[schemars(range(min = 500))]
    pub grant_lease_ms: u64,
    /// Maximum age of the last confirmation of settings with which a host still accepts requests.
    #[schemars(range(min = 2_000, max = 14_000))]
    pub settings_lease_ms: u64,
    /// Keepers: election time-out of a follower that receives nothing from its leader.
    pub election_ms: u64,
    /// Keepers: interval between two heartbeats of the leader.
    #[schemars(range(min = 1))]
    pub heartbeat_ms: u64,
    /// Retention of the outcome of a claim; must exceed the longest possible deadline (one day).
    #[schemars(range(min = 86_400_001))]
    pub claim_keep_ms: u64,
    /// Time for which a stopping host still accepts requests, until the load balancer has stopped
    /// routing to it.
    pub leave_grace_ms: u64,
    /// Maximum time for which a planned stop waits for requests in progress.
    pub drain_ms: u64,
    /// Maximum time between two events of an upstream's answer.
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

/// Settings of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// Minimum severity of the lines that are written.
    pub level: LogLevel,
    /// Maximum number of lines buffered for a slow reader of the log. Further lines are dropped,
    /// and their count is logged.
    #[schemars(range(min = 1))]
    pub buffered_lines: usize,
}

impl Default for LogSettings {
    /// Buffers about 1 MB of lines, some seconds of output of a busy host.
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
    /// Returns the entry of the local host in `hosts`.
    pub fn local_entry(&self) -> Option<&HostEntry> {
        self.hosts.iter().find(|entry| entry.host == self.host)
    }

    /// Whether the local host has a role.
    pub fn has_role(&self, role: Role) -> bool {
        self.roles.contains(&role)
    }

    /// Iterates over the engines among the upstreams.
    pub fn engines(&self) -> impl Iterator<Item = &EngineSettings> {
        self.upstreams.iter().filter_map(|upstream| match upstream {
            Upstream::Engine(engine) => Some(engine),
            Upstream::Service(_) => None,
        })
    }

    /// Iterates over the plain services among the upstreams.
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
        let has_required_dir = !self.has_role(Role::Keeper) || self.data_dir.is_some();
        faults.require(
            has_required_dir,
            &format!("{at}/data_dir"),
            "a keeper must have a data folder",
        );
        let keepers = self.hosts.iter().filter(|entry| entry.keeper).count();
        faults.require(
            keepers % 2 == 1,
            &format!("{at}/hosts"),
            "an odd number of hosts must be keepers",
        );
        let local_entry = self.local_entry();
        faults.require(
            local_entry.is_some(),
            &format!("{at}/host"),
            "must be the name of one of `hosts`",
        );
        let agrees = local_entry.is_none_or(|entry| entry.keeper == self.has_role(Role::Keeper));
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
                let is_valid_prefix = service.path_prefix.starts_with('/')
                    && !service.path_prefix.starts_with("/v1/");
                let place = format!("{at}/upstreams/{position}/path_prefix");
                faults.require(is_valid_prefix, &place, "must start with `/`, and not with `/v1/`");
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
        let is_frequent_enough = self.heartbeat_ms * 3 <= self.election_ms;
        faults.require(
            is_frequent_enough,
            &format!("{at}/heartbeat_ms"),
            "must be at most a third of `election_ms`",
        );
        let is_probed_in_time = self.probe_interval_ms <= self.suspect_ms;
        faults.require(
            is_probed_in_time,
            &format!("{at}/probe_interval_ms"),
            "must be at most `suspect_ms`",
        );
    }
}
