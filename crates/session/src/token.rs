//! Content of session tokens, and the merge of two tokens.
//!
//! An entry contains the newest position that the session wrote to a group and, as a mark, the term
//! of its latest write of unknown outcome, if there is one. While an entry has a mark, reads go to
//! the primary.
//!
//! Merge rule. For each group the merged entry has the higher position and the higher mark of the
//! two entries, independently of each other. A mark is dropped only if the position is of a later
//! term than the mark: a log that holds a record of a later term either contains the uncertain
//! write or will never contain it, because a call names its term and primaries of later terms
//! refuse it. A position of the same term does not replace a mark, since the uncertain write can
//! come after that position. Therefore a mark that one branch of a session has resolved and another
//! still has remains after their merge, and reads go to the primary.
//!
//! Dropping a mark relies on a position that a majority of the targets have. A service that
//! acknowledges at the primary alone can lose that position, and until the loss is noticed a read
//! may miss an uncertain write that survived in its place.
//!
//! Limit rule. If there are more than [`MAX_TOKEN_GROUPS`] entries, those with the smallest group
//! names are kept and the token is marked as overflowed. An overflowed token has no information on
//! groups whose names sort after its last entry: their reads go to the primary, and they are never
//! added again by a merge or a write. The selection depends on names alone because these do not
//! change. If it depended on age or position, a dropped entry could return in an older state from
//! another branch, which would lose a write of the session and make the result depend on the order
//! of merges.

use heatherhollow_types::GroupName;
use heatherhollow_types::GroupPosition;
use heatherhollow_types::LogPosition;
use heatherhollow_types::TermNumber;

/// Maximum number of groups in a token.
pub const MAX_TOKEN_GROUPS: usize = 16;

/// State that a read of a group requires.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadRequirement {
    /// Any state.
    None,
    /// A state that includes this position.
    AtLeast(GroupPosition),
    /// The state of the current primary.
    Primary,
}

/// Writes of a session to one group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TokenEntry {
    /// The group.
    pub group: GroupName,
    /// Newest known position of a write; the default value if there is none.
    pub position: GroupPosition,
    /// Latest term with a write of unknown outcome (the mark).
    pub uncertain: Option<TermNumber>,
}

impl TokenEntry {
    pub(crate) fn is_canonical(&self) -> bool {
        let has_position = self.position.position != LogPosition(0);
        let is_mark_needed = self.uncertain.is_none_or(|term| term >= self.position.term);
        let is_empty = !has_position && self.uncertain.is_none();
        (has_position || self.position == GroupPosition::default()) && is_mark_needed && !is_empty
    }

    fn merge(&mut self, position: GroupPosition, uncertain: Option<TermNumber>) {
        self.position = self.position.max(position);
        self.uncertain = self
            .uncertain
            .max(uncertain)
            .filter(|&term| term >= self.position.term);
    }
}

/// Writes of a session, by group.
///
/// ```
/// use heatherhollow_session::{ReadRequirement, SessionToken};
/// use heatherhollow_types::{GroupName, GroupPosition, TermNumber};
/// let group: GroupName = "willow-ledger".parse().unwrap();
/// let mut token = SessionToken::default();
/// assert_eq!(token.requirement(&group), ReadRequirement::None);
/// token.record_write(&group, GroupPosition::new(3, 95));
/// assert_eq!(token.requirement(&group), ReadRequirement::AtLeast(GroupPosition::new(3, 95)));
/// token.record_unknown(&group, TermNumber(3));
/// assert_eq!(token.requirement(&group), ReadRequirement::Primary);
/// token.record_write(&group, GroupPosition::new(4, 99));
/// assert_eq!(token.requirement(&group), ReadRequirement::AtLeast(GroupPosition::new(4, 99)));
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SessionToken {
    entries: Vec<TokenEntry>,
    is_overflowed: bool,
}

impl SessionToken {
    /// Creates a token from its parts, or returns `None` if they are not in canonical form.
    pub(crate) fn from_parts(entries: Vec<TokenEntry>, is_overflowed: bool) -> Option<Self> {
        let is_sorted = entries.is_sorted_by(|a, b| a.group < b.group);
        let is_canonical = is_sorted
            && entries.len() <= MAX_TOKEN_GROUPS
            && entries.iter().all(TokenEntry::is_canonical);
        is_canonical.then_some(Self {
            entries,
            is_overflowed,
        })
    }

    /// Returns the entries, sorted by group.
    pub fn entries(&self) -> &[TokenEntry] {
        &self.entries
    }

    /// Returns whether entries were dropped because there were more than [`MAX_TOKEN_GROUPS`].
    pub fn is_overflowed(&self) -> bool {
        self.is_overflowed
    }

