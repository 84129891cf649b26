//! What has to hold of keepers at the end of a run.

use clayplank_agreement::{Payload, ReplicaId};

use super::{Keeper, Keepers, Life};

impl Keepers {
    /// Whether some keeper leads, and holds all that was acknowledged; and if not, why.
    pub fn check_led(&self) -> Result<(), String> {
        let up = self.all.values().filter_map(|keeper| keeper.replica.as_ref());
        let mut leaders: Vec<_> = up.filter(|replica| replica.is_leader()).collect();
        leaders.sort_by_key(|replica| replica.term());
        let Some(leader) = leaders.last() else {
            return Err(format!("nobody leads\n{}", self.describe()));
        };
        if leader.term_at(leader.commit_index()) != Some(leader.term()) {
            return Err(format!("{} commits nothing\n{}", leader.id(), self.describe()));
        }
        let disk = self.all[&leader.id().host].disk.as_ref().unwrap();
        for (index, command) in &self.acknowledged {
            let is_held = disk.entries.iter().any(|entry| {
                entry.index == *index && entry.payload == Payload::Command(command.clone())
            });
            if !is_held {
                return Err(format!("entry {index} is lost\n{}", self.describe()));
            }
        }
        Ok(())
    }

    /// Whether every keeper that is there votes.
    pub fn check_all_vote(&self) -> Result<(), String> {
        let is_voter = |keeper: &&Keeper| {
            keeper
                .replica
                .as_ref()
                .is_some_and(|replica| replica.configuration().voters.contains(&keeper.id))
        };
        let present = self.all.values().filter(|keeper| keeper.life != Life::Gone);
        match present.clone().all(|keeper| is_voter(&keeper)) {
            true => Ok(()),
            false => Err(format!("not all vote\n{}", self.describe())),
        }
    }

    pub fn acknowledged_count(&self) -> usize {
        self.acknowledged.len()
    }

    fn describe(&self) -> String {
        let mut lines = self.told.clone();
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
            let life = keeper.life;
            lines.push(format!("{host}: {life:?}, {}", replica.unwrap_or("no log".to_owned())));
        }
        lines.join("\n")
    }
}
