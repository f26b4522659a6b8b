//! Connections to a target: the caller's end and the task at the target's end.
//!
//! Both ends of a connection exchange messages through channels that carry the arrival time with
//! each message. If a message is lost to a cut, the connection is silent from then on, because a
//! byte stream cannot go on after a hole: it swallows everything in both directions.
//!
//! When the target learns that a connection was closed, it rolls back the open transaction and drops
//! a call that still waits for a slot. A statement that has a slot runs to its end.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use async_trait::async_trait;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::sleep_until;

use heatherhollow_ports::AnswerPart;
use heatherhollow_ports::ConnectionPermit;
use heatherhollow_ports::TargetCall;
use heatherhollow_ports::TargetConnection;
use heatherhollow_ports::TargetError;

use crate::execute;
use crate::network::NetworkModel;
use crate::network::NetworkPoint;
use crate::target::TargetCell;

/// Parts of an answer that are on their way; a caller that does not read them holds up the target.
const ANSWER_WINDOW_PARTS: usize = 16;

/// Size of a message beside its text.
const MESSAGE_OVERHEAD_BYTES: usize = 48;

type TimedPart = (Instant, Result<AnswerPart, TargetError>);

/// What both ends of a connection share.
#[derive(Debug)]
pub(crate) struct ConnectionLine {
    pub permit: ConnectionPermit,
    /// The caller's place.
    pub caller: NetworkPoint,
    is_silent: watch::Sender<bool>,
    /// When the caller learns that the target has closed the connection.
    caller_end: watch::Sender<Option<Instant>>,
    is_ended: watch::Sender<bool>,
}

impl ConnectionLine {
    fn new(permit: ConnectionPermit, caller: &NetworkPoint) -> Self {
        Self {
            permit,
            caller: caller.clone(),
            is_silent: watch::Sender::new(false),
            caller_end: watch::Sender::new(None),
            is_ended: watch::Sender::new(false),
        }
    }

    /// Makes the connection swallow everything for ever.
    pub(crate) fn silence(&self) {
        self.is_silent.send_replace(true);
    }

    pub(crate) fn is_silent(&self) -> bool {
        *self.is_silent.borrow()
    }

    /// Closes the connection from the target's side; the caller learns it over the network.
    pub(crate) fn end_by_target(&self, target: &TargetCell) {
        if !self.is_silent() {
            match target
                .network
                .depart(&target.point, &self.caller, MESSAGE_OVERHEAD_BYTES)
            {
                Ok(at) => {
                    self.caller_end.send_replace(Some(at));
                }
                Err(_) => self.silence(),
            }
        }
        self.is_ended.send_replace(true);
    }

    async fn silenced(&self) {
        let mut changes = self.is_silent.subscribe();
        // The sender lives as long as `self`, so waiting cannot fail.
        let _ = changes.wait_for(|is_silent| *is_silent).await;
    }

    async fn ended(&self) {
        let mut changes = self.is_ended.subscribe();
        // The sender lives as long as `self`, so waiting cannot fail.
        let _ = changes.wait_for(|is_ended| *is_ended).await;
    }

    /// Returns when the caller learns that the target has closed the connection.
    async fn end_seen(&self) {
        let mut changes = self.caller_end.subscribe();
        let end = changes.wait_for(Option::is_some).await.map(|end| *end);
        match end {
            Ok(Some(at)) if !self.is_silent() => sleep_until(at).await,
            _ => std::future::pending().await,
        }
    }

    fn is_end_seen(&self) -> bool {
        let end = *self.caller_end.borrow();
        !self.is_silent() && end.is_some_and(|at| at <= Instant::now())
    }
}

/// Messages of the caller, on their way to the target.
#[derive(Debug)]
struct CallerInbox {
    messages: mpsc::UnboundedReceiver<(Instant, CallerMessage)>,
    /// A message that has been taken out of `messages` and is still on its way.
    next: Option<(Instant, CallerMessage)>,
}

#[derive(Debug)]
enum CallerMessage {
    Call(TargetCall, mpsc::Sender<TimedPart>),
    Check(oneshot::Sender<Instant>),
    Close,
}

/// Opens a connection from a place of the network.
pub(crate) async fn open(
    target: &Arc<TargetCell>,
    from: &NetworkPoint,
    permit: ConnectionPermit,
) -> Result<Box<dyn TargetConnection>, TargetError> {
    let network = &target.network;
    network
        .carry(from, &target.point, MESSAGE_OVERHEAD_BYTES)
        .await;
    let result = accept(target, from, permit).await;
    network
        .carry(&target.point, from, MESSAGE_OVERHEAD_BYTES)
        .await;
    result.map(|connection| Box::new(connection) as Box<dyn TargetConnection>)
}

