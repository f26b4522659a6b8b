//! State of one target and the rules by which it changes; no time passes in here.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use heatherhollow_ports::ConnectionPermit;
use heatherhollow_ports::TargetError;
use heatherhollow_ports::TargetRole;
use heatherhollow_ports::TargetStatus;
use heatherhollow_types::CandidateId;
use heatherhollow_types::LogPosition;
use heatherhollow_types::RequestId;
use heatherhollow_types::TermHistory;
use heatherhollow_types::TermNumber;

use crate::connection::ConnectionLine;
use crate::fault::LostCall;
use crate::fault::ReplyLoss;
use crate::storage::LogRecord;
use crate::storage::LogStorage;
use crate::storage::RowChange;
use crate::storage::common_prefix;

/// Records of a primary on their way to a replica.
#[derive(Debug, Clone)]
pub(crate) struct ReplicationBatch {
    pub term: TermNumber,
    pub history: TermHistory,
    pub first: LogPosition,
    pub records: Vec<Arc<LogRecord>>,
}

/// Why a replica did not take a batch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum BatchRefusal {
    /// The replica has promised another term.
    OtherTerm,
    /// Records before the batch are missing.
    Gap,
}

#[derive(Debug)]
pub(crate) struct TargetState {
    // On disk: survives a kill.
    pub promised: TermNumber,
    /// The candidate to which the term is promised; none if the term came with a follow call.
    candidate: Option<CandidateId>,
    /// The latest term in which the target was promoted.
    primary_term: Option<TermNumber>,
    pub storage: LogStorage,
    // In memory.
    pub is_alive: bool,
    /// Number of kills so far; tells the runs of the target apart.
    pub epoch: u64,
    pub is_leaving: bool,
    heard_at: Instant,
    /// Request ids of writes that are being run.
    pub running: Vec<RequestId>,
    pub connections: Vec<Arc<ConnectionLine>>,
    pub most_connections: usize,
    pub losses: Vec<(LostCall, ReplyLoss)>,
}

impl TargetState {
    /// State of a target of a new group, whose log begins with the mark of the first term.
    pub(crate) fn new(is_primary: bool, rows: &[RowChange], now: Instant) -> Self {
        let term = TermNumber(1);
        let mut storage = LogStorage::default();
        storage.append(term_mark(term), now);
        if !rows.is_empty() {
            let record = LogRecord {
                term,
                changes: rows.to_vec(),
                request: None,
            };
            storage.append(Arc::new(record), now);
        }
        Self {
            promised: term,
            candidate: None,
            primary_term: is_primary.then_some(term),
            storage,
            is_alive: true,
            epoch: 0,
            is_leaving: false,
            heard_at: now,
            running: Vec::new(),
            connections: Vec::new(),
            most_connections: 0,
            losses: Vec::new(),
        }
    }

    /// The term in which the target is the primary, if it is one.
    pub(crate) fn primary_term(&self) -> Option<TermNumber> {
        self.primary_term.filter(|term| *term == self.promised)
    }

    pub(crate) fn is_primary(&self) -> bool {
        self.primary_term().is_some()
    }

    pub(crate) fn status(&self, now: Instant) -> TargetStatus {
        let is_primary = self.is_primary();
        let silent_for = now.saturating_duration_since(self.heard_at);
        TargetStatus {
            role: if is_primary {
                TargetRole::Primary
            } else {
                TargetRole::Replica
            },
            promised: self.promised,
            end: self.storage.end(),
            applied: self.storage.applied(now),
            history: self.storage.history().clone(),
            primary_silent_for: (!is_primary).then_some(silent_for),
            is_leaving: self.is_leaving,
        }
    }

    /// Promises a term to a candidate; returns whether the promise holds.
    pub(crate) fn fence(&mut self, term: TermNumber, candidate: &CandidateId) -> bool {
        if term > self.promised {
            self.promised = term;
            self.candidate = Some(candidate.clone());
            return true;
        }
        term == self.promised && self.candidate.as_ref() == Some(candidate)
    }

    /// Becomes the primary of a promised term. The mark that starts the term makes the log later
    /// than every log of an earlier term, also before the first write.
    pub(crate) fn promote(
        &mut self,
        term: TermNumber,
        candidate: &CandidateId,
        now: Instant,
    ) -> Result<(), TargetError> {
        if term != self.promised {
            return Err(TargetError::WrongTerm(self.promised));
        }
        if self.candidate.as_ref() != Some(candidate) {
            let detail = format!("term {term} is not promised to {candidate}");
            return Err(TargetError::Rejected(detail));
        }
        if !self.is_primary() {
            self.primary_term = Some(term);
            self.storage.apply_all(now);
            self.storage.append(term_mark(term), now);
        }
        Ok(())
    }

