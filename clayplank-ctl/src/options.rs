//! The command line.

use std::net::SocketAddr;
use std::path::PathBuf;

use bpaf::Bpaf;
use clayplank_types::RequestFingerprint;

/// What the tool is asked to do, and where.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version)]
/// Operates clayplank: settings, hosts, keepers and figures
pub(crate) struct Options {
    /// Operators' address of a host; several for `latency`
    #[bpaf(short('H'), long("host"), argument("ADDRESS"))]
    pub(crate) hosts: Vec<SocketAddr>,
    /// File that holds the operator's key; else the variable CLAYPLANK_KEY does
    #[bpaf(argument("FILE"))]
    pub(crate) key_file: Option<PathBuf>,
    /// Print JSON
    pub(crate) json: bool,
    #[bpaf(external(command))]
    pub(crate) command: Command,
}

/// One task.
#[derive(Bpaf, Clone, Debug)]
pub(crate) enum Command {
    /// Check a file of settings, and print all faults
    #[bpaf(command)]
    Check {
        /// What the file holds: host (the default), seeded (a host that finds the others from
        /// seeds), template, account or plan
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
    /// Requests that are held back since upstreams ended under them; --host names control addresses
    /// of keepers
    #[bpaf(command("held-back"))]
    HeldBack(#[bpaf(external(held_back_command))] HeldBackCommand),
    /// Data centres whose upstreams get nothing; --host names control addresses of keepers
    #[bpaf(command)]
    Cordon(#[bpaf(external(cordon_command))] CordonCommand),
    /// Tell a request's story from the logs of several hosts
    #[bpaf(command)]
    Explain {
        /// The caller's id of the attempt
        #[bpaf(positional("REQUEST"))]
        request: String,
        /// Log files
        #[bpaf(positional("FILE"), some("at least one FILE"))]
        files: Vec<PathBuf>,
    },
    /// Tell what hosts believed of an upstream, or of a plan, from their logs
    #[bpaf(command)]
    Timeline {
        #[bpaf(external(subject))]
        subject: Subject,
        /// Log files
        #[bpaf(positional("FILE"), some("at least one FILE"))]
        files: Vec<PathBuf>,
    },
    /// Tell what callers lost and what cost it, from logs of entry hosts
    #[bpaf(command)]
    Losses {
        /// Rows of the table
        #[bpaf(argument("ROWS"), fallback(10), display_fallback)]
        rows: usize,
        /// Log files
        #[bpaf(positional("FILE"), some("at least one FILE"))]
        files: Vec<PathBuf>,
    },
    /// Engines and services, and the pools that the host owns
    #[bpaf(command)]
    Upstreams,
    /// Hosts as the asked one sees them
    #[bpaf(command)]
    Hosts,
    /// Who keeps the replicated state
    #[bpaf(command)]
    Keepers,
    /// The host's state, and on which hosts the settings are in force
    #[bpaf(command)]
    Status,
    /// Percentiles by client account and length band, merged over the hosts
    #[bpaf(command)]
    Latency,
}

/// What to do with a setting.
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

/// What a timeline is of.
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
        /// A data centre: orders to empty it, who follows them, and the last request at its upstreams
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

/// What to do with the serving plan.
#[derive(Bpaf, Clone, Debug)]
pub(crate) enum PlanCommand {
    /// Print the plan that a quorum of keepers confirms
    #[bpaf(command)]
    Get,
    /// Put a plan in force, if its version is higher than that of the one in force
    #[bpaf(command)]
    Put {
        /// The plan
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
}

/// What to do with requests that are held back.
#[derive(Bpaf, Clone, Debug)]
pub(crate) enum HeldBackCommand {
    /// Print them, with the upstreams that ended under each
    #[bpaf(command)]
    List,
    /// Hold one back no more, once upstreams run it well or it was held back by mistake
    #[bpaf(command)]
    Lift {
        /// The request, as the list and the logs name it
        #[bpaf(positional("FINGERPRINT"))]
        fingerprint: RequestFingerprint,
    },
}

/// What to do with cordons.
#[derive(Bpaf, Clone, Debug)]
pub(crate) enum CordonCommand {
    /// Print the data centres under a cordon, as a quorum of keepers confirms them
    #[bpaf(command)]
    List,
    /// Send nothing more to the upstreams of a data centre; what runs there may end
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

/// What makes a change safe to send twice, and safe beside others.
#[derive(Bpaf, Clone, Debug)]
pub(crate) struct Guard {
    /// Version that the change is made from; 0 for a new setting. Without it, the present one
    #[bpaf(argument("VERSION"))]
    pub(crate) from_version: Option<u64>,
    /// Names the change; send the same again if the answer was lost
    #[bpaf(argument("ID"))]
    pub(crate) change_id: Option<String>,
}

/// What a file holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FileKind {
    Host,
    Seeded,
    Template,
    Account,
    Plan,
}

/// A word that is no kind of file.
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
