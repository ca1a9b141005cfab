//! Parsing and validation of INI files. Every error names the file, the line and a remedy.

use std::collections::HashSet;
use std::fs::File;
use std::io::Read;
use std::path::Path;
use std::str::FromStr;

use ini::{Ini, ParseOption};

use crate::error::{ConfigError, Result};

/// Maximum size of a file; larger files are rejected.
pub const FILE_MAX_BYTES: u64 = 8 * 1024 * 1024;

/// One `key = value` line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// Key as written in the file.
    pub key: String,
    /// Value without surrounding white space; may be empty.
    pub value: String,
    /// Line number, counted from 1.
    pub line: usize,
}

/// One section with its entries in file order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Section {
    /// Text between the brackets: the kind and, for some kinds, a label.
    pub name: String,
    /// Line number of the section header, counted from 1.
    pub line: usize,
    /// Entries in file order.
    pub entries: Vec<Entry>,
}

/// A parsed file that keeps the line number of each section and entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Document {
    /// File name used in error messages.
    pub file: String,
    /// Sections in file order.
    pub sections: Vec<Section>,
}

fn config_error(file: &str, line: usize, problem: impl Into<String>, remedy: &str) -> ConfigError {
    ConfigError {
        file: file.to_owned(),
        line,
        problem: problem.into(),
        remedy: remedy.to_owned(),
    }
}

/// Line number of a section header or an entry.
enum Position {
    Section(usize),
    Entry(usize),
}

/// Returns the line numbers of sections and entries, and rejects lines that are neither.
///
/// The INI library accepts keys that span several lines and `:` in place of `=`, so it would merge
/// a malformed line into the line next to it.
fn scan_positions(file: &str, text: &str) -> std::result::Result<Vec<Position>, ConfigError> {
    let mut positions = Vec::new();
    for (index, line) in text.lines().enumerate() {
        let line = line.trim();
        if line.is_empty() || line.starts_with(';') || line.starts_with('#') {
            continue;
        }
        if is_section(line) {
            positions.push(Position::Section(index + 1));
        } else if is_entry(line) {
            positions.push(Position::Entry(index + 1));
        } else {
            return Err(config_error(
                file,
                index + 1,
                "the line is not valid INI",
                "write [section], key = value or # comment",
            ));
        }
    }
    Ok(positions)
}

fn is_section(line: &str) -> bool {
    let name = line.strip_prefix('[').and_then(|l| l.strip_suffix(']'));
    name.is_some_and(|name| !name.trim().is_empty() && !name.contains(['[', ']', '\r']))
}

fn is_entry(line: &str) -> bool {
    let key = line.split_once('=').map(|(key, _)| key.trim());
    key.is_some_and(|key| !key.is_empty() && !key.contains([':', '[', ']'])) && !line.contains('\r')
}

impl Document {
    /// Reads and parses a file of at most [`FILE_MAX_BYTES`] bytes.
    pub fn open(path: &Path) -> Result<Self> {
        let name = path.display().to_string();
        let unreadable = |error: std::io::Error| {
            config_error(
                &name,
                0,
                format!("the file cannot be read: {error}"),
                "check path and permissions",
            )
        };
        let file = File::open(path).map_err(unreadable)?;
        let mut bytes = Vec::new();
        file.take(FILE_MAX_BYTES + 1)
            .read_to_end(&mut bytes)
            .map_err(unreadable)?;
        Ok(Self::parse_bytes(&name, &bytes)?)
    }

    /// Parses bytes, which must be UTF-8 text of at most [`FILE_MAX_BYTES`] bytes. `file` is the
    /// name used in error messages.
    pub fn parse_bytes(file: &str, bytes: &[u8]) -> std::result::Result<Self, ConfigError> {
        if bytes.len() as u64 > FILE_MAX_BYTES {
            return Err(config_error(
                file,
                0,
                format!("the file is larger than {FILE_MAX_BYTES} bytes"),
                "split or shorten it",
            ));
        }
        match std::str::from_utf8(bytes) {
            Ok(text) => Self::parse(file, text),
            Err(error) => {
                let line = bytes[..error.valid_up_to()]
                    .iter()
                    .filter(|byte| **byte == b'\n')
                    .count()
                    + 1;
                Err(config_error(
                    file,
                    line,
                    "the file is not UTF-8 text",
                    "save it as UTF-8 without binary data",
                ))
            }
        }
    }

