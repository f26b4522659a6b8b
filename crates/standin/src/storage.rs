//! What a target keeps on disk of its data: the log with its term history, the rows with all their
//! versions, and the request records.
//!
//! Rows and request records are derived from the log, so that cutting the log back also takes back
//! the effects and the records of the removed part.

use std::collections::BTreeMap;
use std::ops::Bound;
use std::sync::Arc;

use bytes::Bytes;
use tokio::time::Instant;

use heatherhollow_types::GroupPosition;
use heatherhollow_types::LogPosition;
use heatherhollow_types::RequestId;
use heatherhollow_types::TermHistory;
use heatherhollow_types::TermNumber;

/// New value of a row; none after a deletion.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RowChange {
    /// Key of the row.
    pub key: String,
    /// Its value.
    pub value: Option<String>,
}

/// Request id of a write that took effect, with its position and answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RecordedRequest {
    /// The request id.
    pub request: RequestId,
    /// Position of the write.
    pub position: GroupPosition,
    /// Rows of its answer.
    pub rows: Vec<Bytes>,
}

/// One record of the log: a committed transaction, or the empty mark at the start of a term.
#[derive(Debug)]
pub(crate) struct LogRecord {
    pub term: TermNumber,
    pub changes: Vec<RowChange>,
    pub request: Option<(RequestId, Vec<Bytes>)>,
}

impl LogRecord {
    /// Approximate size of the record in a replication message.
    pub(crate) fn bytes(&self) -> usize {
        const RECORD_OVERHEAD_BYTES: usize = 32;
        let changes = self
            .changes
            .iter()
            .map(|change| change.key.len() + change.value.as_ref().map_or(0, String::len) + 8);
        let request = self.request.as_ref().map_or(0, |(id, rows)| {
            id.as_str().len() + rows.iter().map(Bytes::len).sum::<usize>()
        });
        RECORD_OVERHEAD_BYTES + changes.sum::<usize>() + request
    }
}

#[derive(Debug)]
struct RowVersion {
    position: LogPosition,
    value: Option<String>,
}

#[derive(Debug, Default)]
pub(crate) struct LogStorage {
    log: Vec<Arc<LogRecord>>,
    /// For each record, when reads begin to see it; never falls.
    visible_at: Vec<Instant>,
    history: TermHistory,
    // Maps instead of sorted vectors: both grow with the log, and an insertion has to stay cheap.
    rows: BTreeMap<String, Vec<RowVersion>>,
    records: BTreeMap<RequestId, LogPosition>,
}

impl LogStorage {
    pub(crate) fn end(&self) -> GroupPosition {
        self.at(self.log.len())
    }

    /// The position after the first `count` records.
    fn at(&self, count: usize) -> GroupPosition {
        let term = count
            .checked_sub(1)
            .map_or(TermNumber(0), |i| self.log[i].term);
        GroupPosition {
            term,
            position: LogPosition(count as u64),
        }
    }

    /// Position up to which reads see the log.
    pub(crate) fn applied(&self, now: Instant) -> GroupPosition {
        self.at(self.visible_at.partition_point(|&at| at <= now))
    }

    pub(crate) fn history(&self) -> &TermHistory {
        &self.history
    }

    /// Adds a record; reads see it from `visible_at` on.
    pub(crate) fn append(&mut self, record: Arc<LogRecord>, visible_at: Instant) -> GroupPosition {
        let position = LogPosition(self.log.len() as u64 + 1);
        if self.history.last_term() != Some(record.term) {
            self.history.push(record.term, position);
        }
        for change in &record.changes {
            let versions = self.rows.entry(change.key.clone()).or_default();
            // A transaction that changes a key twice is merged beforehand, so positions rise.
            versions.push(RowVersion {
                position,
                value: change.value.clone(),
            });
        }
        if let Some((request, _)) = &record.request {
            let older = self.records.insert(request.clone(), position);
            assert!(older.is_none(), "request {request} is recorded twice");
        }
        let floor = self.visible_at.last().copied();
        self.visible_at
            .push(floor.map_or(visible_at, |floor| floor.max(visible_at)));
        self.log.push(record);
        self.end()
    }

    /// Makes the whole log visible to reads.
    pub(crate) fn apply_all(&mut self, now: Instant) {
        for at in &mut self.visible_at {
            *at = now.min(*at);
        }
    }

    /// Removes all records after `end`, with their effects.
    pub(crate) fn truncate(&mut self, end: LogPosition) {
        while self.log.len() as u64 > end.0 {
            let Some(record) = self.log.pop() else { break };
            self.visible_at.pop();
            if let Some((request, _)) = &record.request {
                self.records.remove(request);
            }
            for change in &record.changes {
                if let Some(versions) = self.rows.get_mut(&change.key) {
                    versions.pop();
                    if versions.is_empty() {
                        self.rows.remove(&change.key);
                    }
                }
            }
        }
        self.history.truncate(end);
    }

