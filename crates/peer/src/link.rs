//! State of one link.
//!
//! The reader, the writer, the own calls and the tasks that serve calls of the peer share a
//! [`PeerLink`]. Its lock is held for short steps only, and no other lock is taken under it. The
//! numbers of own streams and of the peer's streams are separate: `Open`, `Credit` and `Cancel` name
//! a stream of their sender, `Part` one of its receiver.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::Notify;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use heatherhollow_ports::PeerError;
use heatherhollow_ports::PeerHandler;
use heatherhollow_types::RequestOutcome;

use crate::budget::FrameBudget;
use crate::convert;
use crate::counters::PeerCounters;
use crate::down::DownReason;
use crate::down::Violation;
use crate::generated as wire;
use crate::hello::PeerIdentity;
use crate::schedule::SendItem;
use crate::schedule::SendQueue;
use crate::serve::ServedCall;
use crate::settings::PeerSettings;

/// What all links of an instance share.
pub(crate) struct LinkContext {
    pub(crate) settings: PeerSettings,
    pub(crate) handler: Arc<dyn PeerHandler>,
    pub(crate) counters: PeerCounters,
    /// Bytes of the frames that have arrived in part, on all links.
    pub(crate) frames: Arc<FrameBudget>,
    /// Number of the last own stream on any link.
    pub(crate) last_stream: AtomicU64,
    /// Whether calls of peers are refused because the instance is stopping.
    pub(crate) is_draining: AtomicBool,
}

type WrittenSender = oneshot::Sender<Result<(), PeerError>>;

/// A part of an answer with its cost in credits.
pub(crate) type CostedPart = (wire::Part, u64);

enum CallPhase {
    Queued {
        body: Bytes,
        deadline: Instant,
        written: WrittenSender,
    },
    Written,
}

/// An own call.
struct OwnCall {
    stream: u64,
    phase: CallPhase,
    parts: mpsc::UnboundedSender<CostedPart>,
    /// Credits that the peer has left.
    granted: u64,
    /// Credits that have not been announced to the peer yet.
    unannounced: u64,
}

#[derive(Default)]
pub(crate) struct LinkState {
    pub(crate) is_closed: bool,
    /// Whether frames were taken that have not been flushed.
    is_writing: bool,
    own_calls: Vec<OwnCall>,
    pub(crate) served_calls: Vec<ServedCall>,
    pub(crate) last_served: u64,
    pub(crate) queue: SendQueue,
}

impl LinkState {
    fn own_call(&mut self, stream: u64) -> Option<&mut OwnCall> {
        let calls = &mut self.own_calls;
        let i = calls.binary_search_by_key(&stream, |call| call.stream);
        i.ok().map(|i| &mut calls[i])
    }

    fn remove_own(&mut self, stream: u64) -> Option<OwnCall> {
        let calls = &mut self.own_calls;
        let i = calls.binary_search_by_key(&stream, |call| call.stream);
        i.ok().map(|i| calls.remove(i))
    }

    pub(crate) fn served_call(&mut self, stream: u64) -> Option<&mut ServedCall> {
        let calls = &mut self.served_calls;
        let i = calls.binary_search_by_key(&stream, |call| call.stream);
        i.ok().map(|i| &mut calls[i])
    }

    pub(crate) fn remove_served(&mut self, stream: u64) -> Option<ServedCall> {
        let calls = &mut self.served_calls;
        let i = calls.binary_search_by_key(&stream, |call| call.stream);
        i.ok().map(|i| calls.remove(i))
    }

    fn is_idle(&self) -> bool {
        self.own_calls.is_empty()
            && self.served_calls.is_empty()
            && self.queue.is_idle()
            && !self.is_writing
    }
}

/// A frame to be written.
pub(crate) struct OutFrame {
    pub(crate) bytes: Bytes,
    /// For an open message: where to report that it has been written.
    pub(crate) written: Option<WrittenSender>,
}

/// One link.
pub(crate) struct PeerLink {
    pub(crate) context: Arc<LinkContext>,
    pub(crate) peer: PeerIdentity,
    pub(crate) address: SocketAddr,
    state: Mutex<LinkState>,
    /// Wakes the writer.
    pub(crate) has_output: Notify,
    /// Tells a shutdown that the last stream has ended.
    pub(crate) became_idle: Notify,
    /// Tasks that serve calls, including those of cancelled calls that have not stopped yet.
    pub(crate) serving: AtomicUsize,
    closed: CancellationToken,
    down_reason: Mutex<Option<DownReason>>,
}

impl PeerLink {
    pub(crate) fn new(
        context: Arc<LinkContext>,
        peer: PeerIdentity,
        address: SocketAddr,
    ) -> Arc<Self> {
        Arc::new(Self {
            context,
            peer,
            address,
            state: Mutex::default(),
            has_output: Notify::new(),
            became_idle: Notify::new(),
            serving: AtomicUsize::new(0),
            closed: CancellationToken::new(),
            down_reason: Mutex::default(),
        })
    }

