//! Holds the text in force and the recent changes, and applies what arrives.

use std::collections::VecDeque;
use std::sync::Arc;

use parking_lot::Mutex;

use crate::config::ini::Document;
use crate::config::inventory::Inventory;
use crate::config::text::InventoryText;
use crate::control::config::{ConfigStore, Configuration, Head};
use crate::decide::version::{DELTAS_MAX, Step, step};
use crate::ids::ConfigVersion;
use crate::peer::row::ConfigPush;

/// The text in force with the changes that led to it.
#[derive(Debug, Default)]
struct Held {
    head: Option<Head>,
    text: InventoryText,
    recent: VecDeque<ConfigPush>,
}

/// What became of an offered change or text.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ApplyResult {
    /// It is in force now.
    Applied,
    /// It is not newer than what is in force.
    Stale,
    /// It does not follow what is in force; the whole text or changes between are missing.
    Gap,
    /// It does not lead to the accepted text, or is no valid inventory.
    Invalid,
}

/// Owner of the text in force. Clones share the same state.
#[derive(Debug, Clone)]
pub struct ConfigApplier {
    store: ConfigStore,
    held: Arc<Mutex<Held>>,
}

impl ConfigApplier {
    /// An applier without a text.
    pub fn open(store: ConfigStore) -> Self {
        Self {
            store,
            held: Arc::default(),
        }
    }

    /// Version in force.
    pub fn version(&self) -> ConfigVersion {
        self.store.current().version
    }

    /// Where the configuration in force can be read.
    pub fn store(&self) -> &ConfigStore {
        &self.store
    }

    /// Takes up one change.
    pub fn apply_change(&self, push: &ConfigPush) -> ApplyResult {
        let mut held = self.held.lock();
        let sections = match step(self.version(), push.version, push.sections.is_some()) {
            Step::Ignore => return ApplyResult::Stale,
            Step::Ask => return ApplyResult::Gap,
            Step::Apply => push.sections.as_deref().unwrap_or_default(),
        };
        let text = held.text.apply(sections);
        let taken = self.put_in_force(&mut held, Head::from(push), text);
        if taken == ApplyResult::Applied {
            held.recent.push_back(push.clone());
            if held.recent.len() as u64 > DELTAS_MAX {
                held.recent.pop_front();
            }
        }
        taken
    }

    /// Takes up a whole text.
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
        let mut held = self.held.lock();
        if head.version <= self.version() {
            return ApplyResult::Stale;
        }
        let taken = self.put_in_force(&mut held, head, text);
        if taken == ApplyResult::Applied {
            held.recent.clear();
        }
        taken
    }

    fn put_in_force(&self, held: &mut Held, head: Head, text: InventoryText) -> ApplyResult {
        let rendered = text.render();
        if text.digest() != head.digest {
            log::warn!(
                "event=config_refused version={} error=\"the digest differs from the accepted text's\"",
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
        let is_taken = self.store.replace_if_newer(Configuration {
            version: head.version,
            change_id: head.change_id.clone(),
            inventory,
        });
        if !is_taken {
            return ApplyResult::Stale;
        }
        held.head = Some(head);
        held.text = text;
        ApplyResult::Applied
    }

    /// The changes after a version up to the one in force, if all are at hand.
    pub fn changes_after(&self, version: ConfigVersion) -> Option<Vec<ConfigPush>> {
        let held = self.held.lock();
        let first = held.recent.front()?;
        if version.0 == 0 || first.version.0 > version.0 + 1 {
            return None;
        }
        let newer = held.recent.iter().filter(|push| push.version > version);
        Some(newer.cloned().collect())
    }

    /// The text in force with its head.
    pub fn full_text(&self) -> Option<(Head, String)> {
        let held = self.held.lock();
        let head = held.head.clone()?;
        Some((head, held.text.render()))
    }
}
