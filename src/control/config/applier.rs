//! Verifies and applies configuration changes and full texts, and keeps the text in force with
//! its recent changes.

use std::collections::VecDeque;
use std::sync::Arc;

use parking_lot::Mutex;

use crate::config::ini::Document;
use crate::config::inventory::Inventory;
use crate::config::inventory_text::InventoryText;
use crate::control::config::{ConfigStore, Configuration, Head};
use crate::decide::version::{ChangeAction, DELTAS_MAX, check_change};
use crate::ids::ConfigVersion;
use crate::peer::row::ConfigPush;

/// The text in force and the recent changes that led to it.
#[derive(Debug, Default)]
struct AppliedText {
    head: Option<Head>,
    text: InventoryText,
    recent: VecDeque<ConfigPush>,
}

/// Result of applying a change or a full text.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ApplyResult {
    /// It is in force now.
    Applied,
    /// Its version is not higher than the one in force.
    Stale,
    /// It does not follow the version in force: the changes in between or the full text are
    /// missing.
    Gap,
    /// The resulting text does not match the accepted digest or is not a valid inventory.
    Invalid,
}

/// Applies configuration versions to a `ConfigStore`. Clones share the same state.
#[derive(Debug, Clone)]
pub struct ConfigApplier {
    store: ConfigStore,
    applied: Arc<Mutex<AppliedText>>,
}

impl ConfigApplier {
    /// Creates an applier without a text.
    pub fn new(store: ConfigStore) -> Self {
        Self {
            store,
            applied: Arc::default(),
        }
    }

    /// Version in force.
    pub fn version(&self) -> ConfigVersion {
        self.store.current().version
    }

    /// The store with the configuration in force.
    pub fn store(&self) -> &ConfigStore {
        &self.store
    }

    /// Applies one change to the text in force.
    pub fn apply_change(&self, push: &ConfigPush) -> ApplyResult {
        let mut applied = self.applied.lock();
        let sections = match check_change(self.version(), push.version, push.sections.is_some()) {
            ChangeAction::Ignore => return ApplyResult::Stale,
            ChangeAction::RequestMissing => return ApplyResult::Gap,
            ChangeAction::Apply => push.sections.as_deref().unwrap_or_default(),
        };
        let text = applied.text.apply(sections);
        let result = self.put_in_force(&mut applied, Head::from(push), text);
        if result == ApplyResult::Applied {
            applied.recent.push_back(push.clone());
            if applied.recent.len() as u64 > DELTAS_MAX {
                applied.recent.pop_front();
            }
        }
        result
    }

    /// Applies a full text, which replaces the one in force.
    pub fn apply_full_text(&self, head: Head, bytes: &[u8]) -> ApplyResult {
        let text = match InventoryText::parse(&head.object_key(), bytes) {
            Ok(text) => text,
            Err(error) => {
                log::warn!(
                    "event=config_refused version={} error=\"{error}\"",
                    head.version
                );
                return ApplyResult::Invalid;
            }
        };
        let mut applied = self.applied.lock();
        if head.version <= self.version() {
            return ApplyResult::Stale;
        }
        let result = self.put_in_force(&mut applied, head, text);
        if result == ApplyResult::Applied {
            applied.recent.clear();
        }
        result
    }

    fn put_in_force(
        &self,
        applied: &mut AppliedText,
        head: Head,
        text: InventoryText,
    ) -> ApplyResult {
        let rendered = text.render();
        if text.digest() != head.digest {
            log::warn!(
                "event=config_refused version={} error=\"the text does not match the accepted digest\"",
                head.version
            );
            return ApplyResult::Invalid;
        }
        let parsed = Document::parse(&head.object_key(), &rendered)
            .and_then(|document| Inventory::from_document(&document));
        let inventory = match parsed {
            Ok(inventory) => inventory,
            Err(error) => {
                log::warn!(
                    "event=config_refused version={} error=\"{error}\"",
                    head.version
                );
                return ApplyResult::Invalid;
            }
        };
        let is_newer = self.store.replace_if_newer(Configuration {
            version: head.version,
            change_id: head.change_id.clone(),
            inventory,
        });
        if !is_newer {
            return ApplyResult::Stale;
        }
        applied.head = Some(head);
        applied.text = text;
        ApplyResult::Applied
    }

    /// The changes after a version up to the one in force; none unless all are available.
    pub fn changes_after(&self, version: ConfigVersion) -> Option<Vec<ConfigPush>> {
        let applied = self.applied.lock();
        let first = applied.recent.front()?;
        if version.0 == 0 || first.version.0 > version.0 + 1 {
            return None;
        }
        let newer = applied.recent.iter().filter(|push| push.version > version);
        Some(newer.cloned().collect())
    }

    /// The text in force with its head; none before the first version.
    pub fn full_text(&self) -> Option<(Head, String)> {
        let applied = self.applied.lock();
        let head = applied.head.clone()?;
        Some((head, applied.text.render()))
    }
}
