//! Connections of clients.
//!
//! Each connection has one task. It decodes lines into events for the main loop and writes the
//! answers that it receives over a channel; the connection closes when the sender of that channel
//! is dropped. A client that sends ahead or does not read its answers is not read, and what its
//! connection takes is reserved at the limiter.

use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::BufMut;
use bytes::Bytes;
use log::debug;
use tokio::io::AsyncRead;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::mpsc::Receiver;
use tokio::sync::mpsc::Sender;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::mpsc::channel;
use tokio::sync::oneshot;
use tokio::time::Instant;

use heatherhollow_gateway::ClientCode;
use heatherhollow_gateway::ClientError;
use heatherhollow_gateway::ClientId;
use heatherhollow_gateway::GatewayEvent;
use heatherhollow_gateway::Statement;

use crate::client_budget::ClientLimits;
use crate::client_limiter::ClientLimiter;
use crate::client_limiter::CloseReason;
use crate::client_output::ClientOutput;
use crate::formats::ClientInput;
use crate::formats::WireFormat;
use crate::line_buffer::LineBuffer;
use crate::line_decoder::LineError;
use crate::links::LinkEvent;
use crate::settings::ClientTimeouts;
use crate::socket::set_socket_options;

/// Longest line of a client or target, in bytes.
pub const MAX_LINE_BYTES: usize = 1 << 20;

/// Initial size of a connection's read buffer, in bytes. Small because most sessions are idle.
pub const READ_BUFFER_BYTES: usize = 256;

/// An event for the main loop.
pub enum RunnerEvent {
    /// An event for the gateway.
    Gateway(GatewayEvent),
    /// A client connected; the sender takes its encoded answers.
    ClientConnected(ClientId, Sender<Bytes>),
    /// An event of a link between instances.
    Link(LinkEvent),
    /// The instance reaches neither the store nor a reader, and asks others for readers: those that
    /// it has links with, and these.
    ReadersWanted(Vec<(String, SocketAddr)>),
}

/// Generates the ids of clients and of sessions that other instances forward.
#[derive(Debug, Clone, Default)]
pub struct ClientIdGenerator(Arc<AtomicU64>);

impl ClientIdGenerator {
    /// Returns an id that has not been returned before.
    pub fn next_id(&self) -> ClientId {
        ClientId(self.0.fetch_add(1, Ordering::Relaxed))
    }
}

/// What the connections of clients share.
pub struct ClientParts {
    /// Line protocol.
    pub format: Arc<dyn WireFormat>,
    /// Generates the ids of clients.
    pub ids: ClientIdGenerator,
    /// Limits what clients take.
    pub limiter: Arc<ClientLimiter>,
    /// Time limits of each client.
    pub timeouts: ClientTimeouts,
    /// Events for the main loop. Bounded, so that clients wait for the main loop instead of filling
    /// the memory.
    pub events: Sender<RunnerEvent>,
}

/// Accepts clients until the main loop ends; retries after a failed accept.
pub async fn accept_clients(listener: TcpListener, parts: ClientParts) {
    let parts = Arc::new(parts);
    let mut log_at = Instant::now();
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let client = parts.ids.next_id();
                let Some(closing) = parts.limiter.admit(client).await else {
                    continue;
                };
                let (answers, outgoing) = channel(ANSWER_CAPACITY);
                let connected = RunnerEvent::ClientConnected(client, answers);
                if parts.events.send(connected).await.is_err() {
                    return;
                }
                set_socket_options(&stream);
                let connection = ClientConnection::new(client, parts.clone());
                tokio::spawn(connection.serve(stream, outgoing, closing));
            }
            Err(error) => {
                // No free descriptors, or the connection ended at once: later accepts may succeed.
                if Instant::now() >= log_at {
                    log::warn!("accept_failed error={error}");
                    log_at = Instant::now() + ACCEPT_LOG_INTERVAL;
                }
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Pause after a failed accept. Clients that are connected are served meanwhile.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Shortest time between two log lines of failed accepts.
const ACCEPT_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Number of unanswered messages with which a client is not read.
const MAX_UNANSWERED: usize = 32;

/// Bytes of unread answers with which a client is not read.
const MAX_UNREAD_BYTES: usize = 64 << 10;

/// Answers that the channel to a connection takes: those to all unanswered messages and an error.
/// Before a connection passes more messages on, it takes all answers out of the channel.
const ANSWER_CAPACITY: usize = MAX_UNANSWERED + 8;

/// Bytes that a message takes beside its text, in the channel and in the gateway.
const MESSAGE_OVERHEAD: usize = 256;

/// Time after which a client whose connection was closed for memory may retry.
const CLOSED_RETRY_DELAY: Duration = Duration::from_secs(1);

/// What a connection does with the input of its client.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum InputState {
    /// It reads more.
    Reading,
    /// It waits until the client has read answers, or until messages have been answered.
    Paused,
    /// It waits for memory.
    WaitingForRoom,
    /// It reads no more and waits for the gateway to close the session.
    Rejected,
    /// It reads no more and ends once the answers that it has are written.
    Ended,
}