    /// Parses text. `file` is the name used in error messages.
    ///
    /// ```
    /// use jujubeusher::config::ini::Document;
    /// let document = Document::parse("x.ini", "[log]\nlevel = info\n").unwrap();
    /// assert_eq!(document.sections[0].entries[0].line, 2);
    /// ```
    pub fn parse(file: &str, text: &str) -> std::result::Result<Self, ConfigError> {
        if let Some(index) = text.lines().position(|line| line.contains('\0')) {
            return Err(config_error(
                file,
                index + 1,
                "the file contains a NUL byte",
                "save it as plain text",
            ));
        }
        let text = text.strip_prefix('\u{feff}').unwrap_or(text);
        let positions = scan_positions(file, text)?;
        let option = ParseOption {
            enabled_quote: false,
            enabled_escape: false,
            ..ParseOption::default()
        };
        let parsed = Ini::load_from_str_opt(text, option).map_err(|error| {
            config_error(
                file,
                error.line + 1,
                format!("not valid INI: {}", error.msg),
                "write [section] and key = value lines",
            )
        })?;
        let sections = attach_lines(file, &parsed, positions)?;
        if sections.is_empty() {
            return Err(config_error(
                file,
                0,
                "the file has no section",
                "write at least one [section]",
            ));
        }
        Ok(Self {
            file: file.to_owned(),
            sections,
        })
    }

    /// Creates an error at a line of this file; line 0 means the whole file.
    pub fn error(&self, line: usize, problem: impl Into<String>, remedy: &str) -> ConfigError {
        config_error(&self.file, line, problem, remedy)
    }

    /// Returns a reader for each section, in file order.
    pub fn readers(&self) -> impl Iterator<Item = SectionReader<'_>> {
        self.sections
            .iter()
            .map(|section| SectionReader::new(&self.file, section))
    }
}

fn attach_lines(
    file: &str,
    parsed: &Ini,
    positions: Vec<Position>,
) -> std::result::Result<Vec<Section>, ConfigError> {
    let mut positions = positions.into_iter();
    let mut sections: Vec<Section> = Vec::new();
    let mut names = HashSet::new();
    for (name, properties) in parsed.iter() {
        match name {
            None => {
                if let Some((key, _)) = properties.iter().next() {
                    return Err(config_error(
                        file,
                        1,
                        format!("key `{key}` appears before the first section"),
                        "move it below a [section]",
                    ));
                }
            }
            Some(name) => {
                let line = match positions.next() {
                    Some(Position::Section(line)) => line,
                    _ => return Err(layout_error(file)),
                };
                let mut entries: Vec<Entry> = Vec::new();
                for (key, value) in properties.iter() {
                    let line = match positions.next() {
                        Some(Position::Entry(line)) => line,
                        _ => return Err(layout_error(file)),
                    };
                    if entries.iter().any(|entry| entry.key == key) {
                        return Err(config_error(
                            file,
                            line,
                            format!("key `{key}` is defined twice in [{name}]"),
                            "remove one of the two",
                        ));
                    }
                    entries.push(Entry {
                        key: key.to_owned(),
                        value: value.trim().to_owned(),
                        line,
                    });
                }
                if !names.insert(name) {
                    return Err(config_error(
                        file,
                        line,
                        format!("section [{name}] is defined twice"),
                        "merge the two sections",
                    ));
                }
                sections.push(Section {
                    name: name.to_owned(),
                    line,
                    entries,
                });
            }
        }
    }
    Ok(sections)
}

fn layout_error(file: &str) -> ConfigError {
    config_error(
        file,
        0,
        "a value spans several lines",
        "write each key = value on one line",
    )
}

/// Reads the keys of one section and rejects the keys that were not read.
#[derive(Debug)]
pub struct SectionReader<'a> {
    file: &'a str,
    section: &'a Section,
    /// Whether each entry of the section has been read.
    is_read: Vec<bool>,
}

impl<'a> SectionReader<'a> {
    fn new(file: &'a str, section: &'a Section) -> Self {
        Self {
            file,
            section,
            is_read: vec![false; section.entries.len()],
        }
    }

