//! Invariants that are checked at the end of a run.

use clayplank_agreement::{Payload, ReplicaId};

use super::{Keeper, Keepers, ProcessState};

impl Keepers {
    /// Checks that there is a leader that commits entries and has all acknowledged commands. The
    /// error describes the failure.
    pub fn check_leader(&self) -> Result<(), String> {
        let running = self.all.values().filter_map(|keeper| keeper.replica.as_ref());
        let mut leaders: Vec<_> = running.filter(|replica| replica.is_leader()).collect();
        leaders.sort_by_key(|replica| replica.term());
        let Some(leader) = leaders.last() else {
            return Err(format!("there is no leader\n{}", self.describe()));
        };
        if leader.term_at(leader.commit_index()) != Some(leader.term()) {
            return Err(format!(
                "{} has committed no entry of its term\n{}",
                leader.id(),
                self.describe()
            ));
        }
        let disk = self.all[&leader.id().host].disk.as_ref().unwrap();
        for (index, command) in &self.acknowledged {
            let has_entry = disk.entries.iter().any(|entry| {
                entry.index == *index && entry.payload == Payload::Command(command.clone())
            });
            if !has_entry {
                return Err(format!("entry {index} is lost\n{}", self.describe()));
            }
        }
        Ok(())
    }

    /// Checks that every keeper that was not replaced is a voter.
    pub fn check_all_vote(&self) -> Result<(), String> {
        let is_voter = |keeper: &&Keeper| {
            keeper
                .replica
                .as_ref()
                .is_some_and(|replica| replica.configuration().voters.contains(&keeper.id))
        };
        let present = self.all.values().filter(|keeper| keeper.state != ProcessState::Replaced);
        match present.clone().all(|keeper| is_voter(&keeper)) {
            true => Ok(()),
            false => Err(format!("not all keepers are voters\n{}", self.describe())),
        }
    }

    pub fn acknowledged_count(&self) -> usize {
        self.acknowledged.len()
    }

    fn describe(&self) -> String {
        let mut lines = self.history.clone();
        for (host, keeper) in &self.all {
            let replica = keeper.replica.as_ref().map(|replica| {
                let members = replica.configuration();
                let names = |ids: &std::collections::BTreeSet<ReplicaId>| {
                    ids.iter().map(ToString::to_string).collect::<Vec<_>>().join(" ")
                };
                format!(
                    "{} term {} last {} committed {} voters [{}] learners [{}]",
                    replica.role_name(),
                    replica.term(),
                    replica.last_index(),
                    replica.commit_index(),
                    names(&members.voters),
                    names(&members.learners),
                )
            });
            let state = keeper.state;
            lines.push(format!("{host}: {state:?}, {}", replica.unwrap_or("no log".to_owned())));
        }
        lines.join("\n")
    }
}
