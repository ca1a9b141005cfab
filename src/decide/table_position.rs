//! Decides whether an update of a watched table applies to a copy of it.
//!
//! A source may come back from an older copy of its own: its versions go back, and it gives them out
//! again for other changes. Each time it begins a new era, so versions are compared only within one
//! era.

#[cfg(test)]
mod tests;

/// Number of a source's era. `None` is lower than any number: the source or a router of an older
/// version did not state it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Era(pub Option<u64>);

impl std::fmt::Display for Era {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self.0 {
            Some(number) => write!(f, "{number}"),
            None => f.write_str("unknown"),
        }
    }
}

/// A position in the change history of a source; later changes have higher positions.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Position {
    /// Era of the version.
    pub era: Era,
    /// Version within the era.
    pub version: u64,
}

impl std::fmt::Display for Position {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}:{}", self.era, self.version)
    }
}

/// What an update contains.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Extent {
    /// All rows.
    Snapshot,
    /// The rows that changed after a position for which the source was asked.
    ChangesAfter(Position),
    /// The rows that changed after the update that the same sender sent before.
    NextChanges,
}

/// What to do with an update.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Apply its rows.
    Apply,
    /// Replace the content by its rows, some of which may be older than the known ones: the source
    /// has come back from an older copy.
    Restore,
    /// Discard it, since the copy is newer or belongs to another era.
    Ignore,
    /// Discard it and read a snapshot, without which the changes cannot be applied.
    ReadSnapshot,
}

/// Decides what to do with an update up to position `at`, for a copy at position `known`, which is
/// `None` before the first snapshot.
///
/// ```
/// use jujubeusher::decide::table_position::{Era, Extent, Position, Verdict, check_update};
/// let position = |era, version| Position { era: Era(Some(era)), version };
/// let known = Some(position(1, 26));
/// // The restored source gives out version 26 again; changes in between would be missed.
/// let changes = Extent::ChangesAfter(position(1, 26));
/// assert_eq!(check_update(known, position(2, 27), changes), Verdict::ReadSnapshot);
/// assert_eq!(check_update(known, position(2, 27), Extent::Snapshot), Verdict::Restore);
/// ```
pub fn check_update(known: Option<Position>, at: Position, extent: Extent) -> Verdict {
    let is_snapshot = extent == Extent::Snapshot;
    let Some(known) = known else {
        return match is_snapshot {
            true => Verdict::Apply,
            false => Verdict::ReadSnapshot,
        };
    };
    if at < known {
        return Verdict::Ignore;
    }
    if at.era > known.era {
        return match is_snapshot {
            true => Verdict::Restore,
            false => Verdict::ReadSnapshot,
        };
    }
    match extent {
        // The copy came to this era while the source was asked for changes of an earlier one.
        Extent::ChangesAfter(since) if since.era != at.era => Verdict::Ignore,
        Extent::Snapshot | Extent::ChangesAfter(_) | Extent::NextChanges => Verdict::Apply,
    }
}
