//! Terms, log positions and the history of a group's terms.
//!
//! Positions compare only within one history. A target reports its [`TermHistory`]; it tells
//! whether a position of an earlier term is part of that target's log, or was lost in a promotion.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::IdError;
use crate::ids::number_type;

number_type! {
    /// Term of a database group; every promotion starts a higher one.
    TermNumber(u64)
}
number_type! {
    /// Number of log records of a group up to and including a write.
    LogPosition(u64)
}

impl TermNumber {
    /// The next higher term.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// A log position with the term in which it was written.
///
/// The order is that of the log: first by term, then by position.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct GroupPosition {
    /// Term of the primary that wrote the record.
    pub term: TermNumber,
    /// Position of the record.
    pub position: LogPosition,
}

impl GroupPosition {
    /// A position from its two numbers.
    pub const fn new(term: u64, position: u64) -> Self {
        Self {
            term: TermNumber(term),
            position: LogPosition(position),
        }
    }
}

impl fmt::Display for GroupPosition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.position, self.term)
    }
}

impl FromStr for GroupPosition {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        let (position, term) = text
            .split_once('@')
            .ok_or_else(|| IdError::BadForm(text.to_string(), "POSITION@TERM"))?;
        Ok(Self {
            term: term.parse()?,
            position: position.parse()?,
        })
    }
}

/// First position that was written in a term.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TermStart {
    /// The term.
    pub term: TermNumber,
    /// The first position that belongs to it.
    pub first: LogPosition,
}

/// Terms of one target's log with the position at which each starts, oldest first.
///
/// ```
/// use heatherhollow_types::{GroupPosition, LogPosition, TermHistory, TermNumber};
/// let mut history = TermHistory::default();
/// history.push(TermNumber(1), LogPosition(1));
/// history.push(TermNumber(2), LogPosition(96));
/// assert!(history.contains(GroupPosition::new(1, 95)));
/// assert!(!history.contains(GroupPosition::new(1, 96))); // lost in the promotion to term 2
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TermHistory {
    starts: Vec<TermStart>,
}

impl TermHistory {
    /// Adds a term that starts at `first`; it has to be higher than those before it.
    pub fn push(&mut self, term: TermNumber, first: LogPosition) {
        if let Some(last) = self.starts.last() {
            assert!(term > last.term, "terms of a history rise");
        }
        self.starts.push(TermStart { term, first });
    }

    /// Forgets terms that start after `end`; used when a log is cut back to a new primary's.
    pub fn truncate(&mut self, end: LogPosition) {
        self.starts.retain(|start| start.first <= end);
    }

    /// The terms with their starts, oldest first.
    pub fn starts(&self) -> &[TermStart] {
        &self.starts
    }

    /// The latest term, if there is any.
    pub fn last_term(&self) -> Option<TermNumber> {
        self.starts.last().map(|start| start.term)
    }

    /// The term of the record at `position`, if the history reaches back to it.
    pub fn term_at(&self, position: LogPosition) -> Option<TermNumber> {
        let next = self.starts.partition_point(|start| start.first <= position);
        next.checked_sub(1).map(|i| self.starts[i].term)
    }

    /// Whether the history can contain the position, now or later.
    ///
    /// A position of the latest term may still be ahead of the log's end; a position of an earlier
    /// term is contained only if it lies before the start of the next one.
    pub fn contains(&self, wanted: GroupPosition) -> bool {
        if wanted.position == LogPosition(0) {
            return true;
        }
        let found = self
            .starts
            .binary_search_by_key(&wanted.term, |start| start.term);
        let Ok(i) = found else { return false };
        let is_after_start = wanted.position >= self.starts[i].first;
        let is_before_next = self
            .starts
            .get(i + 1)
            .is_none_or(|next| wanted.position < next.first);
        is_after_start && is_before_next
    }
}