    pub(crate) fn state(&self) -> MutexGuard<'_, LinkState> {
        // After a panic under the lock the link is closed, which has to work in destructors too.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn is_closed(&self) -> bool {
        self.closed.is_cancelled()
    }

    /// Returns when the link is closed.
    pub(crate) async fn closed(&self) {
        self.closed.cancelled().await;
    }

    /// Whether no stream is open and nothing waits to be written.
    pub(crate) fn is_idle(&self) -> bool {
        self.state().is_idle()
    }

    /// Why the link was closed first.
    pub(crate) fn down_reason(&self) -> Option<DownReason> {
        self.down_reason.lock().expect("no panic").clone()
    }

    /// Ends all streams of the link. Only the first reason counts.
    pub(crate) fn close(&self, reason: DownReason) {
        let (own_calls, served_calls) = {
            let mut state = self.state();
            if state.is_closed {
                return;
            }
            state.is_closed = true;
            state.queue = SendQueue::default();
            let own_calls = std::mem::take(&mut state.own_calls);
            (own_calls, std::mem::take(&mut state.served_calls))
        };
        *self.down_reason.lock().expect("no panic") = Some(reason);
        let mut lost = 0;
        for call in own_calls {
            match call.phase {
                CallPhase::Queued { written, .. } => {
                    // The receiver is gone if the caller has given up.
                    let _ = written.send(Err(PeerError::NotSent));
                }
                CallPhase::Written => lost += 1,
            }
        }
        self.context.counters.streams_lost.add(lost);
        for call in served_calls {
            call.stop();
        }
        self.closed.cancel();
        self.became_idle.notify_one();
    }

    /// Most own calls at once: the lower one of both sides' limits.
    fn call_limit(&self) -> usize {
        self.context.settings.max_streams.min(self.peer.max_streams)
    }

    /// Queues an own call.
    pub(crate) fn enqueue_call(
        &self,
        body: Bytes,
        deadline: Instant,
    ) -> Result<QueuedCall, RefusedCall> {
        let window = self.context.settings.stream_window as u64;
        let (parts, part_receiver) = mpsc::unbounded_channel();
        let (written, written_receiver) = oneshot::channel();
        let stream = {
            let mut state = self.state();
            if state.is_closed {
                return Err(RefusedCall::Closed);
            }
            if state.own_calls.len() >= self.call_limit() {
                return Err(RefusedCall::TooMany);
            }
            // Taken under the lock, so that the ids of this link rise in the order of the ring.
            let stream = self.context.last_stream.fetch_add(1, Ordering::Relaxed) + 1;
            state.own_calls.push(OwnCall {
                stream,
                phase: CallPhase::Queued {
                    body,
                    deadline,
                    written,
                },
                parts,
                granted: window,
                unannounced: 0,
            });
            state.queue.push_open(stream);
            stream
        };
        self.has_output.notify_one();
        Ok(QueuedCall {
            stream,
            parts: part_receiver,
            written: written_receiver,
        })
    }

    /// Gives an own call up; returns whether it may have been written.
    pub(crate) fn abandon_call(&self, stream: u64) -> bool {
        let mut state = self.state();
        let was_written = match state.remove_own(stream) {
            None => return true,
            Some(call) => matches!(call.phase, CallPhase::Written),
        };
        if was_written {
            state.queue.push_cancel(stream);
            self.context.counters.streams_cancelled.add(1);
            self.has_output.notify_one();
        } else {
            state.queue.remove_open(stream);
        }
        self.report_idle(&state);
        was_written
    }

    /// Returns credits of an own call to the peer.
    pub(crate) fn return_credit(&self, stream: u64, amount: u64) {
        let mut state = self.state();
        let Some(call) = state.own_call(stream) else {
            return;
        };
        call.granted += amount;
        let is_first = call.unannounced == 0;
        call.unannounced += amount;
        if is_first {
            state.queue.push_credit(stream);
            self.has_output.notify_one();
        }
    }

    fn receive_part(&self, part: wire::Part, frame_bytes: usize) -> Result<(), Violation> {
        convert::check_part(&part)?;
        let cost = convert::part_cost(&part, frame_bytes);
        let stream = part.stream;
        let mut state = self.state();
        // A stream that was cancelled here may still get parts that were on their way.
        let Some(call) = state.own_call(stream) else {
            return Ok(());
        };
        let is_queued = matches!(call.phase, CallPhase::Queued { .. });
        if is_queued {
            return Err(Violation::Unopened(stream));
        }
        if cost > call.granted {
            return Err(Violation::Credit(stream));
        }
        call.granted -= cost;
        let is_end = part.end.is_some();
        // The receiver is gone for a moment while an answer is being dropped.
        let _ = call.parts.send((part, cost));
        if is_end {
            state.remove_own(stream);
            self.report_idle(&state);
        }
        Ok(())
    }

    /// Takes a frame other than a control message.
    pub(crate) fn receive(
        self: &Arc<Self>,
        body: wire::frame::Body,
        frame_bytes: usize,
    ) -> Result<(), Violation> {
        use wire::frame::Body;
        match body {
            Body::Hello(_) => return Err(Violation::LateHello),
            Body::Ping(ping) => {
                self.state().queue.push_pong(ping.number);
                self.has_output.notify_one();
            }
            Body::Open(open) => self.receive_open(open)?,
            Body::Part(part) => self.receive_part(part, frame_bytes)?,
            Body::Credit(credit) => self.receive_credit(&credit),
            Body::Cancel(cancel) => self.receive_cancel(cancel.stream),
            Body::Pong(_) | Body::Control(_) => {}
        }
        Ok(())
    }

    /// Queues a control message; it is dropped if too much waits.
    pub(crate) fn send_control(&self, message: Bytes) {
        let settings = &self.context.settings;
        let is_queued = message.len() <= settings.max_control_bytes && {
            let mut state = self.state();
            !state.is_closed
                && state
                    .queue
                    .push_control(message, settings.control_queue_bytes)
        };
        if is_queued {
            self.has_output.notify_one();
        } else {
            self.context.counters.control_dropped.add(1);
        }
    }

    /// Queues a heartbeat.
    pub(crate) fn send_ping(&self, number: u64) {
        self.state().queue.push_ping(number);
    }

    /// Takes the frame that is to be written next.
    pub(crate) fn next_frame(&self) -> Option<OutFrame> {
        let mut state = self.state();
        loop {
            let item = state.queue.next()?;
            let frame = match item {
                SendItem::Message(body) => Some(OutFrame::of(body)),
                SendItem::Credit(stream) => take_credit(&mut state, stream),
                SendItem::End(stream, outcome) => Some(short_end(stream, outcome)),
                SendItem::Open(stream) => self.take_open(&mut state, stream),
                SendItem::Part(stream) => take_part(&mut state, stream),
            };
            if frame.is_some() {
                state.is_writing = true;
                return frame;
            }
        }
    }

    /// Notes that all frames that were taken have been flushed.
    pub(crate) fn flushed(&self) {
        let mut state = self.state();
        state.is_writing = false;
        self.report_idle(&state);
    }

    pub(crate) fn report_idle(&self, state: &LinkState) {
        if state.is_idle() {
            self.became_idle.notify_one();
        }
    }

    fn take_open(&self, state: &mut LinkState, stream: u64) -> Option<OutFrame> {
        let call = state.own_call(stream)?;
        let credit = call.granted;
        let phase = std::mem::replace(&mut call.phase, CallPhase::Written);
        let CallPhase::Queued {
            body,
            deadline,
            written,
        } = phase
        else {
            return None;
        };
        let time_left = deadline.saturating_duration_since(Instant::now());
        if time_left < Duration::from_micros(1) {
            state.remove_own(stream);
            let _ = written.send(Err(PeerError::NotSent));
            self.report_idle(state);
            return None;
        }
        self.context.counters.streams_opened.add(1);
        let open = wire::Open {
            stream,
            time_left_us: convert::encode_duration(time_left),
            credit,
            body,
        };
        Some(OutFrame {
            written: Some(written),
            ..OutFrame::of(wire::frame::Body::Open(open))
        })
    }
}

