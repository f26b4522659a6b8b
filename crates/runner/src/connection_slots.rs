//! Which connections of a listener stay open when there are too many.

/// What happens to a new connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SlotDecision {
    /// It is served.
    Admitted,
    /// It is served, and the connection with this number is closed for it.
    Replaces(u64),
    /// It is closed.
    Refused,
}

/// The open connections of a listener.
#[derive(Debug)]
pub struct ConnectionSlots {
    max_open: usize,
    max_pending: usize,
    may_replace_started: bool,
    /// Connections that have sent nothing complete, the oldest first.
    pending: Vec<u64>,
    /// Other connections, the one that has been idle the longest first.
    started: Vec<u64>,
}

impl ConnectionSlots {
    /// Creates slots without connections. `may_replace_started` tells whether a connection that has
    /// sent something complete may be closed for a new one.
    pub fn new(max_open: usize, max_pending: usize, may_replace_started: bool) -> Self {
        Self {
            max_open,
            max_pending,
            may_replace_started,
            pending: Vec::new(),
            started: Vec::new(),
        }
    }

    /// Decides on a new connection. The numbers of connections are unique.
    pub fn admit(&mut self, number: u64) -> SlotDecision {
        let is_full = self.pending.len() + self.started.len() >= self.max_open;
        let mut decision = SlotDecision::Admitted;
        if is_full || self.pending.len() >= self.max_pending {
            let replaced = if !self.pending.is_empty() {
                self.pending.remove(0)
            } else if is_full && self.may_replace_started && !self.started.is_empty() {
                self.started.remove(0)
            } else {
                return SlotDecision::Refused;
            };
            decision = SlotDecision::Replaces(replaced);
        }
        self.pending.push(number);
        decision
    }

    /// Records that a connection has sent something complete.
    pub fn record_use(&mut self, number: u64) {
        if self.remove(number) {
            self.started.push(number);
        }
    }

    /// Removes a connection; returns whether it was there.
    pub fn remove(&mut self, number: u64) -> bool {
        for numbers in [&mut self.pending, &mut self.started] {
            if let Some(i) = numbers.iter().position(|known| *known == number) {
                numbers.remove(i);
                return true;
            }
        }
        false
    }
}