async fn accept(
    target: &Arc<TargetCell>,
    from: &NetworkPoint,
    permit: ConnectionPermit,
) -> Result<CallerConnection, TargetError> {
    let epoch = target.alive_epoch().ok_or(TargetError::ConnectionRefused)?;
    tokio::select! {
        biased;
        () = target.killed(epoch) => return Err(TargetError::ConnectionRefused),
        () = target.work(target.connect_time) => {}
    }
    let line = Arc::new(ConnectionLine::new(permit, from));
    let older = {
        let mut state = target
            .lock_alive(epoch)
            .map_err(|_| TargetError::ConnectionRefused)?;
        state.register(&line, target.settings.connection_limit)?
    };
    if let Some(older) = older {
        older.end_by_target(target);
    }
    let (messages, inbox) = mpsc::unbounded_channel();
    let inbox = CallerInbox {
        messages: inbox,
        next: None,
    };
    tokio::spawn(serve(target.clone(), line.clone(), inbox, epoch));
    Ok(CallerConnection {
        network: target.network.clone(),
        target: target.point.clone(),
        line,
        messages,
        parts: None,
        next: None,
    })
}

/// The caller's end of a connection.
#[derive(Debug)]
struct CallerConnection {
    network: Arc<NetworkModel>,
    target: NetworkPoint,
    line: Arc<ConnectionLine>,
    messages: mpsc::UnboundedSender<(Instant, CallerMessage)>,
    /// Rest of the answer to the running call.
    parts: Option<mpsc::Receiver<TimedPart>>,
    /// A part that has been taken out of `parts` and is still on its way.
    next: Option<TimedPart>,
}

impl CallerConnection {
    fn send(&self, message: CallerMessage, bytes: usize) {
        if self.line.is_silent() {
            return;
        }
        let bytes = bytes + MESSAGE_OVERHEAD_BYTES;
        match self.network.depart(&self.line.caller, &self.target, bytes) {
            // The target's task is gone only if it has closed the connection.
            Ok(arrival) => drop(self.messages.send((arrival, message))),
            Err(_) => self.line.silence(),
        }
    }
}

#[async_trait]
impl TargetConnection for CallerConnection {
    async fn begin_call(&mut self, call: TargetCall) -> Result<(), TargetError> {
        if self.is_closed() {
            return Err(TargetError::NotSent);
        }
        if self.parts.is_some() {
            let detail = "the previous answer has not been read to its end";
            return Err(TargetError::Rejected(detail.to_string()));
        }
        let (sender, parts) = mpsc::channel(ANSWER_WINDOW_PARTS);
        self.parts = Some(parts);
        let bytes = call.statement.len();
        self.send(CallerMessage::Call(call, sender), bytes);
        Ok(())
    }

    async fn next_part(&mut self) -> Result<AnswerPart, TargetError> {
        let Some(parts) = &mut self.parts else {
            return Err(TargetError::Rejected("no call is running".to_string()));
        };
        // Kept in `self` while it is on its way, so that dropping this future loses nothing.
        if self.next.is_none() {
            let line = &self.line;
            self.next = tokio::select! {
                biased;
                Some(part) = parts.recv() => Some(part),
                () = line.end_seen() => return Err(TargetError::ConnectionLost),
            };
        }
        if let Some((arrival, _)) = &self.next {
            sleep_until(*arrival).await;
        }
        if self.line.is_silent() {
            std::future::pending::<()>().await;
        }
        let Some((_, part)) = self.next.take() else {
            return Err(TargetError::ConnectionLost);
        };
        if part.as_ref().map_or(true, AnswerPart::is_end) {
            self.parts = None;
        }
        part
    }

    async fn check(&mut self) -> Result<(), TargetError> {
        if self.is_closed() {
            return Err(TargetError::NotSent);
        }
        let (reply, arrival) = oneshot::channel();
        self.send(CallerMessage::Check(reply), 0);
        let line = self.line.clone();
        let answered = async {
            match arrival.await {
                Ok(arrival) => sleep_until(arrival).await,
                Err(_) => std::future::pending().await,
            }
            if line.is_silent() {
                std::future::pending::<()>().await;
            }
        };
        tokio::select! {
            biased;
            () = answered => Ok(()),
            () = self.line.end_seen() => Err(TargetError::ConnectionLost),
        }
    }

