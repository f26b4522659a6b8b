//! Which connections of an HTTP listener stay open.
//!
//! A connection without a complete request header costs its sender nothing, so its time is limited,
//! and it is the first to be closed when there are too many connections.

use std::time::Duration;

use heatherhollow_types::MonoTime;

/// Identifies a connection of a listener; later connections have higher numbers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConnectionNumber(pub u64);

/// Limits on the connections of a listener.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SlotLimits {
    /// Most open connections.
    pub max_open: usize,
    /// Time from the first byte of a request header to its end.
    pub header_timeout: Duration,
    /// Time without a byte of a request after the connection was opened or the last answer ended.
    pub idle_timeout: Duration,
}

/// What happens to a new connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SlotAdmission {
    /// It is served.
    Admitted,
    /// It is served, and this connection is closed for it.
    Replaces(ConnectionNumber),
    /// It is closed.
    Refused,
}

/// Why a connection has to be closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SlotExpiry {
    /// A request header did not end in time.
    Header,
    /// No request began in time.
    Idle,
}

/// What a connection does, in the order in which connections are closed for new ones.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum SlotState {
    /// It has sent no complete header since it was opened, or a part of one after an answer.
    Incomplete,
    /// It has sent nothing since its last answer.
    Idle,
    /// It has a request in progress.
    Serving,
}

#[derive(Debug)]
struct OpenSlot {
    number: ConnectionNumber,
    state: SlotState,
    /// Start of the state.
    since: MonoTime,
    /// When the present header began, if one has.
    begun_at: Option<MonoTime>,
}

impl OpenSlot {
    /// Returns why the connection has to be closed now, if it has to.
    fn expiry(&self, limits: &SlotLimits, now: MonoTime) -> Option<SlotExpiry> {
        if self.state == SlotState::Serving {
            return None;
        }
        match self.begun_at {
            Some(begun_at) if now.since(begun_at) >= limits.header_timeout => {
                Some(SlotExpiry::Header)
            }
            None if now.since(self.since) >= limits.idle_timeout => Some(SlotExpiry::Idle),
            _ => None,
        }
    }
}

/// The open connections of a listener.
///
/// ```
/// use heatherhollow_limits::{ConnectionNumber, ListenerSlots, SlotAdmission, SlotLimits};
/// use heatherhollow_types::MonoTime;
/// let limits = SlotLimits { max_open: 1, ..SlotLimits::default() };
/// let mut slots = ListenerSlots::new(limits);
/// let (first, second, third) = (ConnectionNumber(1), ConnectionNumber(2), ConnectionNumber(3));
/// assert_eq!(slots.admit(first, MonoTime::ZERO), SlotAdmission::Admitted);
/// assert_eq!(slots.admit(second, MonoTime::ZERO), SlotAdmission::Replaces(first));
/// slots.record_header(second);
/// assert_eq!(slots.admit(third, MonoTime::ZERO), SlotAdmission::Refused);
/// ```
#[derive(Debug)]
pub struct ListenerSlots {
    limits: SlotLimits,
    /// Sorted by number.
    open: Vec<OpenSlot>,
}

impl Default for SlotLimits {
    fn default() -> Self {
        Self {
            max_open: 4_096,
            header_timeout: Duration::from_secs(10),
            idle_timeout: Duration::from_secs(60),
        }
    }
}

impl ListenerSlots {
    /// Creates slots without connections.
    pub fn new(limits: SlotLimits) -> Self {
        Self {
            limits,
            open: Vec::new(),
        }
    }

    /// Decides on a new connection, whose number is higher than all before it. A connection that is
    /// closed for it leaves the slots.
    ///
    /// The connection that has been without a complete header the longest is closed first, then the
    /// one that has been idle the longest. One with a request in progress is never closed.
    pub fn admit(&mut self, number: ConnectionNumber, now: MonoTime) -> SlotAdmission {
        let mut admission = SlotAdmission::Admitted;
        if self.open.len() >= self.limits.max_open {
            let closable = self.open.iter().enumerate();
            let closable = closable.filter(|(_, slot)| slot.state != SlotState::Serving);
            let Some((i, _)) = closable.min_by_key(|(_, slot)| (slot.state, slot.since)) else {
                return SlotAdmission::Refused;
            };
            admission = SlotAdmission::Replaces(self.open.remove(i).number);
        }
        self.open.push(OpenSlot {
            number,
            state: SlotState::Incomplete,
            since: now,
            begun_at: None,
        });
        admission
    }

    /// Records that bytes arrived on a connection.
    pub fn record_input(&mut self, number: ConnectionNumber, now: MonoTime) {
        let Some(slot) = self.slot(number) else {
            return;
        };
        if slot.state != SlotState::Serving && slot.begun_at.is_none() {
            slot.begun_at = Some(now);
            if slot.state == SlotState::Idle {
                slot.state = SlotState::Incomplete;
                slot.since = now;
            }
        }
    }

    /// Records that the client of a connection took bytes of an answer. The end of an answer can
    /// still be on its way while the connection counts as idle.
    pub fn record_output(&mut self, number: ConnectionNumber, now: MonoTime) {
        if let Some(slot) = self.slot(number)
            && slot.state == SlotState::Idle
        {
            slot.since = now;
        }
    }

    /// Records that a request header is complete.
    pub fn record_header(&mut self, number: ConnectionNumber) {
        if let Some(slot) = self.slot(number) {
            slot.state = SlotState::Serving;
            slot.begun_at = None;
        }
    }

    /// Records that a request has been answered.
    ///
    /// Bytes of the next header may already have arrived; the time of that header then counts from
    /// its next byte, and the idle time applies until then.
    pub fn record_answer(&mut self, number: ConnectionNumber, now: MonoTime) {
        if let Some(slot) = self.slot(number) {
            slot.state = SlotState::Idle;
            slot.since = now;
        }
    }

    /// Returns whether nothing of a request has arrived since the connection was opened or the last
    /// answer ended.
    pub fn is_between_requests(&self, number: ConnectionNumber) -> bool {
        let found = self.open.binary_search_by_key(&number, |slot| slot.number);
        found.is_ok_and(|i| {
            let slot = &self.open[i];
            slot.state != SlotState::Serving && slot.begun_at.is_none()
        })
    }

    /// Removes the connections whose time is over, and returns them.
    pub fn expire(&mut self, now: MonoTime) -> Vec<(ConnectionNumber, SlotExpiry)> {
        let limits = self.limits;
        let mut expired = Vec::new();
        self.open.retain(|slot| {
            let expiry = slot.expiry(&limits, now);
            expired.extend(expiry.map(|expiry| (slot.number, expiry)));
            expiry.is_none()
        });
        expired
    }

    /// Removes a connection that has ended.
    pub fn remove(&mut self, number: ConnectionNumber) {
        if let Ok(i) = self.open.binary_search_by_key(&number, |slot| slot.number) {
            self.open.remove(i);
        }
    }

    fn slot(&mut self, number: ConnectionNumber) -> Option<&mut OpenSlot> {
        let found = self.open.binary_search_by_key(&number, |slot| slot.number);
        found.ok().map(|i| &mut self.open[i])
    }
}
