//! Open transactions whose connection this instance owns.
//!
//! A transaction is taken out of the table while one of its statements runs, so that two statements
//! can never share its connection. It is rolled back when it is idle for too long, when a statement's
//! answer is not read to its end, and when the instance stops.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use heatherhollow_types::CandidateId;
use heatherhollow_types::MonoTime;
use heatherhollow_types::RefusalReason;
use heatherhollow_types::ServiceName;
use heatherhollow_types::TargetIndex;
use heatherhollow_types::TeamName;
use heatherhollow_types::TermNumber;
use heatherhollow_types::TransactionId;

use crate::lent::LentConnection;

/// An open transaction.
pub struct OpenTransaction {
    /// Team that opened it.
    pub team: TeamName,
    /// Its service.
    pub service: ServiceName,
    /// The primary on which it runs.
    pub target: TargetIndex,
    /// Term of that primary.
    pub term: TermNumber,
    /// Its connection.
    pub lent: LentConnection,
    /// Longest pause between two statements.
    pub idle_limit: Duration,
}

enum TransactionState {
    Idle {
        since: MonoTime,
        transaction: Box<OpenTransaction>,
    },
    Busy,
}

struct TransactionEntry {
    serial: u64,
    state: TransactionState,
}

#[derive(Default)]
struct TableState {
    next_serial: u64,
    /// Sorted by serial number.
    entries: Vec<TransactionEntry>,
}

/// The open transactions of one instance.
pub struct TransactionTable {
    own: CandidateId,
    /// Taken alone: connections are dropped after it is released.
    state: Mutex<TableState>,
}

impl TransactionTable {
    /// An empty table.
    pub fn new(own: CandidateId) -> Self {
        Self {
            own,
            state: Mutex::new(TableState::default()),
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, TableState> {
        self.state
            .lock()
            .expect("no holder of the transaction lock panics")
    }

    /// Number of open transactions.
    pub fn count(&self) -> usize {
        self.lock().entries.len()
    }

    /// Number of open transactions that may belong to a service at a target; those that run a
    /// statement at the moment are counted for every service.
    pub fn count_at(&self, team: &TeamName, service: &ServiceName, target: TargetIndex) -> usize {
        let state = self.lock();
        let at_target = state.entries.iter().filter(|entry| match &entry.state {
            TransactionState::Busy => true,
            TransactionState::Idle { transaction, .. } => {
                transaction.target == target
                    && transaction.team == *team
                    && transaction.service == *service
            }
        });
        at_target.count()
    }

    /// Adds a transaction that was just opened.
    pub fn insert(&self, transaction: OpenTransaction, now: MonoTime) -> TransactionId {
        let mut state = self.lock();
        state.next_serial += 1;
        let serial = state.next_serial;
        let transaction = Box::new(transaction);
        let idle = TransactionState::Idle {
            since: now,
            transaction,
        };
        state.entries.push(TransactionEntry {
            serial,
            state: idle,
        });
        TransactionId {
            owner: self.own.clone(),
            serial,
        }
    }

    /// Takes a transaction out for one statement; the guard puts it back or removes it.
    pub fn take(
        self: &Arc<Self>,
        id: &TransactionId,
        team: &TeamName,
        service: &ServiceName,
    ) -> Result<(Box<OpenTransaction>, TransactionGuard), RefusalReason> {
        if id.owner != self.own {
            return Err(RefusalReason::TransactionLost);
        }
        let mut state = self.lock();
        let found = state
            .entries
            .binary_search_by_key(&id.serial, |entry| entry.serial);
        let i = found.map_err(|_| RefusalReason::TransactionLost)?;
        let entry = &mut state.entries[i];
        match std::mem::replace(&mut entry.state, TransactionState::Busy) {
            TransactionState::Busy => Err(RefusalReason::TransactionBusy),
            TransactionState::Idle { since, transaction } => {
                // Another team's transaction is reported like one that does not exist.
                if transaction.team != *team || transaction.service != *service {
                    entry.state = TransactionState::Idle { since, transaction };
                    return Err(RefusalReason::TransactionLost);
                }
                let guard = TransactionGuard {
                    table: self.clone(),
                    serial: Some(id.serial),
                };
                Ok((transaction, guard))
            }
        }
    }

    /// Removes the transactions that were idle for too long, or all idle ones.
    pub fn remove_idle(&self, now: MonoTime, is_all: bool) -> Vec<OpenTransaction> {
        let mut state = self.lock();
        let removed = state.entries.extract_if(.., |entry| match &entry.state {
            TransactionState::Busy => false,
            TransactionState::Idle { since, transaction } => {
                is_all || now.since(*since) > transaction.idle_limit
            }
        });
        let removed = removed.filter_map(|entry| match entry.state {
            TransactionState::Busy => None,
            TransactionState::Idle { transaction, .. } => Some(*transaction),
        });
        removed.collect()
    }

    fn remove(&self, serial: u64) {
        let mut state = self.lock();
        if let Ok(i) = state
            .entries
            .binary_search_by_key(&serial, |entry| entry.serial)
        {
            state.entries.remove(i);
        }
    }
}

/// Removes a transaction from the table when the statement that took it out does not put it back.
pub struct TransactionGuard {
    table: Arc<TransactionTable>,
    serial: Option<u64>,
}

impl TransactionGuard {
    /// Puts the transaction back for its next statement.
    pub fn put_back(mut self, transaction: Box<OpenTransaction>, now: MonoTime) {
        let Some(serial) = self.serial.take() else {
            return;
        };
        let mut state = self.table.lock();
        if let Ok(i) = state
            .entries
            .binary_search_by_key(&serial, |entry| entry.serial)
        {
            state.entries[i].state = TransactionState::Idle {
                since: now,
                transaction,
            };
        }
    }
}

impl Drop for TransactionGuard {
    fn drop(&mut self) {
        if let Some(serial) = self.serial {
            self.table.remove(serial);
        }
    }
}
