//! Definition of the command line.

use std::net::SocketAddr;
use std::path::PathBuf;

use bpaf::Bpaf;
use clayplank_types::Fingerprint;

/// Parsed command line: a command, the hosts it applies to, and the output format.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version)]
/// Operates clayplank: settings, hosts, keepers and statistics
pub(crate) struct Options {
    /// Operators' address of a host; several for `latency`
    #[bpaf(short('H'), long("host"), argument("ADDRESS"))]
    pub(crate) hosts: Vec<SocketAddr>,
    /// File with the operator's key; without it, the environment variable CLAYPLANK_KEY is used
    #[bpaf(argument("FILE"))]
    pub(crate) key_file: Option<PathBuf>,
    /// Print JSON
    pub(crate) json: bool,
    #[bpaf(external(command))]
    pub(crate) command: Command,
}

/// A command of the tool.
#[derive(Bpaf, Clone, Debug)]
pub(crate) enum Command {
    /// Check a settings file, and print all faults
    #[bpaf(command)]
    Check {
        /// Kind of the file: host (the default), seeded (a host that finds the others through
        /// bootstrap addresses), template, account or plan
        #[bpaf(argument::<FileKind>("KIND"), fallback(FileKind::Host))]
        kind: FileKind,
        /// The file
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Print the digest of a secret key, read from standard input
    #[bpaf(command)]
    Digest,
    /// Serving templates of the operator's partner
    #[bpaf(command)]
    Template(#[bpaf(external(setting_command))] SettingCommand),
    /// Client accounts of the operator's partner
    #[bpaf(command)]
    Account(#[bpaf(external(setting_command))] SettingCommand),
    /// The serving plan of seeded hosts; --host names control addresses of keepers
    #[bpaf(command)]
    Plan(#[bpaf(external(plan_command))] PlanCommand),
    /// Requests that are held back because upstreams terminated while running them; --host names
    /// control addresses of keepers
    #[bpaf(command("held-back"))]
    HeldBack(#[bpaf(external(held_back_command))] HeldBackCommand),
    /// Data centres whose upstreams get no requests; --host names control addresses of keepers
    #[bpaf(command)]
    Cordon(#[bpaf(external(cordon_command))] CordonCommand),
    /// Show what happened to a request in all calls of its caller, from the logs of several hosts
    #[bpaf(command)]
    Explain {
        /// The caller's id of an attempt, or the request's fingerprint
        #[bpaf(positional("REQUEST"))]
        request: String,
        /// Log files
        #[bpaf(positional("FILE"), some("at least one FILE"))]
        files: Vec<PathBuf>,
    },
    /// Show what hosts logged about an upstream, a plan, a data centre or a request in all its calls
    #[bpaf(command)]
    Timeline {
        #[bpaf(external(subject))]
        subject: Subject,
        /// Log files
        #[bpaf(positional("FILE"), some("at least one FILE"))]
        files: Vec<PathBuf>,
    },
    /// Show which requests were not served well, and why, from the logs of entry hosts
    #[bpaf(command)]
    Losses {
        /// Maximum number of rows of the table
        #[bpaf(argument("ROWS"), fallback(10), display_fallback)]
        rows: usize,
        /// Log files
        #[bpaf(positional("FILE"), some("at least one FILE"))]
        files: Vec<PathBuf>,
    },
    /// Engines and services, and the pools that the host owns
    #[bpaf(command)]
    Upstreams,
    /// Hosts as seen by the queried host
    #[bpaf(command)]
    Hosts,
    /// Hosts that store the replicated state
    #[bpaf(command)]
    Keepers,
    /// State of the host, and on which hosts the settings are in force
    #[bpaf(command)]
    Status,
    /// Percentiles by client account and length band, merged over the hosts
    #[bpaf(command)]
    Latency,
}

/// Command on a kind of setting.
#[derive(Bpaf, Clone, Debug)]
pub(crate) enum SettingCommand {
    /// Print all
    #[bpaf(command)]
    List,
    /// Print one
    #[bpaf(command)]
    Get {
        /// Its name
        #[bpaf(positional("NAME"))]
        name: String,
    },
    /// Set one from a file of JSON
    #[bpaf(command)]
    Set {
        #[bpaf(external(guard))]
        guard: Guard,
        /// Its name
        #[bpaf(positional("NAME"))]
        name: String,
        /// The value
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Remove one
    #[bpaf(command)]
    Delete {
        #[bpaf(external(guard))]
        guard: Guard,
        /// Its name
        #[bpaf(positional("NAME"))]
        name: String,
    },
}

/// Subject of a timeline.
#[derive(Bpaf, Clone, Debug)]
pub(crate) enum Subject {
    Upstream {
        /// An upstream, by its id
        #[bpaf(argument("ID"))]
        upstream: String,
    },
    Plan {
        /// A plan, by its version
        #[bpaf(argument("VERSION"))]
        plan: u64,
    },
    DataCentre {
        /// A data centre: cordons of it, the hosts that apply them, and the last requests at its
        /// upstreams
        #[bpaf(argument("NAME"))]
        data_centre: String,
    },
    Fingerprint {
        /// A request in all its calls, by its fingerprint
        #[bpaf(argument("HEX"))]
        fingerprint: String,
    },
}

impl std::fmt::Display for Subject {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Upstream { upstream } => write!(f, "upstream {upstream}"),
            Self::Plan { plan } => write!(f, "plan {plan}"),
            Self::DataCentre { data_centre } => write!(f, "data centre {data_centre}"),
            Self::Fingerprint { fingerprint } => write!(f, "fingerprint {fingerprint}"),
        }
    }
}

/// Command on the serving plan.
#[derive(Bpaf, Clone, Debug)]
pub(crate) enum PlanCommand {
    /// Print the plan that a quorum of keepers confirms
    #[bpaf(command)]
    Get,
    /// Put a plan in force if its version is higher than that of the current one
    #[bpaf(command)]
    Put {
        /// The plan
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
}

/// Command on quarantined ("held back") requests.
#[derive(Bpaf, Clone, Debug)]
pub(crate) enum HeldBackCommand {
    /// Print them, with the upstreams that terminated while running each
    #[bpaf(command)]
    List,
    /// Stop holding one back, once upstreams can run it or if it was held back by mistake
    #[bpaf(command)]
    Lift {
        /// The request, as the list and the logs name it
        #[bpaf(positional("FINGERPRINT"))]
        fingerprint: Fingerprint,
    },
}

/// Command on cordons.
#[derive(Bpaf, Clone, Debug)]
pub(crate) enum CordonCommand {
    /// Print the data centres under a cordon, as a quorum of keepers confirms them
    #[bpaf(command)]
    List,
    /// Send no more requests to the upstreams of a data centre; running ones may finish
    #[bpaf(command)]
    Set {
        /// The data centre
        #[bpaf(positional("DATA-CENTRE"))]
        data_centre: String,
    },
    /// Send requests to the upstreams of a data centre again
    #[bpaf(command)]
    Lift {
        /// The data centre
        #[bpaf(positional("DATA-CENTRE"))]
        data_centre: String,
    },
}

/// Options that make a change idempotent and detect concurrent changes.
#[derive(Bpaf, Clone, Debug)]
pub(crate) struct Guard {
    /// Version that the change is based on; 0 for a new setting. Default: the current version
    #[bpaf(argument("VERSION"))]
    pub(crate) from_version: Option<u64>,
    /// Id of the change; to retry a change whose answer was lost, send it with the same id
    #[bpaf(argument("ID"))]
    pub(crate) change_id: Option<String>,
}

/// Kind of a settings file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FileKind {
    Host,
    Seeded,
    Template,
    Account,
    Plan,
}

/// Error for a text that names no [`FileKind`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("must be `host`, `seeded`, `template`, `account` or `plan`")]
pub(crate) struct UnknownKind;

impl std::str::FromStr for FileKind {
    type Err = UnknownKind;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "host" => Ok(Self::Host),
            "seeded" => Ok(Self::Seeded),
            "template" => Ok(Self::Template),
            "account" => Ok(Self::Account),
            "plan" => Ok(Self::Plan),
            _ => Err(UnknownKind),
        }
    }
}