/// What ends a connection.
enum ConnectionEnd {
    /// The client or the gateway ended it, or a write failed.
    Ended(Option<io::Error>),
    /// The limiter closes it.
    Closed(CloseReason),
    /// The client exceeded a time limit.
    TimedOut(CloseReason),
    /// The main loop has ended.
    Stopped,
}

/// A connection of a client.
struct ClientConnection {
    client: ClientId,
    parts: Arc<ClientParts>,
    input: LineBuffer,
    state: InputState,
    output: ClientOutput,
    /// Reserved bytes of the messages that have not been answered, in order.
    unanswered: VecDeque<usize>,
    /// Bytes of the first line of the input as a statement, if there was no memory for it.
    refused_cost: Option<usize>,
    /// Reserved bytes of answered messages that have not been released.
    answered_bytes: usize,
    is_started: bool,
    opened_at: Instant,
    /// When the first byte of an incomplete line was read, or the client was last not read.
    line_since: Option<Instant>,
    /// When the client last read something, or the oldest waiting answer arrived.
    unread_since: Instant,
}

impl ClientConnection {
    fn new(client: ClientId, parts: Arc<ClientParts>) -> Self {
        let now = Instant::now();
        Self {
            client,
            parts,
            input: LineBuffer::new(READ_BUFFER_BYTES, MAX_LINE_BYTES),
            state: InputState::Reading,
            output: ClientOutput::default(),
            unanswered: VecDeque::new(),
            refused_cost: None,
            answered_bytes: 0,
            is_started: false,
            opened_at: now,
            line_since: None,
            unread_since: now,
        }
    }

    /// Serves the connection until it ends, and reports its end to the main loop.
    async fn serve(
        mut self,
        mut stream: TcpStream,
        mut outgoing: Receiver<Bytes>,
        closing: oneshot::Receiver<CloseReason>,
    ) {
        let client = self.client;
        let end = self.exchange(&mut stream, &mut outgoing, closing).await;
        match end {
            ConnectionEnd::Ended(None) => {}
            ConnectionEnd::Ended(Some(error)) => {
                debug!("client_write_failed client={client} error={error}");
            }
            ConnectionEnd::Closed(reason) => self.write_reason(&stream, reason),
            ConnectionEnd::TimedOut(reason) => {
                self.parts.limiter.record_timeout(client, reason);
            }
            ConnectionEnd::Stopped => return,
        }
        let parts = self.parts.clone();
        // The limiter counts memory and descriptor as free once the main loop has the event.
        drop((self, stream, outgoing));
        match parts.events.reserve().await {
            Ok(permit) => {
                permit.send(RunnerEvent::Gateway(GatewayEvent::ClientClosed(client)));
            }
            Err(_) => debug!("client_closed_after_stop client={client}"),
        }
    }

    async fn exchange(
        &mut self,
        stream: &mut TcpStream,
        outgoing: &mut Receiver<Bytes>,
        mut closing: oneshot::Receiver<CloseReason>,
    ) -> ConnectionEnd {
        let (mut reader, mut writer) = stream.split();
        let parts = self.parts.clone();
        // The gateway closes a session by dropping the sender of its answers.
        let mut is_session_open = true;
        loop {
            while let Ok(answer) = outgoing.try_recv() {
                self.add_answer(answer);
            }
            let room = parts.limiter.wait_for_room();
            if is_session_open && !self.forward_lines(&parts.events).await {
                return ConnectionEnd::Stopped;
            }
            if self.output.is_empty() {
                if !is_session_open {
                    return ConnectionEnd::Ended(writer.shutdown().await.err());
                }
                if self.state == InputState::Ended {
                    return ConnectionEnd::Ended(None);
                }
            }
            let deadline = self.deadline();
            tokio::select! {
                biased;
                reason = &mut closing => match reason {
                    Ok(reason) => return ConnectionEnd::Closed(reason),
                    Err(_) => return ConnectionEnd::Ended(None),
                },
                answer = outgoing.recv(), if is_session_open => match answer {
                    Some(answer) => self.add_answer(answer),
                    None => is_session_open = false,
                },
                written = self.output.write_to(&mut writer), if !self.output.is_empty() => {
                    match written {
                        Ok(written) => self.record_written(written),
                        Err(error) => return ConnectionEnd::Ended(Some(error)),
                    }
                }
                read = read_input(&mut reader, &mut self.input),
                    if is_session_open && self.state == InputState::Reading =>
                {
                    match read {
                        Ok(count) if count > 0 => self.record_read(),
                        // A client may send its last messages and read their answers afterwards.
                        _ => self.state = InputState::Ended,
                    }
                }
                () = room, if self.state == InputState::WaitingForRoom => {}
                () = sleep_until(deadline.map(|(at, _)| at)), if deadline.is_some() => {
                    if let Some((_, reason)) = deadline {
                        return ConnectionEnd::TimedOut(reason);
                    }
                }
            }
        }
    }

