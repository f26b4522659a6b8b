//! Decides which connections of clients may take more memory, and which is closed for it.
//!
//! The budget knows the bytes that each connection takes, by part, and does no I/O. What a
//! connection takes up to [`ClientLimits::free_bytes`] is not reserved, so that sessions with small
//! messages never compete for the budget. Bytes of a connection that is being closed stay reserved
//! until it has ended.

use heatherhollow_gateway::ClientId;
use heatherhollow_types::MonoTime;

/// Limits of what the clients of an instance may take together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClientLimits {
    /// Memory that clients may cause, in bytes.
    pub memory_bytes: usize,
    /// Number of open connections of clients.
    pub max_connections: usize,
    /// Bytes of each connection that are not reserved.
    pub free_bytes: usize,
}

impl ClientLimits {
    /// Bytes of each connection that are not reserved by default; a line over this size reserves.
    pub const FREE_BYTES: usize = 16 << 10;
}

impl Default for ClientLimits {
    fn default() -> Self {
        Self {
            memory_bytes: 128 << 20,
            max_connections: 4_096,
            free_bytes: Self::FREE_BYTES,
        }
    }
}

/// Bytes by what they are needed for.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PartBytes {
    /// Buffers of data that was read and not passed on.
    pub input: usize,
    /// Statements in progress.
    pub statements: usize,
    /// Answers that have not been written.
    pub answers: usize,
    /// Values and prepared statements of sessions.
    pub sessions: usize,
}

impl PartBytes {
    /// Returns the sum of all parts.
    pub fn total(&self) -> usize {
        self.input + self.statements + self.answers + self.sessions
    }

    fn replace(&mut self, old: &Self, new: &Self) {
        self.input = self.input - old.input + new.input;
        self.statements = self.statements - old.statements + new.statements;
        self.answers = self.answers - old.answers + new.answers;
        self.sessions = self.sessions - old.sessions + new.sessions;
    }
}

/// Whether a new connection may be served.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// The connection is counted and may be served.
    Admitted,
    /// This connection has to be closed; the admission is to be asked for again once it has ended.
    Close(ClientId),
    /// A connection that is being closed makes room.
    Wait,
    /// The connection is not served.
    Refused,
}

/// Whether a connection may take more bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reservation {
    /// The bytes are reserved.
    Granted,
    /// The connection has to wait until its own statements are answered or others have ended.
    Wait,
    /// This connection has to be closed. If it is another one, the reservation is to be asked for
    /// again once it has ended.
    Close(ClientId),
}

/// What a connection takes.
#[derive(Debug)]
struct ConnectionUsage {
    id: ClientId,
    bytes: PartBytes,
    progressed_at: MonoTime,
    is_started: bool,
    is_closing: bool,
}

/// The memory and connections that clients take of their limits.
#[derive(Debug)]
pub struct ClientBudget {
    limits: ClientLimits,
    /// Sorted by id, which is also the order in which the connections were opened.
    connections: Vec<ConnectionUsage>,
    /// Sum of all connections.
    bytes: PartBytes,
    /// Reserved bytes of all connections.
    reserved: usize,
    /// Reserved bytes of connections that are being closed.
    closing: usize,
}

impl ClientBudget {
    /// Creates a budget without connections.
    pub fn new(limits: ClientLimits) -> Self {
        Self {
            limits,
            connections: Vec::new(),
            bytes: PartBytes::default(),
            reserved: 0,
            closing: 0,
        }
    }

    /// Returns the bytes that all connections take, reserved or not.
    pub fn bytes(&self) -> PartBytes {
        self.bytes
    }

    /// Returns the reserved bytes of the connections that are not being closed.
    pub fn reserved_bytes(&self) -> usize {
        self.reserved - self.closing
    }

    /// Returns the number of connections, including those that are being closed.
    pub fn connection_count(&self) -> usize {
        self.connections.len()
    }

    /// Adds a connection, whose id is higher than all before. If the limit is reached, the oldest
    /// connection without a started session is to be closed.
    pub fn admit(&mut self, id: ClientId, now: MonoTime) -> Admission {
        if self.connections.len() < self.limits.max_connections {
            self.connections.push(ConnectionUsage {
                id,
                bytes: PartBytes::default(),
                progressed_at: now,
                is_started: false,
                is_closing: false,
            });
            return Admission::Admitted;
        }
        if self.connections.iter().any(|usage| usage.is_closing) {
            return Admission::Wait;
        }
        match self.connections.iter().position(|usage| !usage.is_started) {
            Some(i) => {
                self.begin_close(i);
                Admission::Close(self.connections[i].id)
            }
            None => Admission::Refused,
        }
    }

    /// Records that the session of a connection has started.
    pub fn mark_started(&mut self, id: ClientId) {
        if let Some(i) = self.find(id) {
            self.connections[i].is_started = true;
        }
    }

    /// Records that a client sent or read something.
    pub fn mark_progress(&mut self, id: ClientId, now: MonoTime) {
        if let Some(i) = self.find(id) {
            self.connections[i].progressed_at = now;
        }
    }

    /// Reserves the bytes of an input buffer; the connection then takes `input` bytes for it.
    pub fn reserve_input(&mut self, id: ClientId, input: usize, now: MonoTime) -> Reservation {
        let Some(i) = self.find(id) else {
            return Reservation::Close(id);
        };
        let bytes = PartBytes {
            input,
            ..self.connections[i].bytes
        };
        self.reserve_or_wait(i, bytes, now)
    }

