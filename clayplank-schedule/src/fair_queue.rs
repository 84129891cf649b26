//! Weighted fair queueing among accounts, with priority classes that age.
//!
//! Start-time fair queueing (Goyal, Vin and Cheng, SIGCOMM 1996): an account's
//! virtual time advances by the tokens served to it, divided by its weight, and
//! the account with the lowest virtual time is served first. An account that
//! becomes active again starts at the queue's virtual clock: while it was idle
//! others used its share, and it regains the share at once.

use std::collections::{BTreeSet, HashMap};

use clayplank_types::{Priority, RequestId};

/// Virtual time that one token takes at a weight of one.
const VIRTUAL_TIME_PER_TOKEN: u64 = 1_000;

const CLASSES: usize = Priority::ALL.len();

/// Number of an account, assigned by the scheduler.
pub(crate) type AccountIndex = u32;

/// A waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Waiting {
    pub(crate) request_id: RequestId,
    pub(crate) account: AccountIndex,
    pub(crate) share: u64,
    pub(crate) class: Priority,
    pub(crate) arrived_ms: u64,
    /// Order within an account and class: the lowest goes first.
    pub(crate) rank: u64,
    pub(crate) cost_tokens: u64,
}

#[derive(Debug, Default)]
struct AccountBacklog {
    virtual_time: u64,
    share: u64,
    waiting: [BTreeSet<(u64, RequestId)>; CLASSES],
    queued_tokens: [u64; CLASSES],
}

impl AccountBacklog {
    fn is_empty(&self) -> bool {
        self.waiting.iter().all(BTreeSet::is_empty)
    }
}

/// Queue of requests of many accounts.
#[derive(Debug)]
pub(crate) struct FairQueue {
    ageing_ms: u64,
    requests: HashMap<RequestId, Waiting>,
    accounts: HashMap<AccountIndex, AccountBacklog>,
    /// Accounts with waiting requests of a class, by virtual time.
    by_virtual_time: [BTreeSet<(u64, AccountIndex)>; CLASSES],
    /// Waiting requests of a class, by arrival time.
    by_arrival: [BTreeSet<(u64, RequestId)>; CLASSES],
    virtual_clock: u64,
    queued_tokens: u64,
    active_share: u64,
}

