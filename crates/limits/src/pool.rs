//! State of the connections of one instance to one target.
//!
//! The pool has one slot for each permit. A connection is lent to one request at a time, and is
//! reused only if the whole answer was read; otherwise it is closed. A connection that was idle for
//! long is checked before it is lent for a request that must not be repeated, since a middlebox
//! between the two ends may have dropped its state.

use std::time::Duration;

use heatherhollow_types::MonoTime;
use heatherhollow_types::PermitNumber;

/// Settings of a [`ConnectionPool`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PoolSettings {
    /// Maximum number of connections that are being opened concurrently.
    pub max_opening: usize,
    /// Idle time after which a connection is checked before it is lent for a write.
    pub check_after: Duration,
    /// Idle time after which a connection is checked in the background.
    pub keep_alive: Duration,
    /// Delay before a connection is opened again after a failed attempt; doubles with each failure.
    pub retry_delay: Duration,
    /// Upper bound of the delay after failed attempts.
    pub max_retry_delay: Duration,
}

impl Default for PoolSettings {
    fn default() -> Self {
        Self {
            max_opening: 2,
            check_after: Duration::from_secs(1),
            keep_alive: Duration::from_secs(5),
            retry_delay: Duration::from_millis(50),
            max_retry_delay: Duration::from_secs(2),
        }
    }
}

/// State of the connection of one permit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum SlotState {
    Closed { retry_at: MonoTime },
    Opening,
    Idle { since: MonoTime },
    Checking,
    Lent,
}

#[derive(Debug, Clone)]
struct PoolSlot {
    permit: PermitNumber,
    state: SlotState,
    failures: u32,
    /// The permit now belongs to another instance; the connection is closed when it is returned.
    is_revoked: bool,
}

/// Decision for a request that needs a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PoolChoice {
    /// Lend this connection.
    Lend(PermitNumber),
    /// Check this connection and call [`ConnectionPool::record_check`]; lend it if the check
    /// succeeded.
    Check(PermitNumber),
    /// Wait, since no connection is idle.
    Wait,
}

/// Number of connections in each state.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PoolCounts {
    /// Permits held.
    pub permits: usize,
    /// Connections being opened.
    pub opening: usize,
    /// Idle connections.
    pub idle: usize,
    /// Connections that are lent or being checked.
    pub in_use: usize,
}

/// Pool of the connections of one instance to one target.
///
/// ```
/// use heatherhollow_limits::{ConnectionPool, PoolChoice, PoolSettings};
/// use heatherhollow_types::{MonoTime, PermitNumber};
/// let now = MonoTime::ZERO;
/// let mut pool = ConnectionPool::new(PoolSettings::default());
/// pool.set_permits(&[PermitNumber(4)]);
/// assert_eq!(pool.start_opening(1, now), Some(PermitNumber(4)));
/// pool.opened(PermitNumber(4), true, now);
/// assert_eq!(pool.take(true, now), PoolChoice::Lend(PermitNumber(4)));
/// assert_eq!(pool.take(true, now), PoolChoice::Wait);
/// ```
#[derive(Debug, Clone)]
pub struct ConnectionPool {
    settings: PoolSettings,
    /// Sorted by permit.
    slots: Vec<PoolSlot>,
    /// Connections idle since this time or longer are checked before they are lent.
    unverified_before: Option<MonoTime>,
}

impl ConnectionPool {
    /// Creates a pool without permits.
    pub fn new(settings: PoolSettings) -> Self {
        Self {
            settings,
            slots: Vec::new(),
            unverified_before: None,
        }
    }

    /// Sets the permits that this instance holds; returns the revoked ones whose connection is idle
    /// and has to be closed.
    ///
    /// A connection of a revoked permit that is in use is closed when it is returned.
    pub fn set_permits(&mut self, permits: &[PermitNumber]) -> Vec<PermitNumber> {
        for &permit in permits {
            match self.find(permit) {
                Ok(i) => self.slots[i].is_revoked = false,
                Err(i) => {
                    let state = SlotState::Closed {
                        retry_at: MonoTime::ZERO,
                    };
                    let slot = PoolSlot {
                        permit,
                        state,
                        failures: 0,
                        is_revoked: false,
                    };
                    self.slots.insert(i, slot);
                }
            }
        }
        let mut to_close = Vec::new();
        self.slots.retain_mut(|slot| {
            if permits.contains(&slot.permit) {
                return true;
            }
            slot.is_revoked = true;
            match slot.state {
                SlotState::Closed { .. } => false,
                SlotState::Idle { .. } => {
                    to_close.push(slot.permit);
                    false
                }
                SlotState::Opening | SlotState::Checking | SlotState::Lent => true,
            }
        });
        to_close
    }

    /// Requires a check of all connections that are idle now before they are lent.
    ///
    /// Called when one connection stopped responding, since the others may have the same fault.
    pub fn require_checks(&mut self, now: MonoTime) {
        self.unverified_before = Some(now);
    }