    /// Records from position `first` on, at most `limit`.
    pub(crate) fn records_from(&self, first: LogPosition, limit: usize) -> Vec<Arc<LogRecord>> {
        let start = usize::try_from(first.0.saturating_sub(1)).unwrap_or(usize::MAX);
        let tail = self.log.iter().skip(start);
        tail.take(limit).cloned().collect()
    }

    /// A view of the rows after `snapshot`, with the changes of a transaction on top.
    pub(crate) fn view<'a>(
        &'a self,
        snapshot: LogPosition,
        changes: &'a [RowChange],
    ) -> SnapshotView<'a> {
        SnapshotView {
            storage: self,
            snapshot,
            changes,
        }
    }

    /// Whether a row was changed after a position.
    pub(crate) fn is_changed_after(&self, key: &str, position: LogPosition) -> bool {
        let versions = self.rows.get(key);
        versions
            .and_then(|versions| versions.last())
            .is_some_and(|last| last.position > position)
    }

    pub(crate) fn recorded(&self, request: &RequestId) -> Option<RecordedRequest> {
        let position = *self.records.get(request)?;
        let index = usize::try_from(position.0 - 1).ok()?;
        let record = &self.log[index];
        let (_, rows) = record.request.as_ref()?;
        Some(RecordedRequest {
            request: request.clone(),
            position: GroupPosition {
                term: record.term,
                position,
            },
            rows: rows.clone(),
        })
    }

    pub(crate) fn all_recorded(&self) -> Vec<RecordedRequest> {
        let ids = self.records.keys();
        ids.filter_map(|request| self.recorded(request)).collect()
    }

    pub(crate) fn changes(&self) -> Vec<(GroupPosition, Vec<RowChange>)> {
        let numbered = self.log.iter().enumerate();
        numbered
            .map(|(i, record)| (self.at(i + 1), record.changes.clone()))
            .collect()
    }
}

/// The rows at one position of the log, sorted by key.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SnapshotView<'a> {
    storage: &'a LogStorage,
    snapshot: LogPosition,
    /// Changes of the open transaction, sorted by key.
    changes: &'a [RowChange],
}

impl<'a> SnapshotView<'a> {
    pub(crate) fn get(&self, key: &str) -> Option<&'a str> {
        match self
            .changes
            .binary_search_by(|change| change.key.as_str().cmp(key))
        {
            Ok(i) => self.changes[i].value.as_deref(),
            Err(_) => self.committed(self.storage.rows.get(key)?),
        }
    }

    fn committed(&self, versions: &'a [RowVersion]) -> Option<&'a str> {
        let newer = versions.partition_point(|version| version.position <= self.snapshot);
        versions[newer.checked_sub(1)?].value.as_deref()
    }

    pub(crate) fn scan(&self, prefix: &str) -> Vec<(&'a str, &'a str)> {
        let from = (Bound::Included(prefix), Bound::Unbounded);
        let stored = self.storage.rows.range::<str, _>(from);
        let mut found: Vec<_> = stored
            .take_while(|(key, _)| key.starts_with(prefix))
            .filter(|(key, _)| self.change(key).is_none())
            .filter_map(|(key, versions)| Some((key.as_str(), self.committed(versions)?)))
            .collect();
        let own = self.changes.iter();
        found.extend(
            own.filter(|change| change.key.starts_with(prefix))
                .filter_map(|change| Some((change.key.as_str(), change.value.as_deref()?))),
        );
        found.sort_unstable();
        found
    }

    fn change(&self, key: &str) -> Option<&'a RowChange> {
        let changes = self.changes;
        let found = changes.binary_search_by(|change| change.key.as_str().cmp(key));
        found.ok().map(|i| &changes[i])
    }
}

/// Length of the part that two logs have in common.
///
/// A pair of term and position names one record in the whole group, because a term has one primary;
/// logs that agree on a pair agree on everything before it.
pub(crate) fn common_prefix(
    one: (&TermHistory, LogPosition),
    other: (&TermHistory, LogPosition),
) -> LogPosition {
    let mut end = one.1.min(other.1);
    while end > LogPosition(0) {
        let terms = (one.0.term_at(end), other.0.term_at(end));
        if terms.0 == terms.1 {
            break;
        }
        // The log with the lower term here has no record of the higher term up to here.
        let (history, term) = if terms.0 > terms.1 {
            (one.0, terms.0)
        } else {
            (other.0, terms.1)
        };
        let start = history.starts().iter().find(|s| Some(s.term) == term);
        end = LogPosition(start.map_or(0, |start| start.first.0 - 1));
    }
    end
}
