//! Log lines of a keeper on its role, the membership, undecided elections, and long waits to join.

use std::collections::BTreeMap;
use std::time::Duration;

use clayplank_agreement::{Configuration, Introduction, Replica, ReplicaId};
use clayplank_clock::Instant;
use clayplank_types::HostId;

use crate::keepers::keeper_messages::JoinStatus;
use crate::process::logging::log_target;

/// Interval between two log lines on an undecided election, in ms: a keeper may start several
/// elections per second.
const ELECTION_LOG_INTERVAL_MS: u64 = 2_000;

/// The values logged last, so that a line is written only when one of them changes.
#[derive(Debug, Default)]
pub(crate) struct KeeperLog {
    role: Option<LoggedRole>,
    members: Option<LoggedMembers>,
    /// Start of the running election, or the time of the last line on it, in ms.
    election_logged_ms: Option<u64>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct LoggedRole {
    name: &'static str,
    term: u64,
    leader: Option<HostId>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct LoggedMembers {
    configuration: Configuration,
    is_committed: bool,
}

impl KeeperLog {
    /// Logs what has changed since the last call; a keeper without a replicated log has no replica.
    pub(crate) fn log_changes(&mut self, replica: Option<&Replica>, now_ms: u64) {
        self.log_role(replica);
        if let Some(replica) = replica {
            self.log_members(replica);
            self.log_election(replica, now_ms);
        }
    }

    fn log_role(&mut self, replica: Option<&Replica>) {
        let current = LoggedRole {
            name: replica.map_or("blank", Replica::role_name),
            term: replica.map_or(0, Replica::term),
            leader: replica
                .and_then(Replica::leader)
                .map(|leader| HostId::new(leader.host.clone())),
        };
        if self.role.as_ref() == Some(&current) {
            return;
        }
        log::info!(target: log_target::KEEPER,
            role = current.name, term = current.term,
            last_index = replica.map_or(0, Replica::last_index),
            leader = current.leader.as_ref().map_or("", HostId::as_str);
            "The role, term or leader of this keeper changed");
        self.role = Some(current);
    }

    fn log_members(&mut self, replica: &Replica) {
        let is_committed = replica.is_configuration_committed();
        let is_logged = self.members.as_ref().is_some_and(|logged| {
            logged.is_committed == is_committed && logged.configuration == *replica.configuration()
        });
        if is_logged {
            return;
        }
        let configuration = replica.configuration();
        log::info!(target: log_target::KEEPER,
            voters = join_ids(configuration.voters.iter()),
            learners = join_ids(configuration.learners.iter()),
            quorum = configuration.quorum(), is_committed = is_committed,
            last_index = replica.last_index();
            "The keepers' members changed");
        self.members = Some(LoggedMembers { configuration: configuration.clone(), is_committed });
    }

    fn log_election(&mut self, replica: &Replica, now_ms: u64) {
        let Some(granted) = replica.granted_votes() else {
            self.election_logged_ms = None;
            return;
        };
        // Most elections are won within a few milliseconds: only longer ones are logged.
        let logged_ms = *self.election_logged_ms.get_or_insert(now_ms);
        if now_ms < logged_ms + ELECTION_LOG_INTERVAL_MS {
            return;
        }
        self.election_logged_ms = Some(now_ms);
        log::warn!(target: log_target::KEEPER,
            granted = join_ids(granted.iter()), quorum = replica.configuration().quorum(),
            voters = join_ids(replica.configuration().voters.iter()),
            term = replica.term(), last_index = replica.last_index();
            "No leader is elected");
    }
}

fn join_ids<'a>(ids: impl Iterator<Item = &'a ReplicaId>) -> String {
    ids.map(ToString::to_string).collect::<Vec<_>>().join(" ")
}

/// Interval between two log lines of a keeper that is not yet an active voter: most become one within
/// one to two seconds.
const WAIT_LOG_INTERVAL: Duration = Duration::from_secs(2);

/// Logs at intervals that a keeper is not yet an active voter, that is, one that hears a leader, and which
/// peers answered its introductions.
#[derive(Debug, Default)]
pub(crate) struct WaitLog {
    /// Start of the wait.
    started: Option<Instant>,
    /// Time of the last line, or the start of the wait before the first one.
    logged: Option<Instant>,
}

impl WaitLog {
    pub(crate) fn record(&mut self, status: &JoinStatus, answers: &BTreeMap<String, Introduction>) {
        let now = Instant::now();
        if status.is_active_voter {
            *self = Self::default();
            return;
        }
        let started = *self.started.get_or_insert(now);
        let logged = *self.logged.get_or_insert(started);
        if now < logged + WAIT_LOG_INTERVAL {
            return;
        }
        self.logged = Some(now);
        let answered = |is_blank: bool| {
            let hosts = answers.iter().filter(|(_, answer)| answer.is_blank() == is_blank);
            hosts.map(|(host, _)| host.as_str()).collect::<Vec<_>>().join(" ")
        };
        log::warn!(target: log_target::KEEPER,
            waited_ms = (now - started).as_millis() as u64, has_log = status.has_log,
            members = answered(false), blank = answered(true);
            "This keeper is not yet a voter that hears a leader");
    }
}