    /// Returns the kind of the section, which is the first word of its name.
    pub fn kind(&self) -> &'a str {
        self.section
            .name
            .split_whitespace()
            .next()
            .unwrap_or_default()
    }

    /// Returns the label of the section, which follows the kind; empty if there is none.
    pub fn label(&self) -> &'a str {
        self.section.name[self.kind().len()..].trim()
    }

    /// Returns the label, which must consist of one or more letters, digits, `-`, `_` or `.`.
    pub fn required_label(&self) -> std::result::Result<&'a str, ConfigError> {
        let label = self.label();
        let is_plain = |c: char| c.is_alphanumeric() || matches!(c, '-' | '_' | '.');
        if label.is_empty() || !label.chars().all(is_plain) {
            return Err(self.error(
                format!("section [{}] needs a name", self.section.name),
                "write [kind name] with letters, digits, `-`, `_` or `.`",
            ));
        }
        Ok(label)
    }

    /// Creates an error at the line of the section header.
    pub fn error(&self, problem: impl Into<String>, remedy: &str) -> ConfigError {
        config_error(self.file, self.section.line, problem, remedy)
    }

    /// Creates an error at the line of `key`, or at the section header if the key is absent.
    pub fn error_at(&self, key: &str, problem: impl Into<String>, remedy: &str) -> ConfigError {
        let line = self
            .section
            .entries
            .iter()
            .find(|entry| entry.key == key)
            .map_or(self.section.line, |entry| entry.line);
        config_error(self.file, line, problem, remedy)
    }

    /// Returns the value of an optional key; `None` if the key is absent.
    pub fn optional(&mut self, key: &str) -> Option<&'a str> {
        let index = self.section.entries.iter().position(|e| e.key == key)?;
        self.is_read[index] = true;
        Some(&self.section.entries[index].value)
    }

    /// Returns the value of a key that must be present and not empty.
    pub fn required(&mut self, key: &str) -> std::result::Result<&'a str, ConfigError> {
        match self.optional(key) {
            Some(value) if !value.is_empty() => Ok(value),
            _ => Err(self.error_at(
                key,
                format!("[{}] needs `{key}`", self.section.name),
                "add the key with a value",
            )),
        }
    }

    /// Parses the value of an optional key. `expected` describes the type in the error, for example
    /// "a whole number".
    pub fn value<T>(
        &mut self,
        key: &str,
        expected: &str,
    ) -> std::result::Result<Option<T>, ConfigError>
    where
        T: FromStr,
    {
        match self.optional(key) {
            None => Ok(None),
            Some(text) => match text.parse() {
                Ok(value) => Ok(Some(value)),
                Err(_) => Err(self.error_at(
                    key,
                    format!("`{key} = {text}` is not {expected}"),
                    &format!("write {expected} without a unit; the unit is the suffix of the key"),
                )),
            },
        }
    }

    /// Returns a whole number from `min` to `max`, or `default` if the key is absent.
    pub fn number(
        &mut self,
        key: &str,
        default: u64,
        min: u64,
        max: u64,
    ) -> std::result::Result<u64, ConfigError> {
        let value = self.value(key, "a whole number")?.unwrap_or(default);
        if value < min || value > max {
            return Err(self.error_at(
                key,
                format!("`{key} = {value}` is out of range"),
                &format!("choose a value from {min} to {max}"),
            ));
        }
        Ok(value)
    }

    /// Returns a decimal number from `min` to `max`, or `default` if the key is absent.
    pub fn decimal(
        &mut self,
        key: &str,
        default: f64,
        min: f64,
        max: f64,
    ) -> std::result::Result<f64, ConfigError> {
        let value: f64 = self.value(key, "a decimal number")?.unwrap_or(default);
        if !(min..=max).contains(&value) {
            return Err(self.error_at(
                key,
                format!("`{key} = {value}` is out of range"),
                &format!("choose a value from {min} to {max}"),
            ));
        }
        Ok(value)
    }

    /// Returns the value that `choices` assigns to the text of the key, or `default` if the key is
    /// absent.
    pub fn choice<T>(
        &mut self,
        key: &str,
        default: T,
        choices: &[(&str, T)],
    ) -> std::result::Result<T, ConfigError>
    where
        T: Copy,
    {
        let Some(text) = self.optional(key) else {
            return Ok(default);
        };
        match choices.iter().find(|(word, _)| *word == text) {
            Some((_, value)) => Ok(*value),
            None => {
                let words: Vec<&str> = choices.iter().map(|(word, _)| *word).collect();
                Err(self.error_at(
                    key,
                    format!("`{key} = {text}` is not a known value"),
                    &format!("choose one of: {}", words.join(", ")),
                ))
            }
        }
    }

    /// Returns an error if the section has a key that was not read.
    pub fn finish(self) -> std::result::Result<(), ConfigError> {
        for (entry, is_read) in self.section.entries.iter().zip(&self.is_read) {
            if !is_read {
                return Err(config_error(
                    self.file,
                    entry.line,
                    format!("unknown key `{}` in [{}]", entry.key, self.section.name),
                    "remove it or correct its spelling",
                ));
            }
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
