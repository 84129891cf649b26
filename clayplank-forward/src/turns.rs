//! Chooses the upstream of a plain service, and waits for a turn where it names a limit.

use std::time::Duration;

use clayplank_registry::Record;

use crate::call::Call;
use crate::choice::{Chosen, NO_UPSTREAM_RETRY_MS};
use crate::clock::millis;
use crate::directory::Choice;
use crate::entry::Entry;
use crate::load::LoadGuard;
use crate::placer::Turn;
use crate::refusal::Refusal;

/// While nobody gives turns, chance picks the hosts that may send, anew in each second.
const ALONE_EVERY: Duration = Duration::from_secs(1);

/// What became of the wait for a turn.
enum Waited {
    /// The request may go, and counts at the upstream.
    Taken,
    /// There is no turn before this time.
    NotBefore(Duration),
    /// The upstream takes nothing new any more.
    Unusable,
}

impl Call {
    /// Chooses an upstream of a plain service: one that takes the request at once, or else the one whose
    /// next turn comes first, if that is in time. What cannot be in time is refused at once.
    pub(crate) async fn choose_service(&self) -> Result<Chosen, Refusal> {
        let directory = &self.entry.directory;
        loop {
            if let Some(record) = self.choose_at_once().await {
                return Ok(self.chosen(record));
            }
            let Some((record, wait)) = directory.soonest_turn(&self.service, &self.tried) else {
                return Err(Refusal::NotRun { retry_after_ms: NO_UPSTREAM_RETRY_MS });
            };
            let left = millis(self.route.goal_ms).saturating_sub(self.waited()).min(self.left());
            let waited = if wait <= left {
                self.take_turn(&record, left).await
            } else {
                Waited::NotBefore(wait)
            };
            match waited {
                Waited::Taken => return Ok(self.chosen(record)),
                Waited::NotBefore(wait) => {
                    return Err(Refusal::NotRun { retry_after_ms: wait.as_millis() as u64 });
                }
                Waited::Unusable => {}
            }
        }
    }

    /// An upstream that takes the request without a wait.
    async fn choose_at_once(&self) -> Option<Record> {
        let Entry { directory, data_centre, .. } = &*self.entry;
        loop {
            match directory.choose(&self.service, data_centre, &self.tried)? {
                Choice::Counted(record) => return Some(record),
                Choice::NeedsTurn(record) => match self.take_turn(&record, Duration::ZERO).await {
                    Waited::Taken => return Some(record),
                    Waited::NotBefore(_) | Waited::Unusable => {}
                },
            }
        }
    }

    fn chosen(&self, record: Record) -> Chosen {
        let load = LoadGuard::new(&self.entry, &record.heartbeat.id, None);
        Chosen { record, helpers: String::new(), expected_ms: 0.0, load }
    }

    /// Takes a turn within the patience, and waits for it.
    async fn take_turn(&self, record: &Record, patience: Duration) -> Waited {
        let (directory, id) = (&self.entry.directory, &record.heartbeat.id);
        let Some(limit) = directory.limit(id) else {
            directory.count_turn(id);
            return Waited::Taken;
        };
        let wait = match self.entry.placer.take_turn(&limit, patience).await {
            Turn::After(wait) => {
                clayplank_clock::sleep(wait).await;
                // It may leave by now, or its data centre may be emptied.
                if directory.usable_record(id).is_none() {
                    return Waited::Unusable;
                }
                directory.count_turn(id);
                return Waited::Taken;
            }
            Turn::Unknown if directory.count_alone(&record.heartbeat) => return Waited::Taken,
            Turn::Unknown => ALONE_EVERY,
            Turn::NotBefore(wait) => wait,
        };
        directory.note_no_turn(id, wait);
        Waited::NotBefore(wait)
    }
}
