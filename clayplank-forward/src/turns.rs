//! Chooses the upstream of a plain service, and waits for a turn where it names a limit.

use std::time::Duration;

use clayplank_registry::Record;

use crate::call::Call;
use crate::choice::{Chosen, NO_UPSTREAM_RETRY_MS};
use crate::clock::millis;
use crate::directory::Choice;
use crate::load::LoadGuard;
use crate::placer::Turn;
use crate::refusal::Refusal;

/// While nobody gives turns, chance picks the hosts that may send, anew in each second.
const ALONE_EVERY: Duration = Duration::from_secs(1);

impl Call {
    /// Chooses an upstream of a plain service: one that takes the request at once, or else the one whose
    /// next turn comes first, if that is in time. What cannot be in time is refused at once.
    pub(crate) async fn choose_service(&self) -> Result<Chosen, Refusal> {
        let directory = &self.entry.directory;
        while let Some(choice) =
            directory.choose(&self.service, &self.entry.data_centre, &self.tried)
        {
            match choice {
                Choice::Counted(record) => return Ok(self.chosen(record)),
                Choice::NeedsTurn(record) => {
                    if self.take_turn(&record, Duration::ZERO).await.is_ok() {
                        return Ok(self.chosen(record));
                    }
                }
            }
        }
        let Some((record, wait)) = directory.soonest_turn(&self.service, &self.tried) else {
            return Err(Refusal::NotRun { retry_after_ms: NO_UPSTREAM_RETRY_MS });
        };
        let patience = millis(self.route.goal_ms).saturating_sub(self.waited()).min(self.left());
        let taken =
            if wait <= patience { self.take_turn(&record, patience).await } else { Err(wait) };
        match taken {
            Ok(()) => Ok(self.chosen(record)),
            Err(wait) => Err(Refusal::NotRun { retry_after_ms: wait.as_millis() as u64 }),
        }
    }

    fn chosen(&self, record: Record) -> Chosen {
        let load = LoadGuard::new(&self.entry, &record.heartbeat.id, None);
        Chosen { record, helpers: String::new(), expected_ms: 0.0, load }
    }

    /// Takes a turn within the patience, and waits for it; the request counts at the upstream from then on.
    ///
    /// # Errors
    /// The time until there is a turn.
    async fn take_turn(&self, record: &Record, patience: Duration) -> Result<(), Duration> {
        let (directory, id) = (&self.entry.directory, &record.heartbeat.id);
        let Some(limit) = directory.limit(id) else {
            directory.count_turn(id);
            return Ok(());
        };
        let wait = match self.entry.placer.take_turn(&limit, patience).await {
            Turn::After(wait) => {
                clayplank_clock::sleep(wait).await;
                directory.count_turn(id);
                return Ok(());
            }
            Turn::Unknown if directory.count_alone(&record.heartbeat) => return Ok(()),
            Turn::Unknown => ALONE_EVERY,
            Turn::NotBefore(wait) => wait,
        };
        directory.note_no_turn(id, wait);
        Err(wait)
    }
}
