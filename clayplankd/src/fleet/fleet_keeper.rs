//! A keeper's soft state: registered upstreams, and the load of the engines.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use arc_swap::ArcSwapOption;
use clayplank_placement::{Ask, Event, Fleet, Outlook, Placed, PlacementId, RateLimit, Renewed};
use clayplank_registry::{
    AgedLimit, Buckets, Changes, Cursor, Digest, Heartbeat, LimitChanges, Limits, Noted,
    ObservedLimit, Registry, Standing,
};
use clayplank_routes::PlanIndex;
use clayplank_state::{Delta, PackError, PlanDocument, pack};
use clayplank_types::{DataCentre, HostId, UpstreamId};
use tokio::sync::watch;

use crate::doors::contract::{EngineReport, SharedContract};
use crate::fleet::fleet_engines::{change_engines, set_cordoned, set_engines};
use crate::fleet::host_counts::HostCounts;
use crate::fleet::mirror::{Mirror, News as MirrorNews};
use crate::follow::news_pages::NewsPages;
use crate::follow::plan_edits::PlanEdits;
use crate::follow::relay::Renewals;
use crate::keepers::keeper::Applied;
use crate::keepers::keeper_client::KeeperClient;
use crate::process::clock::{fleet_now_ms, millis, now_ms};
use crate::process::lock::lock;
use crate::process::logging::part;

/// Heartbeats that may be missing before an upstream counts as silent.
const MISSED_HEARTBEATS: u64 = 3;

/// What a late heartbeat may be late by, in ms, beside those that are missing.
const LATE_HEARTBEAT_MS: u64 = 1_500;

/// Hosts that are asked between two looks what they know of upstreams.
const MAX_ASKED_HOSTS: u64 = 4;

/// Between two looks at the age of records, in ms.
const AGE_EVERY_MS: u64 = 200;

/// What a keeper tells a follower of upstreams.
#[derive(Debug, Default)]
pub(crate) struct News {
    /// What the follower lacks, packed.
    pub(crate) changes: Vec<u8>,
    /// Whether it has to tell first what it knows.
    pub(crate) asks_digest: bool,
    /// Where it may know more.
    pub(crate) asks_known: Buckets,
}

impl News {
    /// None for now: a follower that knows something tells what it is when it asks again.
    pub(crate) fn later(cursor: Cursor) -> Result<Self, PackError> {
        let changes = pack(&Changes { cursor, records: Vec::new() })?;
        Ok(Self { changes, asks_digest: cursor.life != 0, ..Self::default() })
    }
}

/// The registry and the fleet of one keeper.
pub(crate) struct FleetKeeper {
    contract: SharedContract,
    keepers: KeeperClient,
    heartbeat_ms: u64,
    started_ms: u64,
    /// Whether an entry host follows that knows upstreams from another keeper's registry.
    is_told_more: AtomicBool,
    /// Whether an entry host has told which upstreams it knows.
    has_learned: AtomicBool,
    /// Hosts that were asked since the last look at the age of records.
    asked_hosts: AtomicU64,
    registry: Mutex<Registry>,
    /// Whether the registry holds news that followers were not told.
    has_news: AtomicBool,
    news_pages: Mutex<NewsPages>,
    limits: Mutex<Limits>,
    /// Turns at upstreams without engines that name a limit.
    turns: Mutex<HashMap<UpstreamId, RateLimit>>,
    /// The registry's newest change.
    changed: watch::Sender<Cursor>,
    fleet: Mutex<Fleet>,
    mirror: Mutex<Mirror>,
    /// Up to which change of the registry the fleet has the engines.
    engines_at: Mutex<Cursor>,
    plan: ArcSwapOption<PlanIndex>,
    edits: Mutex<PlanEdits>,
    entry_hosts: Mutex<HostCounts>,
}

impl FleetKeeper {
    pub(crate) fn new(contract: SharedContract, keepers: KeeperClient, heartbeat_ms: u64) -> Self {
        Self {
            contract,
            keepers,
            heartbeat_ms,
            started_ms: now_ms(),
            is_told_more: AtomicBool::new(false),
            has_learned: AtomicBool::new(false),
            asked_hosts: AtomicU64::new(0),
            registry: Mutex::new(Registry::new(rand::random())),
            has_news: AtomicBool::new(false),
            news_pages: Mutex::default(),
            limits: Mutex::new(Limits::new(rand::random())),
            turns: Mutex::default(),
            changed: watch::Sender::new(Cursor::default()),
            fleet: Mutex::default(),
            mirror: Mutex::default(),
            engines_at: Mutex::default(),
            plan: ArcSwapOption::empty(),
            edits: Mutex::default(),
            entry_hosts: Mutex::default(),
        }
    }