    /// Reserves `cost` bytes for a statement whose line leaves `input` bytes of the input buffer.
    pub fn reserve_statement(
        &mut self,
        id: ClientId,
        input: usize,
        cost: usize,
        now: MonoTime,
    ) -> Reservation {
        let Some(i) = self.find(id) else {
            return Reservation::Close(id);
        };
        let before = self.connections[i].bytes;
        let bytes = PartBytes {
            input,
            statements: before.statements + cost,
            ..before
        };
        let reservation = self.reserve_or_wait(i, bytes, now);
        if reservation == Reservation::Granted {
            self.connections[i].progressed_at = now;
        }
        reservation
    }

    /// Reserves `answer` bytes for an answer of a session that now takes `session` bytes. An answer
    /// cannot wait, so further connections may have to be closed for it.
    ///
    /// Returns the connections to close. The answer is not reserved, and must not be sent, if its
    /// own connection is among them or is being closed.
    pub fn reserve_answer(
        &mut self,
        id: ClientId,
        answer: usize,
        session: usize,
        now: MonoTime,
    ) -> (Reservation, Vec<ClientId>) {
        let mut victims = Vec::new();
        loop {
            let Some(i) = self.find(id).filter(|i| !self.connections[*i].is_closing) else {
                return (Reservation::Close(id), victims);
            };
            let before = self.connections[i].bytes;
            let bytes = PartBytes {
                answers: before.answers + answer,
                sessions: session,
                ..before
            };
            if self.fits(i, &bytes, self.reserved_bytes()) {
                self.replace(i, bytes);
                return (Reservation::Granted, victims);
            }
            let victim = self.choose_victim(i, now);
            self.begin_close(victim);
            victims.push(self.connections[victim].id);
        }
    }

    /// Releases the bytes of answered statements and of written answers.
    pub fn release(&mut self, id: ClientId, statements: usize, answers: usize, now: MonoTime) {
        let Some(i) = self.find(id) else { return };
        let before = self.connections[i].bytes;
        let bytes = PartBytes {
            statements: before.statements.saturating_sub(statements),
            answers: before.answers.saturating_sub(answers),
            ..before
        };
        self.replace(i, bytes);
        self.connections[i].progressed_at = now;
    }

    /// Records that a connection is being closed; returns false if it is not known or already is.
    pub fn close(&mut self, id: ClientId) -> bool {
        match self.find(id) {
            Some(i) if !self.connections[i].is_closing => {
                self.begin_close(i);
                true
            }
            _ => false,
        }
    }

    /// Removes a connection that has ended, and releases all that it took.
    pub fn remove(&mut self, id: ClientId) {
        let Some(i) = self.find(id) else { return };
        self.replace(i, PartBytes::default());
        self.connections.remove(i);
    }

    fn find(&self, id: ClientId) -> Option<usize> {
        let found = self.connections.binary_search_by_key(&id, |usage| usage.id);
        found.ok()
    }

    fn reserved_of(&self, bytes: &PartBytes) -> usize {
        bytes.total().saturating_sub(self.limits.free_bytes)
    }

    /// Returns whether a connection may take these bytes if `reserved` bytes are reserved by all.
    fn fits(&self, i: usize, bytes: &PartBytes, reserved: usize) -> bool {
        let old = self.reserved_of(&self.connections[i].bytes);
        let new = self.reserved_of(bytes);
        new <= old || reserved - old + new <= self.limits.memory_bytes
    }

    fn reserve_or_wait(&mut self, i: usize, bytes: PartBytes, now: MonoTime) -> Reservation {
        let usage = &self.connections[i];
        if usage.is_closing {
            return Reservation::Close(usage.id);
        }
        if self.fits(i, &bytes, self.reserved) {
            self.replace(i, bytes);
            return Reservation::Granted;
        }
        // The statements of a client that sends ahead make room themselves once they are answered.
        let is_ahead = usage.bytes.statements > 0 || usage.bytes.answers > 0;
        if is_ahead || self.fits(i, &bytes, self.reserved_bytes()) {
            return Reservation::Wait;
        }
        let victim = self.choose_victim(i, now);
        self.begin_close(victim);
        Reservation::Close(self.connections[victim].id)
    }

    /// Returns the connection with the highest product of reserved bytes and time without progress;
    /// the connection that asks if no other has reserved bytes.
    fn choose_victim(&self, asking: usize, now: MonoTime) -> usize {
        let score = |usage: &ConnectionUsage| {
            let reserved = self.reserved_of(&usage.bytes) as u128;
            (
                reserved * now.since(usage.progressed_at).as_micros(),
                reserved,
            )
        };
        let open = (0..self.connections.len()).filter(|i| {
            let usage = &self.connections[*i];
            !usage.is_closing && self.reserved_of(&usage.bytes) > 0
        });
        // Of equal connections, the oldest.
        open.rev()
            .max_by_key(|i| score(&self.connections[*i]))
            .unwrap_or(asking)
    }

    fn replace(&mut self, i: usize, bytes: PartBytes) {
        let usage = &mut self.connections[i];
        let old = std::mem::replace(&mut usage.bytes, bytes);
        let is_closing = usage.is_closing;
        let (before, after) = (self.reserved_of(&old), self.reserved_of(&bytes));
        self.bytes.replace(&old, &bytes);
        self.reserved = self.reserved - before + after;
        if is_closing {
            self.closing = self.closing - before + after;
        }
    }

    fn begin_close(&mut self, i: usize) {
        self.connections[i].is_closing = true;
        self.closing += self.reserved_of(&self.connections[i].bytes);
    }
}