    fn is_closed(&self) -> bool {
        self.line.is_end_seen()
    }
}

impl Drop for CallerConnection {
    fn drop(&mut self) {
        self.send(CallerMessage::Close, 0);
    }
}

/// Sends the parts of one answer to the caller.
#[derive(Debug)]
pub(crate) struct PartSender<'a> {
    target: &'a TargetCell,
    line: &'a ConnectionLine,
    parts: mpsc::Sender<TimedPart>,
}

impl PartSender<'_> {
    /// Sends a part as soon as there is room for it; returns whether the caller still wants more.
    pub(crate) async fn send(&self, part: Result<AnswerPart, TargetError>) -> bool {
        if self.line.is_silent() {
            return true;
        }
        let room = tokio::select! {
            biased;
            () = self.line.ended() => return false,
            () = self.line.silenced() => return true,
            room = self.parts.reserve() => room,
        };
        let Ok(room) = room else { return false };
        self.target.awake().await;
        let text = match &part {
            Ok(AnswerPart::Row(row)) => row.len(),
            _ => 0,
        };
        let bytes = text + MESSAGE_OVERHEAD_BYTES;
        let network = &self.target.network;
        match network.depart(&self.target.point, &self.line.caller, bytes) {
            Ok(arrival) if !self.line.is_silent() => room.send((arrival, part)),
            Ok(_) => {}
            Err(_) => self.line.silence(),
        }
        true
    }

    /// Drops the connection instead of answering.
    pub(crate) fn reset(&self) {
        self.line.end_by_target(self.target);
    }

    /// Drops the answer; the caller waits for ever.
    pub(crate) fn silence(&self) {
        self.line.silence();
    }
}

/// The target's end of a connection: runs until the connection is closed or the target is killed.
async fn serve(
    target: Arc<TargetCell>,
    line: Arc<ConnectionLine>,
    mut inbox: CallerInbox,
    epoch: u64,
) {
    tokio::select! {
        biased;
        () = target.killed(epoch) => {}
        () = serve_calls(&target, &line, &mut inbox, epoch) => {}
    }
    target.lock().unregister(&line);
}

async fn serve_calls(
    target: &TargetCell,
    line: &Arc<ConnectionLine>,
    inbox: &mut CallerInbox,
    epoch: u64,
) {
    let mut transaction = None;
    loop {
        let message = tokio::select! {
            biased;
            () = line.ended() => return,
            message = receive(target, line, inbox) => message,
        };
        match message {
            CallerMessage::Close => return,
            CallerMessage::Check(reply) => {
                match target
                    .network
                    .depart(&target.point, &line.caller, MESSAGE_OVERHEAD_BYTES)
                {
                    // The caller may have stopped waiting.
                    Ok(arrival) => drop(reply.send(arrival)),
                    Err(_) => line.silence(),
                }
            }
            CallerMessage::Call(call, parts) => {
                let out = PartSender {
                    target,
                    line,
                    parts,
                };
                let has_slot = AtomicBool::new(false);
                let run =
                    execute::run_call(target, epoch, &call, &mut transaction, &out, &has_slot);
                let mut run = std::pin::pin!(run);
                tokio::select! {
                    biased;
                    () = &mut run => continue,
                    () = line.ended() => {}
                    () = closed(target, line, inbox) => {}
                }
                target.lock().unregister(line);
                if has_slot.load(Ordering::SeqCst) {
                    run.await;
                }
                return;
            }
        }
    }
}

/// The next message that arrives; never returns if the connection has become silent. Dropping the
/// future loses no message.
async fn receive(
    target: &TargetCell,
    line: &ConnectionLine,
    inbox: &mut CallerInbox,
) -> CallerMessage {
    if inbox.next.is_none() {
        inbox.next = inbox.messages.recv().await;
    }
    if let Some((arrival, _)) = &inbox.next {
        sleep_until(*arrival).await;
        target.awake().await;
        if !line.is_silent()
            && let Some((_, message)) = inbox.next.take()
        {
            return message;
        }
    }
    // The connection is silent, or the caller is gone and its close message was lost.
    std::future::pending().await
}

/// Returns when the caller's close message arrives.
async fn closed(target: &TargetCell, line: &ConnectionLine, inbox: &mut CallerInbox) {
    while !matches!(receive(target, line, inbox).await, CallerMessage::Close) {}
}
