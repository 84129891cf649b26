//! Settings of partners: versioned serving templates and client accounts.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use clayplank_settings::{ClientAccount, Template};
use clayplank_types::{DataCentre, Partner, QuarantineEntry};
use serde::{Deserialize, Serialize};

use crate::command::{PlanDocument, Reply, SettingChange};

/// Number of most recent replies to changes that are stored to answer resends: some months of
/// changes.
const MAX_KEPT_REPLIES: usize = 100_000;

/// Identifies a setting.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum SettingKey {
    /// A serving template.
    Template {
        /// Partner that owns the template.
        partner: Partner,
        /// Name of the template, unique among the partner's templates.
        name: String,
    },
    /// A client account.
    Account {
        /// Partner that owns the account.
        partner: Partner,
        /// Name of the account, unique among the partner's accounts.
        name: String,
    },
}

impl SettingKey {
    /// The key of a template.
    pub fn template(partner: &Partner, name: &str) -> Self {
        Self::Template { partner: partner.clone(), name: name.to_owned() }
    }

    /// The key of a client account.
    pub fn account(partner: &Partner, name: &str) -> Self {
        Self::Account { partner: partner.clone(), name: name.to_owned() }
    }

    /// Partner that owns the setting.
    pub fn partner(&self) -> &Partner {
        match self {
            Self::Template { partner, .. } | Self::Account { partner, .. } => partner,
        }
    }
}

/// The value of a setting.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SettingValue {
    /// Value of a serving template.
    Template(Template),
    /// Value of a client account.
    Account(ClientAccount),
}

/// The value of a setting and the revision that set it. A removed setting stays as an entry without
/// a value, with the revision of its removal.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Versioned {
    /// Revision of the last change; it increases with each change.
    pub version: u64,
    /// Current value; `None` if the setting was removed.
    pub value: Option<SettingValue>,
}

/// The changes between two revisions, as sent to hosts.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// Revision that a host has reached once it has applied the delta.
    pub revision: u64,
    /// Changed settings with their latest version.
    pub items: Vec<(SettingKey, Versioned)>,
    /// The serving plan, if it changed; otherwise `None`.
    pub plan: Option<PlanDocument>,
    /// All quarantined requests, if the list changed; otherwise `None`.
    pub held_back: Option<Vec<QuarantineEntry>>,
    /// All cordoned data centres, if the set changed; otherwise `None`.
    pub cordoned: Option<BTreeSet<DataCentre>>,
}

/// All settings of all partners, and the replies to recent changes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Settings {
    /// Latest revision of the whole replicated state: the other parts that hosts follow increase it
    /// too.
    pub(crate) revision: u64,
    items: BTreeMap<SettingKey, Versioned>,
    /// Key of the setting that each revision changed, without revisions that a later change of the
    /// same setting has replaced.
    by_revision: BTreeMap<u64, SettingKey>,
    /// Replies to recent changes, by partner and `change_id`.
    replies: BTreeMap<(Partner, String), Reply>,
    /// Keys of `replies`, oldest first.
    reply_order: VecDeque<(Partner, String)>,
}

impl Settings {
    /// Applies an operator's change. A resend, recognized by its `change_id`, gets the stored
    /// reply.
    pub(crate) fn apply(&mut self, change: &SettingChange) -> Reply {
        let change_key = (change.partner.clone(), change.change_id.clone());
        if let Some(reply) = self.replies.get(&change_key) {
            return reply.clone();
        }
        let reply = match self.validate(change) {
            Ok(()) => self.set(change),
            Err(reply) => reply,
        };
        self.store_reply(change_key, &reply);
        reply
    }

    /// Checks whether the change is allowed; the error is the reply that rejects it.
    fn validate(&self, change: &SettingChange) -> Result<(), Reply> {
        if change.key.partner() != &change.partner {
            return Err(Reply::Forbidden);
        }
        let current = self.items.get(&change.key).cloned().unwrap_or_default();
        let visible_version = if current.value.is_some() { current.version } else { 0 };
        // A removed setting may be created again by an operator who expects either the version of
        // its removal or 0.
        let is_expected = change.expected_version == visible_version
            || change.expected_version == current.version;
        if !is_expected {
            return Err(Reply::Conflict { current: Box::new(current) });
        }
        match (&change.key, &change.value) {
            (SettingKey::Account { .. }, Some(SettingValue::Account(account))) => {
                self.validate_account(change, account)
            }
            (SettingKey::Template { partner, name }, None) => {
                self.validate_template_removal(partner, name)
            }
            (SettingKey::Template { .. }, Some(SettingValue::Template(_)))
            | (SettingKey::Account { .. }, None) => Ok(()),
            (SettingKey::Template { .. }, Some(SettingValue::Account(_)))
            | (SettingKey::Account { .. }, Some(SettingValue::Template(_))) => {
                Err(unfit("", "the value is not of the kind that the key names"))
            }
        }
    }

    fn validate_account(
        &self,
        change: &SettingChange,
        account: &ClientAccount,
    ) -> Result<(), Reply> {
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

    fn validate_template_removal(&self, partner: &Partner, name: &str) -> Result<(), Reply> {
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
        assert!(version > item.version, "the version of a setting increases with each change");
        self.by_revision.remove(&item.version);
        *item = Versioned { version, value: change.value.clone() };
        self.by_revision.insert(version, change.key.clone());
        Reply::Changed { version }
    }

    fn store_reply(&mut self, change_key: (Partner, String), reply: &Reply) {
        self.replies.insert(change_key.clone(), reply.clone());
        self.reply_order.push_back(change_key);
        while self.reply_order.len() > MAX_KEPT_REPLIES {
            if let Some(oldest) = self.reply_order.pop_front() {
                self.replies.remove(&oldest);
            }
        }
    }

    /// Settings that changed after `revision`.
    pub(crate) fn delta_after(&self, revision: u64) -> Delta {
        let changed = self.by_revision.range(revision + 1..).map(|(_, key)| key);
        let items =
            changed.filter_map(|key| self.items.get(key).map(|item| (key.clone(), item.clone())));
        Delta { revision: self.revision, items: items.collect(), ..Delta::default() }
    }

    /// Number of settings, including removed ones.
    pub(crate) fn len(&self) -> usize {
        self.items.len()
    }
}

fn unfit(path: &str, message: &str) -> Reply {
    Reply::Unfit { path: path.to_owned(), message: message.to_owned() }
}
