//! Passes placements and what became of them on to the keeper that places next.
//!
//! The leader tells its deputy, which the hosts ask as soon as the leader is silent. Once another
//! keeper leads, whoever holds placements hands them over.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use clayplank_placement::{Ask, Assignment, Event, PlacementId, Renewed};
use clayplank_state::encode;
use clayplank_types::HostId;
use clayplank_wire::ReportRequest;
use xtra::Address;

use crate::fleet::fleet_keeper::FleetKeeper;
use crate::keepers::keeper::Keeper;
use crate::keepers::keeper_messages::{Placing, WhoPlaces};
use crate::process::clock::now_ms;
use crate::process::lock::lock;
use crate::process::logging::part;
use crate::process::peers::Peers;

/// News are collected for this long: one call for all that came.
const COLLECT: Duration = Duration::from_millis(20);

/// Time for a keeper to take news; a deputy that lost some places a little worse.
const PATIENCE: Duration = Duration::from_millis(150);

/// News that wait while no keeper leads; what comes beyond is not told.
const MAX_NEWS: usize = 4_096;

/// What is held counts for this long, in ms, after the last news: a keeper that hears no more,
/// since another one is the deputy now or since it was cut off, does not learn what has ended.
const FRESH_MS: u64 = 1_500;

/// A placement is forgotten after this time, in ms, though nothing was told of its end: its host has
/// died, or the news was lost. No caller waits as long.
const MAX_HELD_MS: u64 = 60_000;

/// Between two looks for such placements, in ms.
const PRUNE_EVERY_MS: u64 = 1_000;

/// A placement, and when it became known.
#[derive(Debug)]
struct Held {
    renewed: Renewed,
    since_ms: u64,
}

/// Placements that this keeper knows, and what is new of them.
#[derive(Debug, Default)]
pub(crate) struct Mirror {
    held: HashMap<PlacementId, Held>,
    next_prune_ms: u64,
    /// When something was last told, or placed here.
    updated_ms: u64,
    placed: Vec<Renewed>,
    events: Vec<(PlacementId, Event)>,
}

impl Mirror {
    /// Notes a placement of this keeper.
    pub(crate) fn note_placed(&mut self, ask: &Ask, assignment: &Assignment) {
        let renewed =
            Renewed { ask: ask.clone(), assignment: assignment.clone(), is_started: false };
        if self.placed.len() < MAX_NEWS {
            self.placed.push(renewed.clone());
        }
        self.hold(renewed);
    }

    /// Notes placements of another keeper.
    pub(crate) fn take_over(&mut self, placed: Vec<Renewed>) {
        placed.into_iter().for_each(|renewed| self.hold(renewed));
    }

    fn hold(&mut self, renewed: Renewed) {
        let since_ms = now_ms();
        self.updated_ms = since_ms;
        self.held.insert(renewed.ask.id, Held { renewed, since_ms });
    }

    pub(crate) fn is_fresh(&self) -> bool {
        now_ms() < self.updated_ms + FRESH_MS
    }

    /// Notes what became of placements.
    pub(crate) fn note(&mut self, events: &[(PlacementId, Event)]) {
        self.updated_ms = now_ms();
        for (id, event) in events {
            match event {
                Event::Started { .. } => {
                    if let Some(held) = self.held.get_mut(id) {
                        held.renewed.is_started = true;
                    }
                }
                Event::Ended
                | Event::Failed
                | Event::Broken
                | Event::Unreached
                | Event::HelperFailed { .. } => {
                    self.held.remove(id);
                }
            }
        }
        let room = MAX_NEWS.saturating_sub(self.events.len());
        self.events.extend(events.iter().take(room));
    }

    /// Takes out what is new, for the deputy.
    fn take_news(&mut self) -> News {
        self.prune();
        News { placed: std::mem::take(&mut self.placed), events: std::mem::take(&mut self.events) }
    }

    /// All that is held, for a deputy that was told nothing yet.
    fn all_held(&mut self) -> News {
        self.take_news();
        News {
            placed: self.held.values().map(|held| held.renewed.clone()).collect(),
            events: Vec::new(),
        }
    }

    /// Forgets placements whose end was never told.
    fn prune(&mut self) {
        let now_ms = now_ms();
        if now_ms >= self.next_prune_ms {
            self.next_prune_ms = now_ms + PRUNE_EVERY_MS;
            self.held.retain(|_, held| now_ms < held.since_ms + MAX_HELD_MS);
        }
    }

    /// Takes out all placements that are held, for a new leader.
    pub(crate) fn take_held(&mut self) -> News {
        self.take_news();
        let is_fresh = self.is_fresh();
        let held = self.held.drain().map(|(_, held)| held.renewed).filter(|_| is_fresh);
        News { placed: held.collect(), events: Vec::new() }
    }
}

/// What one keeper tells another.
pub(crate) struct News {
    placed: Vec<Renewed>,
    events: Vec<(PlacementId, Event)>,
}

impl News {
    fn is_empty(&self) -> bool {
        self.placed.is_empty() && self.events.is_empty()
    }
}

/// Tells the deputy while this keeper leads, and hands over to another one that does.
pub(crate) async fn run_mirror(
    own: HostId,
    keeper: Address<Keeper>,
    fleet: Arc<FleetKeeper>,
    peers: Peers,
) {
    // The other keeper that leads and was given what is held here.
    let mut followed = None;
    // The deputy that was given what is held here, while this keeper leads.
    let mut told_deputy = None;
    loop {
        clayplank_clock::sleep(COLLECT).await;
        let Ok(placing) = keeper.send(WhoPlaces).await else {
            return;
        };
        let Some(Placing { leader, deputy }) = placing else {
            continue;
        };
        let (to, news) = if leader == own {
            followed = None;
            fleet.keepers().set_deputy(deputy.clone());
            let is_new = deputy.is_some() && told_deputy != deputy;
            told_deputy.clone_from(&deputy);
            let mut mirror = lock(fleet.mirror());
            (deputy, if is_new { mirror.all_held() } else { mirror.take_news() })
        } else if followed.as_ref() != Some(&leader) {
            told_deputy = None;
            followed = Some(leader.clone());
            (Some(leader), fleet.hand_over())
        } else {
            fleet.forget_stale();
            (None, lock(fleet.mirror()).take_news())
        };
        if let Some(to) = to.filter(|_| !news.is_empty()) {
            tokio::spawn(send(peers.clone(), to, news));
        }
    }
}

async fn send(peers: Peers, to: HostId, news: News) {
    let (Ok(placed), Ok(events)) = (encode(&news.placed), encode(&news.events)) else {
        log::error!(target: part::KEEPER, "Placements cannot be told.");
        return;
    };
    let request = ReportRequest { events, placed, ..ReportRequest::default() };
    let sent =
        peers.call(&to, PATIENCE, |mut client| async move { client.report(request).await }).await;
    if let Err(error) = sent {
        log::debug!(target: part::KEEPER, "Placements were not told: {error}.");
    }
}
