//! Templates and client accounts with their versions.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use clayplank_settings::{ClientAccount, Template};
use clayplank_types::{DataCentre, HeldBack, Partner};
use serde::{Deserialize, Serialize};

use crate::command::{PlanDocument, Reply, SettingChange};

/// Replies to changes that are kept for resends: some months of changes.
const KEPT_CHANGES: usize = 100_000;

/// Names a setting.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum SettingKey {
    /// A serving template.
    Template {
        /// Whose it is.
        partner: Partner,
        /// Its name.
        name: String,
    },
    /// A client account.
    Account {
        /// Whose it is.
        partner: Partner,
        /// Its name.
        name: String,
    },
}

impl SettingKey {
    /// Names a template.
    pub fn template(partner: &Partner, name: &str) -> Self {
        Self::Template { partner: partner.clone(), name: name.to_owned() }
    }

    /// Names a client account.
    pub fn account(partner: &Partner, name: &str) -> Self {
        Self::Account { partner: partner.clone(), name: name.to_owned() }
    }

    /// Whose setting it is.
    pub fn partner(&self) -> &Partner {
        match self {
            Self::Template { partner, .. } | Self::Account { partner, .. } => partner,
        }
    }
}

/// The value of a setting.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SettingValue {
    /// Of a template.
    Template(Template),
    /// Of a client account.
    Account(ClientAccount),
}

/// A value and the revision that set it. A removed setting keeps its version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Versioned {
    /// Rises with each change.
    pub version: u64,
    /// `None` once it was removed.
    pub value: Option<SettingValue>,
}

/// What changed between two revisions.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// The newest revision that it holds.
    pub revision: u64,
    /// Settings that changed, with their newest value.
    pub items: Vec<(SettingKey, Versioned)>,
    /// The serving plan, if it changed.
    pub plan: Option<PlanDocument>,
    /// All requests that are held back, if that has changed.
    pub held_back: Option<Vec<HeldBack>>,
    /// All data centres whose upstreams get nothing, if that has changed.
    pub cordoned: Option<BTreeSet<DataCentre>>,
}

/// All settings of all partners.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Settings {
    pub(crate) revision: u64,
    items: BTreeMap<SettingKey, Versioned>,
    by_revision: BTreeMap<u64, SettingKey>,
    replies: BTreeMap<(Partner, String), Reply>,
    reply_order: VecDeque<(Partner, String)>,
}

impl Settings {
    pub(crate) fn apply(&mut self, change: &SettingChange) -> Reply {
        let change_key = (change.partner.clone(), change.change_id.clone());
        if let Some(first) = self.replies.get(&change_key) {
            return first.clone();
        }
        let reply = match self.plan(change) {
            Ok(()) => self.set(change),
            Err(reply) => reply,
        };
        self.keep_reply(change_key, &reply);
        reply
    }

    /// Whether the change may be made.
    fn plan(&self, change: &SettingChange) -> Result<(), Reply> {
        if change.key.partner() != &change.partner {
            return Err(Reply::Forbidden);
        }
        let current = self.items.get(&change.key).cloned().unwrap_or_default();
        let seen = if current.value.is_some() { current.version } else { 0 };
        // A removed setting may be made anew by one who saw it removed, or never saw it.
        let is_seen = change.expected_version == seen || change.expected_version == current.version;
        if !is_seen {
            return Err(Reply::Conflict { current: Box::new(current) });
        }
        match (&change.key, &change.value) {
            (SettingKey::Account { .. }, Some(SettingValue::Account(account))) => {
                self.plan_account(change, account)
            }
            (SettingKey::Template { partner, name }, None) => self.plan_removal(partner, name),
            (SettingKey::Template { .. }, Some(SettingValue::Template(_)))
            | (SettingKey::Account { .. }, None) => Ok(()),
            (SettingKey::Template { .. }, Some(SettingValue::Account(_)))
            | (SettingKey::Account { .. }, Some(SettingValue::Template(_))) => {
                Err(unfit("", "the value is not of the kind that the key names"))
            }
        }
    }

    fn plan_account(&self, change: &SettingChange, account: &ClientAccount) -> Result<(), Reply> {
        let template = SettingKey::template(&change.partner, &account.template);
        if self.items.get(&template).is_none_or(|item| item.value.is_none()) {
            return Err(unfit("/template", "must name a template of the same partner"));
        }
        let is_taken = self
            .accounts()
            .any(|(key, other)| *key != change.key && other.key_sha256 == account.key_sha256);
        if is_taken {
            Err(unfit("/key_sha256", "must not be the key of another account"))
        } else {
            Ok(())
        }
    }

    fn plan_removal(&self, partner: &Partner, name: &str) -> Result<(), Reply> {
        let is_used = self
            .accounts()
            .any(|(key, account)| key.partner() == partner && account.template == name);
        if is_used { Err(unfit("", "the template is used by a client account")) } else { Ok(()) }
    }

    fn accounts(&self) -> impl Iterator<Item = (&SettingKey, &ClientAccount)> {
        self.items.iter().filter_map(|(key, item)| match &item.value {
            Some(SettingValue::Account(account)) => Some((key, account)),
            Some(SettingValue::Template(_)) | None => None,
        })
    }

    fn set(&mut self, change: &SettingChange) -> Reply {
        self.revision += 1;
        let version = self.revision;
        let item = self.items.entry(change.key.clone()).or_default();
        assert!(version > item.version, "versions only rise");
        self.by_revision.remove(&item.version);
        *item = Versioned { version, value: change.value.clone() };
        self.by_revision.insert(version, change.key.clone());
        Reply::Changed { version }
    }

    fn keep_reply(&mut self, change_key: (Partner, String), reply: &Reply) {
        self.replies.insert(change_key.clone(), reply.clone());
        self.reply_order.push_back(change_key);
        while self.reply_order.len() > KEPT_CHANGES {
            if let Some(oldest) = self.reply_order.pop_front() {
                self.replies.remove(&oldest);
            }
        }
    }

    /// What changed after a revision.
    pub(crate) fn delta_after(&self, revision: u64) -> Delta {
        let changed = self.by_revision.range(revision + 1..).map(|(_, key)| key);
        let items =
            changed.filter_map(|key| self.items.get(key).map(|item| (key.clone(), item.clone())));
        Delta { revision: self.revision, items: items.collect(), ..Delta::default() }
    }

    pub(crate) fn len(&self) -> usize {
        self.items.len()
    }
}

fn unfit(path: &str, message: &str) -> Reply {
    Reply::Unfit { path: path.to_owned(), message: message.to_owned() }
}
