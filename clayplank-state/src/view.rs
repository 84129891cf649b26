//! A host's copy of the settings, kept up to date by deltas from the keepers.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use clayplank_settings::{ClientAccount, EffectiveSettings, KeyDigest, Template};
use clayplank_types::{AccountId, Partner};

use crate::settings::{Delta, SettingKey, SettingValue, Versioned};

/// A delta has a lower revision than the view to which it was applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("stale settings delta: its revision {delta} is lower than the applied revision {applied}")]
pub struct StaleDelta {
    /// Revision of the rejected delta.
    pub delta: u64,
    /// Revision of the view.
    pub applied: u64,
}

/// All settings at one revision. Clones share the keys and values.
#[derive(Clone, Debug, Default)]
pub struct SettingsView {
    revision: u64,
    items: BTreeMap<Arc<SettingKey>, Arc<Versioned>>,
    account_by_digest: HashMap<KeyDigest, Arc<SettingKey>>,
}

impl SettingsView {
    /// Revision of the last applied delta; it never decreases.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// All settings, including removed ones.
    pub fn iter(&self) -> impl Iterator<Item = (&SettingKey, &Versioned)> {
        self.items.iter().map(|(key, item)| (&**key, &**item))
    }

    /// Applies the settings of a delta.
    ///
    /// # Errors
    /// The delta has a lower revision than the view; the view is unchanged then.
    pub fn apply(&mut self, delta: Delta) -> Result<(), StaleDelta> {
        if delta.revision < self.revision {
            return Err(StaleDelta { delta: delta.revision, applied: self.revision });
        }
        for (key, item) in delta.items {
            self.apply_item(key, item);
        }
        self.revision = delta.revision;
        Ok(())
    }

    fn apply_item(&mut self, key: SettingKey, item: Versioned) {
        let previous = self.items.get(&key);
        assert!(
            previous.is_none_or(|previous| previous.version <= item.version),
            "the version of a setting never decreases"
        );
        if let Some(SettingValue::Account(account)) =
            previous.and_then(|previous| previous.value.as_ref())
        {
            self.account_by_digest.remove(&account.key_sha256);
        }
        let key = Arc::new(key);
        if let Some(SettingValue::Account(account)) = &item.value {
            self.account_by_digest.insert(account.key_sha256, Arc::clone(&key));
        }
        self.items.insert(key, Arc::new(item));
    }

    /// Looks up the client account with this bearer key.
    pub fn find_account(&self, key: &str) -> Option<(AccountId, &ClientAccount)> {
        let digest = KeyDigest::of(key);
        let (known_digest, setting_key) = self.account_by_digest.get_key_value(&digest)?;
        if !known_digest.matches(&digest) {
            return None;
        }
        match &**setting_key {
            SettingKey::Account { partner, name } => {
                let id = AccountId::new(partner.clone(), name.clone());
                let account = self.account(&id)?;
                Some((id, account))
            }
            SettingKey::Template { .. } => None,
        }
    }

    /// Looks up a client account by its id; `None` if it does not exist or was removed.
    pub fn account(&self, id: &AccountId) -> Option<&ClientAccount> {
        match &self.items.get(&SettingKey::account(&id.partner, &id.name))?.value {
            Some(SettingValue::Account(account)) => Some(account),
            Some(SettingValue::Template(_)) | None => None,
        }
    }

    /// Looks up a template by its name; `None` if it does not exist or was removed.
    pub fn template(&self, partner: &Partner, name: &str) -> Option<&Template> {
        match &self.items.get(&SettingKey::template(partner, name))?.value {
            Some(SettingValue::Template(template)) => Some(template),
            Some(SettingValue::Account(_)) | None => None,
        }
    }

    /// Effective settings of a request: those of the account, combined with the template that the
    /// request names or else the default template of the account. `None` if either does not exist.
    pub fn effective_settings(
        &self,
        id: &AccountId,
        template: Option<&str>,
    ) -> Option<EffectiveSettings> {
        let account = self.account(id)?;
        let template = self.template(&id.partner, template.unwrap_or(&account.template))?;
        Some(EffectiveSettings::of(account, template))
    }
}
