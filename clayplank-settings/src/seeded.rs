//! Settings of a host that finds the others from a few seeds.

use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;

use clayplank_types::DataCentre;
use schemars::JsonSchema;
use serde::{Deserialize, Deserializer, Serialize};

use crate::bounds::Bounds;
use crate::check::{Check, Faults};
use crate::host::{LogSettings, Role};

/// Everything that a daemon has to know that is told neither the number nor the
/// addresses of the other hosts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct SeededSettings {
    /// A name for logs.
    pub name: String,
    /// What this host does.
    pub role: Role,
    /// The address under which the other hosts reach it; ports are alike on all hosts.
    pub ip: IpAddr,
    /// Where it stands.
    pub data_centre: DataCentre,
    /// All data centres of the deployment, so that an order for another one is refused; none if that
    /// is not known.
    #[serde(default)]
    pub data_centres: Vec<DataCentre>,
    /// Where it listens.
    pub listen: SeededListen,
    /// Control addresses of some keepers.
    pub seeds: Vec<SocketAddr>,
    /// Whether the whole system starts for the first time, on empty disks.
    #[serde(default)]
    pub is_first_start: bool,
    /// Where a keeper stores its state; an entry host that has one, and listens for
    /// operators, is a keeper too.
    #[serde(default)]
    pub data_dir: Option<PathBuf>,
    /// Keepers that may be lost at once without loss of what was acknowledged.
    #[serde(default = "default_tolerated_losses", deserialize_with = "read_tolerated_losses")]
    #[schemars(with = "Option<f64>", range(min = 0, max = MAX_TOLERATED_LOSSES))]
    pub tolerated_losses: usize,
    /// Bounds that the operators of the deployment set.
    #[serde(default)]
    pub bounds: Bounds,
    /// What is logged.
    #[serde(default)]
    pub log: LogSettings,
}

/// Keepers are a handful: every change crosses to all of them.
const MAX_TOLERATED_LOSSES: u32 = 16;

fn default_tolerated_losses() -> usize {
    1
}

/// A fraction is rounded up, so that no fewer disks hold what was acknowledged.
fn read_tolerated_losses<'de, D: Deserializer<'de>>(deserializer: D) -> Result<usize, D::Error> {
    let written = Option::<f64>::deserialize(deserializer)?;
    Ok(written.map_or_else(default_tolerated_losses, |losses| losses.ceil() as usize))
}

/// Addresses on which a seeded host listens.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct SeededListen {
    /// An entry host: for callers.
    #[serde(default)]
    pub callers: Option<SocketAddr>,
    /// An entry host: whether it takes new connections.
    #[serde(default)]
    pub readiness: Option<SocketAddr>,
    /// For operators and for heartbeats of upstreams; a host without a disk asks the keepers.
    #[serde(default)]
    pub control: Option<SocketAddr>,
    /// For the other hosts.
    pub inner: SocketAddr,
    /// For figures.
    pub metrics: SocketAddr,
}

impl SeededSettings {
    /// Whether this host holds a replica of the replicated state: an entry host does, beside
    /// its callers, if it has a disk and a door for operators.
    pub fn is_keeper(&self) -> bool {
        self.data_dir.is_some() && self.listen.control.is_some()
    }
}

impl Check for SeededSettings {
    fn check(&self, at: &str, faults: &mut Faults) {
        let listen = &self.listen;
        let place = |field: &str| format!("{at}/listen/{field}");
        match self.role {
            Role::Entry => {
                let is_set = listen.callers.is_some();
                faults.require(is_set, &place("callers"), "an entry host must have one");
                let is_set = listen.readiness.is_some();
                faults.require(is_set, &place("readiness"), "an entry host must have one");
            }
            Role::Keeper => {
                let is_set = listen.control.is_some();
                faults.require(is_set, &place("control"), "a keeper must have one");
                let is_set = self.data_dir.is_some();
                faults.require(is_set, &format!("{at}/data_dir"), "a keeper must have one");
            }
        }
        faults.require(!self.seeds.is_empty(), &format!("{at}/seeds"), "must not be empty");
    }
}