    pub(crate) fn follow(&mut self, term: TermNumber) -> Result<(), TargetError> {
        if term < self.promised {
            return Err(TargetError::WrongTerm(self.promised));
        }
        if term > self.promised {
            self.promised = term;
            self.candidate = None;
        }
        Ok(())
    }

    /// Notes that a message of the primary of `term` arrived.
    pub(crate) fn hear(&mut self, term: TermNumber, now: Instant) {
        if term == self.promised {
            self.heard_at = now;
        }
    }

    /// Takes records of a primary, after cutting the own log back to the part they have in common.
    pub(crate) fn receive(
        &mut self,
        batch: &ReplicationBatch,
        visible_at: Instant,
    ) -> Result<(), BatchRefusal> {
        if batch.term != self.promised || self.is_primary() {
            return Err(BatchRefusal::OtherTerm);
        }
        let own_end = self.storage.end().position;
        // The primary's log is taken to be endless: its last term goes on, so records of that term
        // are kept even if the batch was made before them.
        let common = common_prefix((self.storage.history(), own_end), (&batch.history, own_end));
        if common < own_end {
            self.storage.truncate(common);
        }
        if batch.first.0 > common.0 + 1 {
            return Err(BatchRefusal::Gap);
        }
        let known = usize::try_from(common.0 + 1 - batch.first.0).unwrap_or(usize::MAX);
        for record in batch.records.iter().skip(known) {
            self.storage.append(record.clone(), visible_at);
        }
        Ok(())
    }

    /// Whether the target takes writes; `expected` is the term that the call names.
    pub(crate) fn check_write(&self, expected: Option<TermNumber>) -> Result<(), TargetError> {
        self.check_term(expected)?;
        if !self.is_primary() {
            return Err(TargetError::NotPrimary);
        }
        Ok(())
    }

    pub(crate) fn check_term(&self, expected: Option<TermNumber>) -> Result<(), TargetError> {
        match expected {
            Some(term) if term != self.promised => Err(TargetError::WrongTerm(self.promised)),
            _ => Ok(()),
        }
    }

    /// Adds a connection. Returns an older one with the same permit, which has to be closed.
    pub(crate) fn register(
        &mut self,
        line: &Arc<ConnectionLine>,
        limit: usize,
    ) -> Result<Option<Arc<ConnectionLine>>, TargetError> {
        let same = |other: &Arc<ConnectionLine>| is_same_permit(&other.permit, &line.permit);
        let older = self.connections.iter().position(same);
        let older = older.map(|i| self.connections.swap_remove(i));
        if self.connections.len() >= limit {
            return Err(TargetError::PermitRefused);
        }
        self.connections.push(line.clone());
        self.most_connections = self.most_connections.max(self.connections.len());
        Ok(older)
    }

    pub(crate) fn unregister(&mut self, line: &Arc<ConnectionLine>) {
        self.connections.retain(|other| !Arc::ptr_eq(other, line));
    }

    /// Uses up one ordered loss of a reply.
    pub(crate) fn take_loss(&mut self, call: LostCall) -> Option<ReplyLoss> {
        let found = self.losses.iter().position(|(lost, _)| *lost == call)?;
        Some(self.losses.remove(found).1)
    }

    pub(crate) fn kill(&mut self) -> Vec<Arc<ConnectionLine>> {
        self.is_alive = false;
        self.epoch += 1;
        self.running.clear();
        std::mem::take(&mut self.connections)
    }

    pub(crate) fn restart(&mut self, now: Instant) {
        self.is_alive = true;
        self.is_leaving = false;
        self.heard_at = now;
    }
}

fn is_same_permit(one: &ConnectionPermit, other: &ConnectionPermit) -> bool {
    one.service == other.service && one.number == other.number
}

fn term_mark(term: TermNumber) -> Arc<LogRecord> {
    Arc::new(LogRecord {
        term,
        changes: Vec::new(),
        request: None,
    })
}

/// Stalls of a target, during which none of its work goes on.
#[derive(Debug, Default)]
pub(crate) struct StallRecord {
    until: Option<Instant>,
    /// Length of all stalls, with the rest of the present one.
    total: Duration,
}

impl StallRecord {
    pub(crate) fn add(&mut self, span: Duration, now: Instant) {
        let end = now + span;
        let covered = self.rest(now);
        self.total += span.saturating_sub(covered);
        self.until = Some(self.until.map_or(end, |until| until.max(end)));
    }

    pub(crate) fn clear(&mut self, now: Instant) {
        self.total -= self.rest(now);
        self.until = None;
    }

    pub(crate) fn until(&self, now: Instant) -> Option<Instant> {
        self.until.filter(|until| *until > now)
    }

    fn rest(&self, now: Instant) -> Duration {
        self.until
            .map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
    }

    /// Time spent in stalls up to now.
    pub(crate) fn spent(&self, now: Instant) -> Duration {
        self.total - self.rest(now)
    }
}