    /// Takes heartbeats in, from upstreams or from other keepers.
    pub(crate) fn apply(&self, heartbeats: &[Heartbeat]) {
        self.note_heartbeats(heartbeats);
        let now_ms = now_ms();
        let mut registry = lock(&self.registry);
        let mut is_urgent = false;
        for heartbeat in heartbeats {
            if registry.apply(now_ms, heartbeat) {
                // Who takes no new work must get none at once; who is new may wait for others.
                is_urgent |= heartbeat.standing != Standing::Ready;
                self.has_news.store(true, Ordering::SeqCst);
                log_standing(heartbeat);
            }
        }
        drop(registry);
        if is_urgent {
            self.tell_news();
        }
    }

    /// Engines that could not be reached are asked again once they are heard of.
    fn note_heartbeats(&self, heartbeats: &[Heartbeat]) {
        let mut fleet = lock(&self.fleet);
        for heartbeat in heartbeats {
            fleet.note_heartbeat(fleet_now_ms(), &heartbeat.id);
        }
    }

    /// Takes in the upstreams that this keeper knew before it ended.
    pub(crate) fn remember(&self, known: &[Heartbeat]) {
        lock(&self.registry).remember(now_ms(), known);
        self.tell_news();
    }

    /// The upstreams that are worth remembering, and the change up to which they count;
    /// `None` if nothing has changed since then.
    pub(crate) fn upstreams_after(&self, saved: Cursor) -> Option<(Cursor, Vec<Heartbeat>)> {
        let registry = lock(&self.registry);
        let cursor = registry.cursor();
        if cursor == saved {
            return None;
        }
        let known = registry.records().map(|record| &record.heartbeat);
        let known = known.filter(|one| one.standing != Standing::Gone);
        Some((cursor, known.cloned().collect()))
    }

    /// Takes in what an entry host knows, which it tells to a keeper that knows less.
    pub(crate) fn learn(&self, known: &[Heartbeat]) {
        if !known.is_empty() {
            self.apply(known);
            self.has_learned.store(true, Ordering::SeqCst);
        }
    }

    /// Notes that an upstream left; returns what the other keepers have to know.
    pub(crate) fn leave(&self, gone: &Heartbeat) -> Heartbeat {
        let gone = lock(&self.registry).leave(now_ms(), gone);
        log_standing(&gone);
        self.tell_news();
        gone
    }

    /// Tells all followers what is new, in one answer for each.
    fn tell_news(&self) {
        self.has_news.store(false, Ordering::SeqCst);
        self.change_engines();
        let cursor = lock(&self.registry).cursor();
        self.changed.send_replace(cursor);
    }

    /// Sets all engines anew.
    fn set_engines(&self) {
        *lock(&self.engines_at) = Cursor::default();
        let Some(plan) = self.plan.load_full() else {
            return;
        };
        let (records, cursor) = {
            let registry = lock(&self.registry);
            (registry.records().cloned().collect::<Vec<_>>(), registry.cursor())
        };
        set_engines(&mut lock(&self.fleet), &plan, &records);
        self.set_named_limits();
        *lock(&self.engines_at) = cursor;
    }

    /// Changes the engines of which there is news: a look costs by what has changed, and not by
    /// how many upstreams there are.
    fn change_engines(&self) {
        let Some(plan) = self.plan.load_full() else {
            return;
        };
        let mut engines_at = lock(&self.engines_at);
        loop {
            let (changes, newest) = {
                let registry = lock(&self.registry);
                (registry.changes_after(*engines_at), registry.cursor())
            };
            change_engines(&mut lock(&self.fleet), &plan, &changes.records);
            *engines_at = changes.cursor;
            if changes.cursor == newest {
                return;
            }
        }
    }

    /// Takes a plan in, unless it is the one that is held.
    fn set_plan(&self, document: &PlanDocument) {
        let held = self.plan.load().as_ref().map(|plan| plan.plan().version);
        if held == Some(document.version) {
            return;
        }
        lock(&self.edits).note(document);
        match self.contract.parse_plan(&document.text) {
            Ok(plan) => {
                self.plan.store(Some(Arc::new(PlanIndex::new(plan))));
                self.set_engines();
            }
            Err(faults) => {
                log::error!(target: part::KEEPER, "Plan {} cannot be read: {faults}", document.version);
            }
        }
    }