    /// Passes complete lines on, as far as the limits allow, and decides whether to read more.
    /// Returns false if the main loop has ended.
    ///
    /// Waits for a place in the channel before it decodes a message, so that the task of an idle
    /// connection holds no room for one.
    async fn forward_lines(&mut self, events: &Sender<RunnerEvent>) -> bool {
        if matches!(self.state, InputState::Rejected | InputState::Ended) {
            return true;
        }
        let was_reading = self.state == InputState::Reading;
        self.state = loop {
            if self.unanswered.len() >= MAX_UNANSWERED || self.output.bytes() >= MAX_UNREAD_BYTES {
                break InputState::Paused;
            }
            let found = match self.input.next_line() {
                Ok(Some(length)) => Ok(length),
                Ok(None) => break self.prepare_read(),
                Err(error) => Err(error),
            };
            let Ok(permit) = events.reserve().await else {
                return false;
            };
            match found.and_then(|length| self.take_line(length)) {
                Ok(None) => break InputState::WaitingForRoom,
                Ok(Some(ClientInput::Terminate)) => break InputState::Ended,
                Ok(Some(input)) => {
                    let event = gateway_event(self.client, input);
                    permit.send(RunnerEvent::Gateway(event));
                }
                Err(error) => {
                    permit.send(RunnerEvent::Gateway(self.reject_input(&error)));
                    break InputState::Rejected;
                }
            }
        };
        let is_read = was_reading && self.state == InputState::Reading;
        if self.input.is_empty() {
            self.line_since = None;
        } else if !is_read || self.line_since.is_none() {
            // The time in which the client is not read does not count.
            self.line_since = Some(Instant::now());
        }
        true
    }

    /// Drops the input, whose rest cannot be split into lines, and returns the event of that. Only
    /// the error that the gateway sends is written then.
    fn reject_input(&mut self, error: &LineError) -> GatewayEvent {
        self.input.clear();
        self.parts.limiter.reserve_input(self.client, 0);
        GatewayEvent::ClientMalformed {
            client: self.client,
            code: match error {
                LineError::TooLong(_) => ClientCode::TooLarge,
                LineError::NotText | LineError::Io(_) => ClientCode::Malformed,
            },
        }
    }

    /// Takes the first line, which has the given length, out of the buffer and decodes it; `None`
    /// if there is no memory for it.
    fn take_line(&mut self, length: usize) -> Result<Option<ClientInput>, LineError> {
        let limiter = &self.parts.limiter;
        let rest = self.input.capacity_without(length);
        // A line that waited for room is decoded only once there is room.
        if let Some(cost) = self.refused_cost
            && !limiter.reserve_statement(self.client, rest, cost)
        {
            return Ok(None);
        }
        let input = self.parts.format.decode_client(self.input.line(length)?);
        let cost = copies_of(&input) * length + MESSAGE_OVERHEAD;
        if self.refused_cost.take().is_none() && !limiter.reserve_statement(self.client, rest, cost)
        {
            self.refused_cost = Some(cost);
            return Ok(None);
        }
        self.input.remove_line(length);
        self.line_since = None;
        self.unanswered.push_back(cost);
        Ok(Some(input))
    }

    /// Makes room for the next input.
    fn prepare_read(&mut self) -> InputState {
        let Some(capacity) = self.input.wanted_capacity() else {
            return InputState::Reading;
        };
        let limiter = &self.parts.limiter;
        if !limiter.reserve_input(self.client, capacity) {
            return InputState::WaitingForRoom;
        }
        self.input.grow(capacity);
        InputState::Reading
    }

