//! Normal form of the text of an inventory. Changes and digests are computed from it.
//!
//! The normal form has the sections in order of their names and one `key = value` line for each
//! entry, without comments. Two texts with the same normal form declare the same inventory.

use std::collections::BTreeMap;

use sha2::{Digest, Sha256};

use crate::config::ini::Document;
use crate::error::ConfigError;
use crate::peer::row::SectionChange;

/// An inventory in normal form: the lines of each section by the section's name.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct InventoryText {
    sections: BTreeMap<String, String>,
}

impl InventoryText {
    /// Creates the normal form of a parsed file.
    ///
    /// ```
    /// use jujubeusher::config::ini::Document;
    /// use jujubeusher::config::inventory_text::InventoryText;
    /// let document = Document::parse("i.ini", "[b]\nk=1\n[a]\n; note\nk = 2\n").unwrap();
    /// assert_eq!(InventoryText::from_document(&document).render(), "[a]\nk = 2\n[b]\nk = 1\n");
    /// ```
    pub fn from_document(document: &Document) -> Self {
        let sections = document.sections.iter().map(|section| {
            let lines = section
                .entries
                .iter()
                .map(|entry| format!("{} = {}\n", entry.key, entry.value));
            (section.name.clone(), lines.collect())
        });
        Self {
            sections: sections.collect(),
        }
    }

    /// Parses a text, which need not be in normal form. `name` is the file name in error messages.
    pub fn parse(name: &str, bytes: &[u8]) -> Result<Self, ConfigError> {
        Ok(Self::from_document(&Document::parse_bytes(name, bytes)?))
    }

    /// Returns the text in normal form.
    pub fn render(&self) -> String {
        let mut text = String::new();
        for (name, body) in &self.sections {
            text.push('[');
            text.push_str(name);
            text.push_str("]\n");
            text.push_str(body);
        }
        text
    }

    /// Returns the SHA-256 of the normal form, in hexadecimal.
    pub fn digest(&self) -> String {
        let digest = Sha256::digest(self.render().as_bytes());
        digest.iter().map(|byte| format!("{byte:02x}")).collect()
    }

    /// Returns the section changes that turn this text into `next`; removals come first.
    pub fn diff(&self, next: &Self) -> Vec<SectionChange> {
        let removed = self
            .sections
            .keys()
            .filter(|name| !next.sections.contains_key(*name));
        let removed = removed.map(|name| SectionChange {
            name: name.clone(),
            body: None,
        });
        let changed = next
            .sections
            .iter()
            .filter(|(name, body)| self.sections.get(*name) != Some(body));
        let changed = changed.map(|(name, body)| SectionChange {
            name: name.clone(),
            body: Some(body.clone()),
        });
        removed.chain(changed).collect()
    }

    /// Returns this text with `changes` applied.
    pub fn apply(&self, changes: &[SectionChange]) -> Self {
        let mut next = self.clone();
        for change in changes {
            match &change.body {
                Some(body) => next.sections.insert(change.name.clone(), body.clone()),
                None => next.sections.remove(&change.name),
            };
        }
        next
    }

    /// Returns the lines of a section; `None` if the text has no such section.
    pub fn section(&self, name: &str) -> Option<&str> {
        self.sections.get(name).map(String::as_str)
    }
}

#[cfg(test)]
mod tests;