    /// Takes in which data centres are to get nothing.
    fn set_cordoned(&self, cordoned: &BTreeSet<DataCentre>) {
        if let Some(plan) = self.plan.load_full() {
            set_cordoned(&mut lock(&self.fleet), &plan, cordoned);
        }
    }

    /// Marks upstreams that are silent for this long, drops what was lost, and tells what is
    /// new: one answer for each follower and look, not one for each upstream that registers.
    fn age(&self, silent_ms: u64) {
        self.asked_hosts.store(0, Ordering::SeqCst);
        lock(&self.fleet).drop_lost(fleet_now_ms());
        let (has_aged, has_forgotten) = {
            let now_ms = now_ms();
            let mut registry = lock(&self.registry);
            let before = registry.cursor();
            let has_forgotten = registry.age(now_ms, silent_ms);
            registry.doubt_remembered(now_ms, 2 * self.heartbeat_ms);
            (registry.cursor() != before, has_forgotten)
        };
        if has_forgotten {
            self.forget_limits();
            self.set_engines();
        }
        if has_aged || self.has_news.load(Ordering::SeqCst) {
            self.tell_news();
        }
    }

    /// Chooses engines; `None` while too little is known of them.
    pub(crate) fn place(&self, ask: &Ask) -> Option<Placed> {
        if self.lacks_upstreams() || self.plan.load().is_none() {
            return None;
        }
        let mut fleet = lock(&self.fleet);
        let placed = fleet.place(fleet_now_ms(), ask);
        if let Placed::At(assignment) = &placed {
            lock(&self.mirror).note_placed(ask, assignment);
        }
        if let Placed::Full { retry_after_ms } = placed {
            let since_ms = fleet.since_first_try_ms(ask);
            log_refused(ask, since_ms, retry_after_ms, &fleet.outlook(fleet_now_ms(), &ask.pool));
        }
        Some(placed)
    }

    /// Whether hosts know upstreams that this keeper has not heard of: it would send all to a
    /// few. Where no host knows more, as after a loss of power, this keeper chooses from the
    /// first moment on; hosts that choose alone would all take the few engines heard first.
    fn lacks_upstreams(&self) -> bool {
        let is_young = now_ms() < self.started_ms + 2 * self.heartbeat_ms;
        is_young
            && self.is_told_more.load(Ordering::SeqCst)
            && !self.has_learned.load(Ordering::SeqCst)
    }

    /// Takes in what became of placements.
    pub(crate) fn note(&self, events: &[(PlacementId, Event)]) {
        lock(&self.mirror).note(events);
        let mut fleet = lock(&self.fleet);
        for (id, event) in events {
            fleet.note(fleet_now_ms(), *id, *event);
        }
    }

    /// Takes in what upstreams said of their limits; returns it by the clock of this host.
    pub(crate) fn note_limits(&self, told: Vec<AgedLimit>) -> Vec<ObservedLimit> {
        let now_ms = now_ms();
        let told: Vec<_> = told.into_iter().map(|limit| limit.into_observed(now_ms)).collect();
        for observed in &told {
            if lock(&self.limits).learn(observed) == Noted::Changed {
                log_limit(observed);
                lock(&self.fleet).set_named_limit(&observed.upstream, observed.requests_per_s);
            }
        }
        told
    }

    /// What a follower lacks of the limits that upstreams name.
    pub(crate) fn limit_changes(&self, cursor: Cursor) -> LimitChanges {
        lock(&self.limits).changes_after(now_ms(), cursor)
    }

    /// Sets the limits of engines that were added anew.
    fn set_named_limits(&self) {
        let limits = lock(&self.limits);
        let mut fleet = lock(&self.fleet);
        for (id, per_s) in limits.limited() {
            fleet.set_named_limit(id, Some(per_s));
        }
    }

    /// Takes a turn at an upstream for a request that waits no longer than `patience_ms`. `Ok` with the time
    /// until its turn, in ms.
    ///
    /// # Errors
    /// The time until there is a turn, in ms.
    pub(crate) fn take_turn(&self, limit: AgedLimit, patience_ms: u64) -> Result<u64, u64> {
        let id = limit.upstream.clone();
        // The host may have heard of the limit just now.
        self.note_limits(vec![limit]);
        let limit_per_s = lock(&self.limits).limit_per_s(&id);
        let mut turns = lock(&self.turns);
        let turn = turns.entry(id).or_default();
        turn.set_named_limit(limit_per_s);
        let taken = turn.take_turn(fleet_now_ms(), patience_ms as f64);
        taken.map(|wait_ms| wait_ms.ceil() as u64).map_err(|wait_ms| wait_ms.ceil() as u64)
    }