    /// Returns whether the token imposes no requirement on any group.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty() && !self.is_overflowed
    }

    /// Returns the state that a read of the group requires.
    pub fn requirement(&self, group: &GroupName) -> ReadRequirement {
        match self.find(group) {
            Ok(i) => {
                let entry = &self.entries[i];
                match entry.uncertain {
                    Some(_) => ReadRequirement::Primary,
                    None => ReadRequirement::AtLeast(entry.position),
                }
            }
            Err(_) if self.is_overflowed => ReadRequirement::Primary,
            Err(_) => ReadRequirement::None,
        }
    }

    /// Merges the token of another branch of the session, by the rules in the module documentation.
    pub fn merge(&mut self, other: &Self) {
        let mut merged = Self {
            entries: Vec::with_capacity(self.entries.len() + other.entries.len()),
            is_overflowed: self.is_overflowed || other.is_overflowed,
        };
        for entry in self.entries.iter().chain(&other.entries) {
            if !self.covers(&entry.group) || !other.covers(&entry.group) {
                continue;
            }
            match merged.find(&entry.group) {
                Ok(i) => merged.entries[i].merge(entry.position, entry.uncertain),
                Err(i) => merged.entries.insert(i, entry.clone()),
            }
        }
        merged.enforce_limit();
        *self = merged;
    }

    /// Records an acknowledged write.
    pub fn record_write(&mut self, group: &GroupName, position: GroupPosition) {
        if position.position != LogPosition(0) {
            self.merge_entry(group, position, None);
        }
    }

    /// Records a write of unknown outcome that was sent to the primary of a term.
    pub fn record_unknown(&mut self, group: &GroupName, term: TermNumber) {
        self.merge_entry(group, GroupPosition::default(), Some(term));
    }

    /// Records that the uncertain writes of the group are resolved up to the term of `position`.
    ///
    /// The `position` has to cover all of them. If the session may have more than one, this is a
    /// position that the primary reported after the last of them was resolved, not the position of
    /// one write. A mark of a later term stays.
    pub fn clear_unknown(&mut self, group: &GroupName, position: GroupPosition) {
        if let Ok(i) = self.find(group) {
            let entry = &mut self.entries[i];
            entry.uncertain = entry.uncertain.filter(|&term| term > position.term);
            if position.position == LogPosition(0) && !entry.is_canonical() {
                self.entries.remove(i);
            }
        }
        self.record_write(group, position);
    }

    /// Replaces a mark by a position of a later term that a majority of the targets have.
    ///
    /// The position may come from an answer to this or any other session. A position that only the
    /// primary has must not be used: if it is lost with the primary, the next primary may still
    /// have the uncertain write. Does nothing if the entry has no mark of an earlier term.
    pub fn settle_unknown(&mut self, group: &GroupName, confirmed: GroupPosition) {
        if let Ok(i) = self.find(group)
            && self.entries[i]
                .uncertain
                .is_some_and(|term| term < confirmed.term)
        {
            self.record_write(group, confirmed);
        }
    }

    /// Records that a position was lost in a promotion.
    ///
    /// Replaces the position by a mark of its
    /// term, so that reads go to the primary: earlier writes of the session, whose positions are no
    /// longer in the token, may have survived there.
    pub fn record_lost_position(&mut self, group: &GroupName, lost: GroupPosition) {
        if let Ok(i) = self.find(group)
            && self.entries[i].position == lost
        {
            self.entries[i].position = GroupPosition::default();
            self.merge_entry(group, GroupPosition::default(), Some(lost.term));
        }
    }

    /// Removes the entries of groups that are no longer declared.
    ///
    /// Must be called only by an instance that has loaded its settings.
    pub fn retain_groups(&mut self, is_declared: impl Fn(&GroupName) -> bool) {
        self.entries.retain(|entry| is_declared(&entry.group));
    }

    fn find(&self, group: &GroupName) -> Result<usize, usize> {
        self.entries
            .binary_search_by(|entry| entry.group.cmp(group))
    }

    /// Returns whether a missing entry of the group means that the session did not write to it.
    fn covers(&self, group: &GroupName) -> bool {
        !self.is_overflowed || self.entries.last().is_some_and(|last| *group <= last.group)
    }

    fn merge_entry(
        &mut self,
        group: &GroupName,
        position: GroupPosition,
        uncertain: Option<TermNumber>,
    ) {
        match self.find(group) {
            Ok(i) => self.entries[i].merge(position, uncertain),
            Err(_) if !self.covers(group) => {}
            Err(i) => {
                let entry = TokenEntry {
                    group: group.clone(),
                    position,
                    uncertain,
                };
                self.entries.insert(i, entry);
                self.enforce_limit();
            }
        }
    }

    fn enforce_limit(&mut self) {
        if self.entries.len() > MAX_TOKEN_GROUPS {
            self.entries.truncate(MAX_TOKEN_GROUPS);
            self.is_overflowed = true;
        }
    }
}