impl OutFrame {
    fn of(body: wire::frame::Body) -> Self {
        Self {
            bytes: convert::encode_frame(body),
            written: None,
        }
    }
}

fn take_credit(state: &mut LinkState, stream: u64) -> Option<OutFrame> {
    let call = state.own_call(stream)?;
    let bytes = std::mem::take(&mut call.unannounced);
    let credit = wire::Credit { stream, bytes };
    Some(OutFrame::of(wire::frame::Body::Credit(credit)))
}

fn take_part(state: &mut LinkState, stream: u64) -> Option<OutFrame> {
    let call = state.served_call(stream)?;
    let ready = call.ready.take()?;
    call.has_room.notify_one();
    if ready.is_end {
        state.remove_served(stream);
    }
    Some(OutFrame {
        bytes: ready.bytes,
        written: None,
    })
}

fn short_end(stream: u64, outcome: RequestOutcome) -> OutFrame {
    let end = heatherhollow_ports::AnswerEnd::of(outcome);
    let part = wire::Part {
        stream,
        end: convert::encode_end(end).ok(),
        ..wire::Part::default()
    };
    OutFrame::of(wire::frame::Body::Part(part))
}

/// An own call that waits for its turn.
pub(crate) struct QueuedCall {
    pub(crate) stream: u64,
    pub(crate) parts: mpsc::UnboundedReceiver<CostedPart>,
    pub(crate) written: oneshot::Receiver<Result<(), PeerError>>,
}

/// Why an own call was not queued.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RefusedCall {
    /// The link is closed.
    Closed,
    /// Too many calls are open on the link.
    TooMany,
}