    /// Forgets limits of upstreams that this keeper does not know any more.
    fn forget_limits(&self) {
        let registry = lock(&self.registry);
        let is_known = |id: &UpstreamId| registry.record(id).is_some();
        lock(&self.limits).forget(now_ms(), is_known);
        lock(&self.turns).retain(|id, _| is_known(id));
    }

    /// Takes over placements that another keeper made.
    pub(crate) fn take_over(&self, placed: Vec<Renewed>) {
        lock(&self.fleet).take_over(fleet_now_ms(), &placed);
        lock(&self.mirror).take_over(placed);
    }

    /// Takes out the placements that are known here, for a keeper that leads now.
    pub(crate) fn hand_over(&self) -> MirrorNews {
        lock(&self.fleet).forget_placements();
        lock(&self.mirror).take_held()
    }

    /// Forgets placements of which nothing was told lately, on a keeper that does not lead.
    pub(crate) fn forget_stale(&self) {
        if !lock(&self.mirror).is_fresh() {
            self.hand_over();
        }
    }

    /// Placements and events for the keeper that may have to place next.
    pub(crate) fn mirror(&self) -> &Mutex<Mirror> {
        &self.mirror
    }

    /// Engines that should be asked of themselves, and where they are.
    pub(crate) fn take_suspects(&self) -> Vec<(UpstreamId, SocketAddr)> {
        let suspects = lock(&self.fleet).take_suspects(fleet_now_ms());
        let registry = lock(&self.registry);
        let address = |id: &UpstreamId| Some(registry.record(id)?.heartbeat.address);
        suspects.into_iter().filter_map(|id| Some((id.clone(), address(&id)?))).collect()
    }

    /// Takes in what an engine told of itself, unless another life of it answered.
    pub(crate) fn note_report(&self, id: &UpstreamId, report: &EngineReport) {
        if !lock(&self.registry).confirm_life(now_ms(), id, report.born_ms) {
            log::info!(target: part::KEEPER,
                upstream = id.as_str(), answered_born_ms = report.born_ms;
                "Another life of an upstream answered");
            self.tell_news();
            return;
        }
        lock(&self.fleet).note_pace(fleet_now_ms(), id, report.pace);
    }

    /// Notes that no connection to an engine could be had.
    pub(crate) fn note_unreached(&self, id: &UpstreamId) {
        lock(&self.fleet).note_unreached(fleet_now_ms(), id);
    }

    pub(crate) fn contract(&self) -> &SharedContract {
        &self.contract
    }

    pub(crate) fn keepers(&self) -> &KeeperClient {
        &self.keepers
    }

    /// The registry's newest change, and those to come.
    pub(crate) fn subscribe(&self) -> watch::Receiver<Cursor> {
        self.changed.subscribe()
    }

    /// What a follower lacks that knows a registry up to a cursor. One that followed another
    /// registry tells a digest of what it knows, and only what differs crosses, both ways.
    ///
    /// # Errors
    /// The news cannot be packed.
    pub(crate) fn news_for(
        &self,
        cursor: Cursor,
        digest: Option<&Digest>,
    ) -> Result<News, PackError> {
        let registry = lock(&self.registry);
        let newest = registry.cursor();
        if cursor.life == 0 || cursor.life == newest.life {
            let read = || registry.changes_after(cursor);
            let changes = lock(&self.news_pages).packed(newest, cursor, read)?;
            return Ok(News { changes, ..News::default() });
        }
        let Some(digest) = digest else {
            return News::later(cursor);
        };
        let (changes, buckets) = registry.changes_from(digest);
        let changes = pack(&changes)?;
        if buckets.is_empty() || !self.may_ask_host() {
            return Ok(News { changes, ..News::default() });
        }
        self.is_told_more.store(true, Ordering::SeqCst);
        Ok(News { changes, asks_known: buckets, ..News::default() })
    }

    /// Whether one more host should tell what it knows. Hosts know nearly the same, and heartbeats
    /// bring the rest: asking all of them would bring 295 times the same records.
    fn may_ask_host(&self) -> bool {
        let asked = self.asked_hosts.fetch_add(1, Ordering::SeqCst);
        asked < MAX_ASKED_HOSTS
    }

    /// Takes over the placements that lives of entry hosts run.
    pub(crate) fn renew_all(&self, renewals: &Renewals) {
        let mut fleet = lock(&self.fleet);
        for (life, renewed) in renewals {
            fleet.renew(fleet_now_ms(), *life, renewed);
        }
    }