    fn add_answer(&mut self, answer: Bytes) {
        self.is_started = true;
        self.answered_bytes += self.unanswered.pop_front().unwrap_or(0);
        if self.output.is_empty() {
            self.unread_since = Instant::now();
        }
        self.output.push(answer);
    }

    fn record_written(&mut self, written: usize) {
        let answers = self.output.advance(written);
        let statements = std::mem::take(&mut self.answered_bytes);
        let limiter = &self.parts.limiter;
        limiter.release(self.client, statements, answers);
        if !self.output.is_empty() {
            self.unread_since = Instant::now();
        }
    }

    fn record_read(&mut self) {
        // Only connections that reserve memory are compared by their progress.
        if self.input.capacity() > ClientLimits::FREE_BYTES {
            self.parts.limiter.mark_progress(self.client);
        }
    }

    /// Returns the earliest time at which the client exceeds a time limit, and the limit.
    fn deadline(&self) -> Option<(Instant, CloseReason)> {
        let timeouts = &self.parts.timeouts;
        let is_reading = self.state == InputState::Reading;
        let start = (!self.is_started)
            .then(|| (self.opened_at + timeouts.start, CloseReason::StartTimeout));
        let line = self
            .line_since
            .filter(|_| is_reading)
            .map(|since| (since + timeouts.line, CloseReason::LineTimeout));
        let read = (!self.output.is_empty())
            .then(|| (self.unread_since + timeouts.read, CloseReason::ReadTimeout));
        let limits = [start, line, read];
        limits.into_iter().flatten().min_by_key(|(at, _)| *at)
    }

    /// Tells the client why its connection is closed, if that can be written at once. Without an
    /// unanswered message only: the client would take the error for the answer to that message,
    /// which may have run.
    fn write_reason(&self, stream: &TcpStream, reason: CloseReason) {
        let is_between_answers = self.unanswered.is_empty() && self.output.is_empty();
        if reason != CloseReason::Memory || !is_between_answers {
            return;
        }
        let is_large = self.input.capacity() > ClientLimits::FREE_BYTES;
        let (code, text) = match is_large {
            true => (ClientCode::TooLarge, "there is no memory for the message"),
            false => (ClientCode::Busy, "there is no memory for the session"),
        };
        let error = ClientError {
            retry_after: Some(CLOSED_RETRY_DELAY),
            ..ClientError::new(code, text)
        };
        let mut out = String::new();
        self.parts.format.encode_rejection(&error, &mut out);
        // The connection closes whether or not the client can read this.
        let _is_written = stream.try_write(out.as_bytes()).is_ok();
    }
}

/// Reads into the unused capacity of the buffer.
async fn read_input(
    reader: &mut (impl AsyncRead + Unpin),
    input: &mut LineBuffer,
) -> io::Result<usize> {
    let bytes = input.bytes_mut();
    let room = bytes.capacity() - bytes.len();
    reader.read_buf(&mut bytes.limit(room)).await
}

async fn sleep_until(deadline: Option<Instant>) {
    match deadline {
        Some(deadline) => tokio::time::sleep_until(deadline).await,
        None => std::future::pending().await,
    }
}

/// Returns how often a decoded message contains the text of its line.
fn copies_of(input: &ClientInput) -> usize {
    match input {
        ClientInput::Query(query) => match &query.statement {
            Statement::Set { .. } | Statement::Prepare { .. } | Statement::Execute { .. } => 2,
            _ => 1,
        },
        _ => 1,
    }
}

fn gateway_event(client: ClientId, input: ClientInput) -> GatewayEvent {
    match input {
        ClientInput::Start { database, key } => GatewayEvent::ClientStart {
            client,
            database,
            key,
        },
        ClientInput::Query(query) => GatewayEvent::ClientQuery { client, query },
        ClientInput::Malformed | ClientInput::Terminate => GatewayEvent::ClientMalformed {
            client,
            code: ClientCode::Malformed,
        },
    }
}

/// Writes a message together with those queued behind it, with one call.
pub(crate) async fn write_queued(
    writer: &mut (impl AsyncWriteExt + Unpin),
    first: Bytes,
    outgoing: &mut UnboundedReceiver<Bytes>,
) -> io::Result<()> {
    let Ok(second) = outgoing.try_recv() else {
        return writer.write_all(&first).await;
    };
    let mut joined = first.to_vec();
    joined.extend_from_slice(&second);
    while let Ok(next) = outgoing.try_recv() {
        joined.extend_from_slice(&next);
    }
    writer.write_all(&joined).await
}
