//! Terms, log positions and the history of a group's terms.
//!
//! Positions are comparable only within
//! one history. The [`TermHistory`] that a target reports shows whether a position of an earlier
//! term is part of the target's log or was lost in a promotion.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::IdError;
use crate::ids::number_type;

number_type! {
    /// Term of a database group; every promotion starts a higher term.
    TermNumber(u64)
}
number_type! {
    /// Position of a record in a group's log, from 1; zero stands before the first record.
    LogPosition(u64)
}

impl TermNumber {
    /// Returns the next higher term.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// Log position with the term in which the record was written.
///
/// Ordered as in the log: by term, then by position.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct GroupPosition {
    /// Term of the primary that wrote the record.
    pub term: TermNumber,
    /// Position of the record.
    pub position: LogPosition,
}

impl GroupPosition {
    /// Creates a position from the numbers of its term and record.
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

/// Start of a term in a log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TermStart {
    /// The term.
    pub term: TermNumber,
    /// Position of the first record of the term.
    pub first: LogPosition,
}

/// Terms of a target's log and the position at which each starts, oldest first.
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
    /// Appends a term that starts at `first`.
    ///
    /// # Panics
    ///
    /// If the term is not higher than the last one.
    pub fn push(&mut self, term: TermNumber, first: LogPosition) {
        if let Some(last) = self.starts.last() {
            assert!(term > last.term, "terms of a history must increase");
        }
        self.starts.push(TermStart { term, first });
    }

    /// Removes the terms that start after `end`, for a log that is truncated to match a new
    /// primary.
    pub fn truncate(&mut self, end: LogPosition) {
        self.starts.retain(|start| start.first <= end);
    }

    /// Returns the terms and their starts, oldest first.
    pub fn starts(&self) -> &[TermStart] {
        &self.starts
    }

    /// Returns the latest term, or `None` if the history is empty.
    pub fn last_term(&self) -> Option<TermNumber> {
        self.starts.last().map(|start| start.term)
    }

    /// Returns the term of the record at `position`, or `None` if the history starts after it.
    pub fn term_at(&self, position: LogPosition) -> Option<TermNumber> {
        let next = self.starts.partition_point(|start| start.first <= position);
        next.checked_sub(1).map(|i| self.starts[i].term)
    }

    /// Returns whether the log contains the position or can still reach it.
    ///
    /// A position of the latest term may be beyond the end of the log; a position of an earlier
    /// term is contained only if it precedes the start of the next term.
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
