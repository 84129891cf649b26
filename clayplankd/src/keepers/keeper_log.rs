//! What a keeper's log tells of its role, the members, elections that nobody wins, and long waits.

use std::collections::BTreeMap;
use std::time::Duration;

use clayplank_agreement::{Configuration, Introduction, Replica, ReplicaId};
use clayplank_clock::Instant;
use clayplank_types::HostId;

use crate::keepers::keeper_messages::Stand;
use crate::process::logging::part;

/// Between two lines on an election that nobody wins, in ms: a keeper asks for several a second.
const ELECTION_LINE_EVERY_MS: u64 = 2_000;

/// What the log was told last, so that each line tells something new.
#[derive(Debug, Default)]
pub(crate) struct KeeperLog {
    role: Option<ToldRole>,
    members: Option<ToldMembers>,
    election_told_ms: Option<u64>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct ToldRole {
    name: &'static str,
    term: u64,
    leader: Option<HostId>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct ToldMembers {
    configuration: Configuration,
    is_committed: bool,
}

impl KeeperLog {
    /// Tells what has changed since the last call; a keeper without a log has no replica.
    pub(crate) fn tell(&mut self, replica: Option<&Replica>, now_ms: u64) {
        self.tell_role(replica);
        if let Some(replica) = replica {
            self.tell_members(replica);
            self.tell_election(replica, now_ms);
        }
    }

    fn tell_role(&mut self, replica: Option<&Replica>) {
        let told = ToldRole {
            name: replica.map_or("blank", Replica::role_name),
            term: replica.map_or(0, Replica::term),
            leader: replica
                .and_then(Replica::leader)
                .map(|leader| HostId::new(leader.host.clone())),
        };
        if self.role.as_ref() == Some(&told) {
            return;
        }
        log::info!(target: part::KEEPER,
            role = told.name, term = told.term,
            last_index = replica.map_or(0, Replica::last_index),
            leader = told.leader.as_ref().map_or("", HostId::as_str);
            "A keeper's role changed");
        self.role = Some(told);
    }

    fn tell_members(&mut self, replica: &Replica) {
        let is_committed = replica.is_configuration_committed();
        let is_told = self.members.as_ref().is_some_and(|told| {
            told.is_committed == is_committed && told.configuration == *replica.configuration()
        });
        if is_told {
            return;
        }
        let configuration = replica.configuration();
        log::info!(target: part::KEEPER,
            voters = names(configuration.voters.iter()),
            learners = names(configuration.learners.iter()),
            quorum = configuration.quorum(), is_committed = is_committed,
            last_index = replica.last_index();
            "The keepers' members changed");
        self.members = Some(ToldMembers { configuration: configuration.clone(), is_committed });
    }

    fn tell_election(&mut self, replica: &Replica, now_ms: u64) {
        let Some(granted) = replica.granted_votes() else {
            self.election_told_ms = None;
            return;
        };
        // Most elections are won in a few milliseconds: only one that is not is told.
        let began_ms = *self.election_told_ms.get_or_insert(now_ms);
        if now_ms < began_ms + ELECTION_LINE_EVERY_MS {
            return;
        }
        self.election_told_ms = Some(now_ms);
        log::warn!(target: part::KEEPER,
            granted = names(granted.iter()), quorum = replica.configuration().quorum(),
            voters = names(replica.configuration().voters.iter()),
            term = replica.term(), last_index = replica.last_index();
            "No leader is elected");
    }
}

fn names<'a>(ids: impl Iterator<Item = &'a ReplicaId>) -> String {
    ids.map(ToString::to_string).collect::<Vec<_>>().join(" ")
}

/// Between two lines of a keeper that still waits to vote: most vote within a second or two.
const WAIT_LINE_EVERY: Duration = Duration::from_secs(2);

/// Tells, now and then, that a keeper waits to vote, and what the others answered to it.
#[derive(Debug, Default)]
pub(crate) struct WaitLog {
    began: Option<Instant>,
    told: Option<Instant>,
}

impl WaitLog {
    pub(crate) fn note(&mut self, stand: &Stand, answers: &BTreeMap<String, Introduction>) {
        let now = Instant::now();
        if stand.votes {
            *self = Self::default();
            return;
        }
        let began = *self.began.get_or_insert(now);
        let told = *self.told.get_or_insert(began);
        if now < told + WAIT_LINE_EVERY {
            return;
        }
        self.told = Some(now);
        let answered = |is_blank: bool| {
            let hosts = answers.iter().filter(|(_, answer)| answer.is_blank() == is_blank);
            hosts.map(|(host, _)| host.as_str()).collect::<Vec<_>>().join(" ")
        };
        log::warn!(target: part::KEEPER,
            waited_ms = (now - began).as_millis() as u64, has_log = stand.has_log,
            members = answered(false), blank = answered(true);
            "A keeper waits to vote");
    }
}