    /// What is known of upstreams, in a few numbers.
    pub(crate) fn digest(&self) -> Digest {
        lock(&self.registry).digest()
    }

    /// The heartbeats of upstreams in some buckets of the digest.
    pub(crate) fn heartbeats_in(&self, buckets: Buckets) -> Vec<Heartbeat> {
        let registry = lock(&self.registry);
        let heartbeats = registry.records().map(|record| &record.heartbeat);
        heartbeats.filter(|one| buckets.contains(&one.id)).cloned().collect()
    }

    /// Takes the plan out of a delta, packed: an edit, or all of it. Empty if there is none.
    pub(crate) fn take_edit(&self, delta: &mut Delta, plan_version: u64) -> Vec<u8> {
        let Some(document) = &delta.plan else {
            return Vec::new();
        };
        let mut edits = lock(&self.edits);
        edits.note(document);
        let edit = edits.edit(plan_version, document);
        if edit.is_some() {
            delta.plan = None;
        }
        edit.unwrap_or_default()
    }

    /// Notes that an entry host follows this keeper now.
    pub(crate) fn note_entry_host(&self, host: HostId) {
        lock(&self.entry_hosts).note_own(now_ms(), host);
    }

    /// Notes how many follow another keeper.
    pub(crate) fn note_relayed_hosts(&self, keeper: HostId, hosts: u64) {
        lock(&self.entry_hosts).note_relayed(now_ms(), keeper, hosts);
    }

    /// Takes in how many hosts there are, as the leader told.
    pub(crate) fn set_told_hosts(&self, hosts: u64) {
        lock(&self.entry_hosts).note_told(now_ms(), hosts);
    }

    /// How many entry hosts follow this keeper.
    pub(crate) fn count_own_hosts(&self) -> u64 {
        lock(&self.entry_hosts).own(now_ms())
    }

    /// How many entry hosts follow any keeper, as far as it is known here.
    pub(crate) fn count_entry_hosts(&self) -> u64 {
        lock(&self.entry_hosts).all(now_ms())
    }

    /// Figures in the Prometheus text format.
    pub(crate) fn to_text(&self) -> String {
        let upstreams = lock(&self.registry).records().count();
        let placed = lock(&self.fleet).placed_count();
        let limited = lock(&self.limits).limited().count();
        format!(
            "clayplank_keeper_upstreams {upstreams}\nclayplank_keeper_limited_upstreams {limited}\n\
             clayplank_keeper_placements {placed}\nclayplank_keeper_entry_hosts {}\n",
            self.count_entry_hosts()
        )
    }
}

fn log_refused(ask: &Ask, since_first_try_ms: f64, retry_after_ms: u64, outlook: &Outlook) {
    log::info!(target: part::KEEPER,
        prompt_tokens = ask.prompt_tokens, since_first_try_ms = since_first_try_ms as u64,
        retry_after_ms = retry_after_ms, engines = outlook.engines,
        taken_slots = outlook.taken_slots, helped_parts = outlook.helped_parts,
        queued_ms = outlook.queued_ms as u64, slowness = outlook.slowness,
        avoided = outlook.avoided, unreached = outlook.unreached, doubtful = outlook.doubtful;
        "Refused a prompt");
}

fn log_standing(heartbeat: &Heartbeat) {
    log::info!(target: part::KEEPER,
        upstream = heartbeat.id.as_str(), standing:? = heartbeat.standing,
        sequence = heartbeat.sequence, address:% = heartbeat.address,
        data_centre = heartbeat.data_centre.as_str(), cold_left_ms = heartbeat.cold_left_ms;
        "An upstream's standing changed");
}

fn log_limit(observed: &ObservedLimit) {
    log::info!(target: part::KEEPER,
        upstream = observed.upstream.as_str(), limit_per_s = observed.requests_per_s;
        "An upstream's limit changed");
}

/// Ages records, and follows what is in force.
pub(crate) async fn run_fleet(fleet: Arc<FleetKeeper>, mut applied: watch::Receiver<Applied>) {
    let silent_ms = MISSED_HEARTBEATS * fleet.heartbeat_ms + LATE_HEARTBEAT_MS;
    loop {
        let now = applied.borrow_and_update().clone();
        if let Some(document) = &now.plan {
            fleet.set_plan(document);
        }
        fleet.set_cordoned(&now.cordoned);
        fleet.age(silent_ms);
        tokio::select! {
            changed = applied.changed() => {
                if changed.is_err() {
                    return;
                }
            }
            () = clayplank_clock::sleep(millis(AGE_EVERY_MS)) => {}
        }
    }
}