impl FairQueue {
    pub(crate) fn new(ageing_ms: u64) -> Self {
        Self {
            ageing_ms,
            requests: HashMap::new(),
            accounts: HashMap::new(),
            by_virtual_time: Default::default(),
            by_arrival: Default::default(),
            virtual_clock: 0,
            queued_tokens: 0,
            active_share: 0,
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.requests.len()
    }

    /// Estimated tokens of all accounts served before a request, which may be queued already
    /// or new.
    ///
    /// The virtual clock advances by the tokens served divided by the sum of the active
    /// weights. A request starts when the clock reaches the virtual time of its account.
    pub(crate) fn tokens_ahead(
        &self,
        account: AccountIndex,
        share: u64,
        class: Priority,
        request: RequestId,
    ) -> f64 {
        if self.requests.is_empty() {
            return 0.0;
        }
        let known = self.accounts.get(&account);
        let is_active = known.is_some_and(|backlog| !backlog.is_empty());
        let lead =
            known.map_or(0, |backlog| backlog.virtual_time.saturating_sub(self.virtual_clock));
        let queued: u64 =
            known.map_or(0, |backlog| backlog.queued_tokens[..=class.rank()].iter().sum());
        let request_tokens = self.requests.get(&request).map_or(0, |waiting| waiting.cost_tokens);
        let ahead_in_account = (queued - request_tokens.min(queued)) as f64 / share as f64;
        let virtual_wait = lead as f64 / VIRTUAL_TIME_PER_TOKEN as f64 + ahead_in_account;
        let total_share = self.active_share + if is_active { 0 } else { share };
        // The request at the head of the queue is served in any case; it has average cost.
        let next_tokens = self.queued_tokens as f64 / self.requests.len() as f64;
        virtual_wait * total_share as f64 + next_tokens
    }

    pub(crate) fn push(&mut self, waiting: Waiting) {
        let class = waiting.class.rank();
        let backlog = self.accounts.entry(waiting.account).or_default();
        if backlog.is_empty() {
            backlog.virtual_time = backlog.virtual_time.max(self.virtual_clock);
            backlog.share = waiting.share.max(1);
            self.active_share += backlog.share;
        }
        backlog.waiting[class].insert((waiting.rank, waiting.request_id));
        backlog.queued_tokens[class] += waiting.cost_tokens;
        self.queued_tokens += waiting.cost_tokens;
        self.by_virtual_time[class].insert((backlog.virtual_time, waiting.account));
        self.by_arrival[class].insert((waiting.arrived_ms, waiting.request_id));
        self.requests.insert(waiting.request_id, waiting);
    }

    /// Returns the last request of each account, for up to `max` accounts.
    pub(crate) fn last_requests(&self, max: usize) -> Vec<RequestId> {
        let waiting = self.by_virtual_time.iter().flatten().map(|&(_, account)| account).take(max);
        let last = |account: AccountIndex| {
            let classes = self.accounts.get(&account)?.waiting.iter().rev();
            classes.flat_map(|class| class.last()).next().map(|&(_, request_id)| request_id)
        };
        waiting.filter_map(last).collect()
    }

    /// Returns the request to be served next.
    pub(crate) fn peek(&self) -> Option<RequestId> {
        let class = self.choose_class()?;
        let (_, account) = self.by_virtual_time[class].first()?;
        let (_, request_id) = self.accounts.get(account)?.waiting[class].first()?;
        Some(*request_id)
    }

    /// The class to be served next. Waiting for `ageing_ms` makes a request one class more
    /// urgent, so the oldest request of each class is compared by its arrival time plus
    /// `ageing_ms` per class below the highest.
    fn choose_class(&self) -> Option<usize> {
        let aged_arrival_ms = |class: usize| {
            let (arrived_ms, _) = self.by_arrival[class].first()?;
            Some((arrived_ms + class as u64 * self.ageing_ms, class))
        };
        (0..CLASSES).filter_map(aged_arrival_ms).min().map(|(_, class)| class)
    }

    /// Removes a request that is dispatched, and charges its account for it.
    pub(crate) fn take(&mut self, request_id: RequestId) -> Option<Waiting> {
        let waiting = self.requests.get(&request_id).copied()?;
        let start = self.accounts.get(&waiting.account)?.virtual_time;
        self.virtual_clock = self.virtual_clock.max(start);
        self.remove(request_id, waiting.cost_tokens)
    }

    /// Removes a request that is not going to run; its account is not charged.
    pub(crate) fn discard(&mut self, request_id: RequestId) -> Option<Waiting> {
        self.remove(request_id, 0)
    }

    fn remove(&mut self, request_id: RequestId, charged_tokens: u64) -> Option<Waiting> {
        let waiting = self.requests.remove(&request_id)?;
        let backlog = self.accounts.get_mut(&waiting.account)?;
        let before = backlog.virtual_time;
        backlog.virtual_time += charged_tokens * VIRTUAL_TIME_PER_TOKEN / backlog.share;
        backlog.waiting[waiting.class.rank()].remove(&(waiting.rank, request_id));
        backlog.queued_tokens[waiting.class.rank()] -= waiting.cost_tokens;
        self.queued_tokens -= waiting.cost_tokens;
        self.by_arrival[waiting.class.rank()].remove(&(waiting.arrived_ms, request_id));
        for class in 0..CLASSES {
            self.by_virtual_time[class].remove(&(before, waiting.account));
            if !backlog.waiting[class].is_empty() {
                self.by_virtual_time[class].insert((backlog.virtual_time, waiting.account));
            }
        }
        if backlog.is_empty() {
            self.active_share -= backlog.share;
        }
        self.remove_if_idle(waiting.account);
        Some(waiting)
    }

    /// Removes an idle account that is not ahead of the virtual clock: on its return it would
    /// start at the clock anyway.
    fn remove_if_idle(&mut self, account: AccountIndex) {
        let idle = |backlog: &AccountBacklog| {
            backlog.is_empty() && backlog.virtual_time <= self.virtual_clock
        };
        if self.accounts.get(&account).is_some_and(idle) {
            self.accounts.remove(&account);
        }
    }
}
