//! State of the connections of one instance to one target.
//!
//! There is one slot for each permit. A connection is lent to one request at a time and comes back
//! only if the whole answer was read; in every other case it is closed. Connections that were idle
//! for long are checked before they are lent for a request that may not be repeated, since something
//! between the two ends may have lost track of them.

use std::time::Duration;

use heatherhollow_types::MonoTime;
use heatherhollow_types::PermitNumber;

/// Settings of a [`ConnectionPool`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PoolSettings {
    /// Most connections that are being opened at once.
    pub max_opening: usize,
    /// Idle time after which a connection is checked before it is lent for a write.
    pub check_after: Duration,
    /// Idle time after which a connection is checked in the background.
    pub keep_alive: Duration,
    /// Delay before a failed permit is tried again; it doubles with each failure.
    pub retry_delay: Duration,
    /// Upper bound of that delay.
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

/// State of one permit's connection.
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
    /// The permit belongs to another instance now; the connection closes when it comes back.
    is_revoked: bool,
}

/// What to do for a request that needs a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PoolChoice {
    /// Lend this connection.
    Lend(PermitNumber),
    /// Check this connection, report with [`ConnectionPool::record_check`], then lend it.
    Check(PermitNumber),
    /// Nothing is idle; wait for a connection.
    Wait,
}

/// Number of connections in each state.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PoolCounts {
    /// Permits held.
    pub permits: usize,
    /// Connections being opened.
    pub opening: usize,
    /// Connections that nobody uses.
    pub idle: usize,
    /// Connections that are lent or being checked.
    pub in_use: usize,
}

/// Connections of one instance to one target.
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
    /// Connections that have not answered since this time are checked before they are lent.
    unverified_before: Option<MonoTime>,
}

impl ConnectionPool {
    /// A pool without permits.
    pub fn new(settings: PoolSettings) -> Self {
        Self {
            settings,
            slots: Vec::new(),
            unverified_before: None,
        }
    }

    /// Sets the permits that this instance holds; returns those whose connection is to be closed.
    ///
    /// A connection that is in use is closed when it comes back.
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

    /// Notes that a connection seems to have gone silent; the others may have, too.
    pub fn require_checks(&mut self, now: MonoTime) {
        self.unverified_before = Some(now);
    }

    /// Takes an idle connection for a request; `is_unrepeatable` for one that may not be repeated.
    pub fn take(&mut self, is_unrepeatable: bool, now: MonoTime) -> PoolChoice {
        // The connection used last is the least likely to have gone silent.
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
        let is_unverified = self
            .unverified_before
            .is_some_and(|unverified_before| since <= unverified_before);
        if is_stale || is_unverified {
            slot.state = SlotState::Checking;
            return PoolChoice::Check(slot.permit);
        }
        slot.state = SlotState::Lent;
        PoolChoice::Lend(slot.permit)
    }

    /// The permit to open a connection for, if `waiting` requests are more than those on their way.
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

    /// Records the end of an attempt to open; returns whether the connection may be kept.
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

    /// Records the end of a check; a good connection is lent, another one is closed.
    pub fn record_check(&mut self, permit: PermitNumber, is_good: bool, now: MonoTime) {
        let Ok(i) = self.find(permit) else { return };
        if is_good {
            self.slots[i].state = SlotState::Lent;
        } else {
            // A new connection is worth a try at once: only this one is known to be silent.
            self.close(i, now);
        }
    }

    /// Takes a connection back; returns whether it may be kept.
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

    /// Idle connections that are due for a check in the background; they count as in use until
    /// [`Self::return_connection`].
    pub fn start_due_checks(&mut self, now: MonoTime) -> Vec<PermitNumber> {
        let keep_alive = self.settings.keep_alive;
        let mut due = Vec::new();
        for slot in &mut self.slots {
            let is_due = matches!(
                slot.state,
                SlotState::Idle { since }
                    if now.since(since) >= keep_alive
                        || self.unverified_before.is_some_and(|unverified_before| since <= unverified_before)
            );
            if is_due {
                slot.state = SlotState::Checking;
                due.push(slot.permit);
            }
        }
        due
    }

    /// When the next closed permit may be tried again.
    pub fn next_retry(&self) -> Option<MonoTime> {
        let retries = self.slots.iter().filter_map(|slot| match slot.state {
            SlotState::Closed { retry_at } => Some(retry_at),
            _ => None,
        });
        retries.min()
    }

    /// Whether this instance holds no usable permit.
    pub fn is_empty(&self) -> bool {
        self.slots.iter().all(|slot| slot.is_revoked)
    }

    /// Whether the permit is held, or its connection is still in use.
    pub fn contains(&self, permit: PermitNumber) -> bool {
        self.find(permit).is_ok()
    }

    /// Number of connections in each state.
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
