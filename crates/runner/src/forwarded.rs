//! Sessions that other instances forward to this one, with bounds on their number and on the
//! statements that they have unanswered.

use heatherhollow_gateway::ClientId;

use crate::links::LinkId;
use crate::peer_guard::LimitReason;
use crate::peer_guard::PeerLimits;

/// A session that another instance forwards to this one.
#[derive(Debug)]
struct ForwardedSession {
    client: ClientId,
    link: LinkId,
    /// Number of the session on its link, which is the client's id at the other instance.
    number: u64,
    /// Serial number of the last forwarded statement, which the next answer repeats.
    serial: u64,
    /// Statements since the last answer, and their bytes.
    statements: usize,
    bytes: usize,
}

/// What a link uses.
#[derive(Debug)]
struct LinkUse {
    link: LinkId,
    sessions: usize,
    bytes: usize,
}

/// A statement that another instance forwards.
#[derive(Debug, Clone, Copy)]
pub struct ForwardedStatement {
    /// Number of its session on the link.
    pub number: u64,
    /// Its serial number.
    pub serial: u64,
    /// Memory that it takes.
    pub bytes: usize,
    /// Whether it continues a transaction.
    pub is_later: bool,
}

/// What happens to a forwarded statement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StatementDecision {
    /// It is passed to the gateway for this client.
    Accepted(ClientId),
    /// It is refused, and may be repeated.
    Refused(LimitReason),
    /// Its link is closed.
    LinkClosed(LimitReason),
}

/// The sessions that other instances forward to this one.
#[derive(Debug)]
pub struct ForwardedSessions {
    limits: PeerLimits,
    /// Sorted by client.
    sessions: Vec<ForwardedSession>,
    /// Clients by link and number, sorted.
    numbers: Vec<(LinkId, u64, ClientId)>,
    /// Sorted by link.
    links: Vec<LinkUse>,
    bytes: usize,
}

impl ForwardedSessions {
    /// Creates a table without sessions.
    pub fn new(limits: PeerLimits) -> Self {
        Self {
            limits,
            sessions: Vec::new(),
            numbers: Vec::new(),
            links: Vec::new(),
            bytes: 0,
        }
    }

    /// Returns the bytes of all unanswered statements.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns whether a client is a forwarded session.
    pub fn contains(&self, client: ClientId) -> bool {
        self.position(client).is_ok()
    }

    /// Returns the client of a session.
    pub fn find(&self, link: LinkId, number: u64) -> Option<ClientId> {
        let found = self.find_number(link, number);
        found.ok().map(|i| self.numbers[i].2)
    }

    /// Decides on a statement. `next_id` is the id of the client if its session is new; ids rise.
    pub fn add_statement(
        &mut self,
        link: LinkId,
        statement: ForwardedStatement,
        next_id: impl FnOnce() -> ClientId,
    ) -> StatementDecision {
        let limits = &self.limits;
        let known = self.find(link, statement.number);
        let used = self.links.binary_search_by_key(&link, |used| used.link);
        let (sessions, bytes) =
            used.map_or((0, 0), |i| (self.links[i].sessions, self.links[i].bytes));
        if known.is_none() && sessions >= limits.link_sessions {
            return StatementDecision::LinkClosed(LimitReason::SessionCount);
        }
        if known.is_none() && self.sessions.len() >= limits.sessions {
            return StatementDecision::Refused(LimitReason::SessionCount);
        }
        // A refusal inside a transaction would leave the other instance in doubt about its state, so
        // these statements get as much again before the link is closed.
        let factor = if statement.is_later { 2 } else { 1 };
        let is_link_full = bytes + statement.bytes > limits.link_statement_bytes * factor;
        if is_link_full || self.bytes + statement.bytes > limits.statement_bytes * factor {
            return match statement.is_later {
                true => StatementDecision::LinkClosed(LimitReason::StatementBytes),
                false => StatementDecision::Refused(LimitReason::StatementBytes),
            };
        }
        let client = known.unwrap_or_else(|| {
            let client = next_id();
            self.add_session(link, statement.number, client);
            client
        });
        let Ok(i) = self.position(client) else {
            return StatementDecision::LinkClosed(LimitReason::LinkProtocol);
        };
        let session = &mut self.sessions[i];
        if session.statements >= self.limits.session_statements {
            return StatementDecision::LinkClosed(LimitReason::StatementCount);
        }
        session.serial = statement.serial;
        session.statements += 1;
        session.bytes += statement.bytes;
        self.add_bytes(link, statement.bytes);
        StatementDecision::Accepted(client)
    }

    /// Records an answer; returns the link, the number and the serial number that it is sent with.
    pub fn record_answer(&mut self, client: ClientId) -> Option<(LinkId, u64, u64)> {
        let i = self.position(client).ok()?;
        let session = &mut self.sessions[i];
        session.statements = 0;
        let bytes = std::mem::take(&mut session.bytes);
        let sent = (session.link, session.number, session.serial);
        self.subtract_bytes(sent.0, bytes);
        Some(sent)
    }

    /// Removes a session.
    pub fn remove(&mut self, client: ClientId) {
        let Ok(i) = self.position(client) else {
            return;
        };
        let session = self.sessions.remove(i);
        if let Ok(i) = self.find_number(session.link, session.number) {
            self.numbers.remove(i);
        }
        self.subtract_bytes(session.link, session.bytes);
        if let Ok(i) = self
            .links
            .binary_search_by_key(&session.link, |used| used.link)
        {
            self.links[i].sessions -= 1;
            if self.links[i].sessions == 0 {
                self.links.remove(i);
            }
        }
    }

    /// Removes the sessions of a link and returns their clients.
    pub fn remove_link(&mut self, link: LinkId) -> Vec<ClientId> {
        let mut removed = Vec::new();
        let mut bytes = 0;
        self.sessions.retain(|session| {
            if session.link == link {
                removed.push(session.client);
                bytes += session.bytes;
            }
            session.link != link
        });
        self.numbers.retain(|(known, _, _)| *known != link);
        self.links.retain(|used| used.link != link);
        self.bytes -= bytes;
        removed
    }

    fn position(&self, client: ClientId) -> Result<usize, usize> {
        self.sessions
            .binary_search_by_key(&client, |session| session.client)
    }

    fn find_number(&self, link: LinkId, number: u64) -> Result<usize, usize> {
        self.numbers
            .binary_search_by_key(&(link, number), |(link, number, _)| (*link, *number))
    }

    fn add_session(&mut self, link: LinkId, number: u64, client: ClientId) {
        self.sessions.push(ForwardedSession {
            client,
            link,
            number,
            serial: 0,
            statements: 0,
            bytes: 0,
        });
        if let Err(i) = self.find_number(link, number) {
            self.numbers.insert(i, (link, number, client));
        }
        match self.links.binary_search_by_key(&link, |used| used.link) {
            Ok(i) => self.links[i].sessions += 1,
            Err(i) => {
                let used = LinkUse {
                    link,
                    sessions: 1,
                    bytes: 0,
                };
                self.links.insert(i, used);
            }
        }
    }

    fn add_bytes(&mut self, link: LinkId, bytes: usize) {
        self.bytes += bytes;
        if let Ok(i) = self.links.binary_search_by_key(&link, |used| used.link) {
            self.links[i].bytes += bytes;
        }
    }

    fn subtract_bytes(&mut self, link: LinkId, bytes: usize) {
        self.bytes -= bytes;
        if let Ok(i) = self.links.binary_search_by_key(&link, |used| used.link) {
            self.links[i].bytes -= bytes;
        }
    }
}
