//! Settings of a host that discovers the other hosts through a few bootstrap addresses ("seeds").

use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;

use clayplank_types::DataCentre;
use schemars::JsonSchema;
use serde::{Deserialize, Deserializer, Serialize};

use crate::bounds::Bounds;
use crate::check::{Check, Faults};
use crate::host::{LogSettings, Role};
use crate::resources::Resources;

/// Start-up settings of a daemon that is given neither the number nor the addresses of the other
/// hosts, only bootstrap addresses.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct SeededSettings {
    /// Name of the local host in logs.
    pub name: String,
    /// Role of the local host.
    pub role: Role,
    /// IP address under which the other hosts reach the local one. All hosts use the same ports.
    pub ip: IpAddr,
    /// Address from which the local host opens connections to upstreams; by default, the operating
    /// system chooses one.
    #[serde(default)]
    pub source_ip: Option<IpAddr>,
    /// Data centre in which the local host runs.
    pub data_centre: DataCentre,
    /// All data centres of the deployment, so that a cordon of any other one is rejected. Empty
    /// if they are not known.
    #[serde(default)]
    pub data_centres: Vec<DataCentre>,
    /// Addresses on which the local host listens.
    pub listen: SeededListen,
    /// Bootstrap addresses: control addresses of some keepers.
    pub seeds: Vec<SocketAddr>,
    /// Whether the whole deployment starts for the first time, with empty disks.
    #[serde(default)]
    pub is_first_start: bool,
    /// Directory in which a keeper stores its state. An entry host that has one and also a
    /// control address is a keeper as well.
    #[serde(default)]
    pub data_dir: Option<PathBuf>,
    /// Number of keepers that may fail at once without loss of acknowledged changes.
    #[serde(default = "default_tolerated_losses", deserialize_with = "read_tolerated_losses")]
    #[schemars(with = "Option<f64>", range(min = 0, max = MAX_TOLERATED_LOSSES))]
    pub tolerated_losses: usize,
    /// Times and limits that the operators of the deployment set.
    #[serde(default)]
    pub bounds: Bounds,
    /// Resources that the platform grants the local host. Without them, no request waits in the
    /// admission queue.
    #[serde(default)]
    pub resources: Option<Resources>,
    /// Log level and buffering.
    #[serde(default)]
    pub log: LogSettings,
}

/// Upper limit of `tolerated_losses`. Every change is replicated to all keepers, so there are only
/// a few of them.
const MAX_TOLERATED_LOSSES: u32 = 16;

fn default_tolerated_losses() -> usize {
    1
}

/// Rounds a fraction up, so that acknowledged changes are never stored on fewer disks than
/// configured.
fn read_tolerated_losses<'de, D: Deserializer<'de>>(deserializer: D) -> Result<usize, D::Error> {
    let written = Option::<f64>::deserialize(deserializer)?;
    Ok(written.map_or_else(default_tolerated_losses, |losses| losses.ceil() as usize))
}

/// Addresses on which a host with [`SeededSettings`] listens.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct SeededListen {
    /// Address for requests of callers; required for entry hosts.
    #[serde(default)]
    pub callers: Option<SocketAddr>,
    /// Address that answers whether the host accepts new connections; required for entry hosts.
    #[serde(default)]
    pub readiness: Option<SocketAddr>,
    /// Address for operators and for heartbeats of upstreams; required for keepers. A host without
    /// a disk forwards these calls to the keepers.
    #[serde(default)]
    pub control: Option<SocketAddr>,
    /// Address for connections of the other hosts.
    pub inner: SocketAddr,
    /// Address that serves metrics.
    pub metrics: SocketAddr,
}

impl SeededSettings {
    /// Whether the local host stores a replica of the replicated state. An entry host does so too
    /// if it has a data directory and a control address.
    pub fn is_keeper(&self) -> bool {
        self.data_dir.is_some() && self.listen.control.is_some()
    }
}

impl Check for SeededSettings {
    fn check(&self, at: &str, faults: &mut Faults) {
        let listen = &self.listen;
        let listen_path = |field: &str| format!("{at}/listen/{field}");
        match self.role {
            Role::Entry => {
                let is_set = listen.callers.is_some();
                faults.require(is_set, &listen_path("callers"), "an entry host must have one");
                let is_set = listen.readiness.is_some();
                faults.require(is_set, &listen_path("readiness"), "an entry host must have one");
            }
            Role::Keeper => {
                let is_set = listen.control.is_some();
                faults.require(is_set, &listen_path("control"), "a keeper must have one");
                let is_set = self.data_dir.is_some();
                faults.require(is_set, &format!("{at}/data_dir"), "a keeper must have one");
            }
        }
        if let Some(resources) = &self.resources {
            resources.check(&format!("{at}/resources"), faults);
        }
        faults.require(!self.seeds.is_empty(), &format!("{at}/seeds"), "must not be empty");
    }
}