    /// Takes an idle connection for a request; `is_unrepeatable` says that the request must not be
    /// sent twice.
    pub fn take(&mut self, is_unrepeatable: bool, now: MonoTime) -> PoolChoice {
        // The most recently used connection is the least likely to have become unresponsive.
        let most_recent = self
            .slots
            .iter_mut()
            .filter_map(|slot| match slot.state {
                SlotState::Idle { since } if !slot.is_revoked => Some((since, slot)),
                _ => None,
            })
            .max_by_key(|(since, _)| *since);
        let Some((since, slot)) = most_recent else {
            return PoolChoice::Wait;
        };
        let is_stale = is_unrepeatable && now.since(since) > self.settings.check_after;
        let is_unverified = self.unverified_before.is_some_and(|limit| since <= limit);
        if is_stale || is_unverified {
            slot.state = SlotState::Checking;
            return PoolChoice::Check(slot.permit);
        }
        slot.state = SlotState::Lent;
        PoolChoice::Lend(slot.permit)
    }

    /// Returns the permit to open a connection for, or `None` if the idle and opening connections
    /// suffice for `waiting` requests or no permit is available.
    pub fn start_opening(&mut self, waiting: usize, now: MonoTime) -> Option<PermitNumber> {
        let counts = self.counts();
        let has_enough =
            counts.opening >= self.settings.max_opening || counts.opening + counts.idle >= waiting;
        if has_enough {
            return None;
        }
        let slot = self.slots.iter_mut().find(|slot| {
            !slot.is_revoked
                && matches!(slot.state, SlotState::Closed { retry_at } if retry_at <= now)
        })?;
        slot.state = SlotState::Opening;
        Some(slot.permit)
    }

    /// Records the end of an attempt to open a connection; returns whether the connection may be
    /// kept.
    pub fn opened(&mut self, permit: PermitNumber, is_open: bool, now: MonoTime) -> bool {
        let Ok(i) = self.find(permit) else {
            return false;
        };
        if self.slots[i].is_revoked {
            self.slots.remove(i);
            return false;
        }
        if is_open {
            self.slots[i].failures = 0;
            self.slots[i].state = SlotState::Idle { since: now };
        } else {
            self.close_after_failure(i, now);
        }
        is_open
    }

    /// Records the end of a check: the connection is lent if it is good and closed otherwise.
    pub fn record_check(&mut self, permit: PermitNumber, is_good: bool, now: MonoTime) {
        let Ok(i) = self.find(permit) else { return };
        if is_good {
            self.slots[i].state = SlotState::Lent;
        } else {
            // Reopened without delay: the check shows only that this connection is unresponsive.
            self.close(i, now);
        }
    }

    /// Returns a connection to the pool; the result says whether it may be kept.
    ///
    /// `is_clean` says that the whole answer of its last request was read.
    pub fn return_connection(
        &mut self,
        permit: PermitNumber,
        is_clean: bool,
        now: MonoTime,
    ) -> bool {
        let Ok(i) = self.find(permit) else {
            return false;
        };
        if self.slots[i].is_revoked {
            self.slots.remove(i);
            return false;
        }
        if is_clean {
            self.slots[i].state = SlotState::Idle { since: now };
        } else {
            self.close(i, now);
        }
        is_clean
    }

    /// Returns the idle connections that are due for a background check; they count as in use until
    /// [`Self::return_connection`] is called.
    pub fn start_due_checks(&mut self, now: MonoTime) -> Vec<PermitNumber> {
        let keep_alive = self.settings.keep_alive;
        let mut due = Vec::new();
        for slot in &mut self.slots {
            let is_due = matches!(
                slot.state,
                SlotState::Idle { since }
                    if now.since(since) >= keep_alive
                        || self.unverified_before.is_some_and(|limit| since <= limit)
            );
            if is_due {
                slot.state = SlotState::Checking;
                due.push(slot.permit);
            }
        }
        due
    }

    /// Returns the earliest time at which a closed connection may be opened again, or `None` if no
    /// connection is closed.
    pub fn next_retry(&self) -> Option<MonoTime> {
        let retries = self.slots.iter().filter_map(|slot| match slot.state {
            SlotState::Closed { retry_at } => Some(retry_at),
            _ => None,
        });
        retries.min()
    }

    /// Returns whether this instance holds no usable permit.
    pub fn is_empty(&self) -> bool {
        self.slots.iter().all(|slot| slot.is_revoked)
    }

    /// Returns whether the permit is held, or its connection is still in use.
    pub fn contains(&self, permit: PermitNumber) -> bool {
        self.find(permit).is_ok()
    }

    /// Returns the number of connections in each state.
    pub fn counts(&self) -> PoolCounts {
        let mut counts = PoolCounts::default();
        for slot in &self.slots {
            counts.permits += usize::from(!slot.is_revoked);
            match slot.state {
                SlotState::Closed { .. } => {}
                SlotState::Opening => counts.opening += 1,
                SlotState::Idle { .. } => counts.idle += 1,
                SlotState::Checking | SlotState::Lent => counts.in_use += 1,
            }
        }
        counts
    }

    fn close_after_failure(&mut self, i: usize, now: MonoTime) {
        let slot = &mut self.slots[i];
        let factor = 1_u32.checked_shl(slot.failures).unwrap_or(u32::MAX);
        let delay = self.settings.retry_delay.saturating_mul(factor);
        slot.failures = slot.failures.saturating_add(1);
        slot.state = SlotState::Closed {
            retry_at: now + delay.min(self.settings.max_retry_delay),
        };
    }

    fn close(&mut self, i: usize, now: MonoTime) {
        if self.slots[i].is_revoked {
            self.slots.remove(i);
        } else {
            self.slots[i].state = SlotState::Closed { retry_at: now };
        }
    }

    fn find(&self, permit: PermitNumber) -> Result<usize, usize> {
        self.slots.binary_search_by_key(&permit, |slot| slot.permit)
    }
}
