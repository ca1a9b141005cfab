//! Position of a copy of a table in the change history of its source.

/// A position in the change history of a source; later changes have higher positions.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Position(pub u64);
