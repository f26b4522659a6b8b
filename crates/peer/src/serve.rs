//! Serving of the peer's calls.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use futures::poll;
use prost::Message;
use tokio::sync::Notify;
use tokio::task::AbortHandle;

use heatherhollow_ports::AnswerPart;
use heatherhollow_ports::PeerCall;
use heatherhollow_types::RefusalReason;
use heatherhollow_types::RequestOutcome;

use crate::convert;
use crate::convert::PartEncoder;
use crate::down::Violation;
use crate::generated as wire;
use crate::link::PeerLink;

/// A frame that a served call has ready.
pub(crate) struct ReadyPart {
    pub(crate) bytes: Bytes,
    pub(crate) cost: u64,
    pub(crate) is_end: bool,
}

/// A call of the peer.
pub(crate) struct ServedCall {
    pub(crate) stream: u64,
    credit: u64,
    pub(crate) ready: Option<ReadyPart>,
    pub(crate) has_room: Arc<Notify>,
    /// Missing for a moment at the start.
    task: Option<AbortHandle>,
}

impl ServedCall {
    /// Drops the handler's part of the call.
    pub(crate) fn stop(&self) {
        if let Some(task) = &self.task {
            task.abort();
        }
    }
}

impl PeerLink {
    pub(crate) fn receive_open(self: &Arc<Self>, open: wire::Open) -> Result<(), Violation> {
        let wire::Open {
            stream,
            time_left_us,
            credit,
            body,
        } = open;
        let time_left = convert::decode_duration(time_left_us);
        let has_room = Arc::new(Notify::new());
        if !self.admit_call(stream, credit, time_left, &has_room)? {
            return Ok(());
        }
        let call = PeerCall { body, time_left };
        let guard = ServeGuard::new(self.clone(), stream);
        // Started without the lock, because a runtime that is shutting down drops the task at once.
        let task = tokio::spawn(serve_call(guard, call, has_room)).abort_handle();
        let mut state = self.state();
        match state.served_call(stream) {
            Some(call) => call.task = Some(task),
            None => {
                drop(state);
                task.abort();
            }
        }
        Ok(())
    }

    /// Notes a call of the peer, or refuses it and returns false.
    fn admit_call(
        &self,
        stream: u64,
        credit: u64,
        time_left: Duration,
        has_room: &Arc<Notify>,
    ) -> Result<bool, Violation> {
        let settings = &self.context.settings;
        let mut state = self.state();
        if state.is_closed {
            return Ok(false);
        }
        if stream <= state.last_served {
            return Err(Violation::StreamOrder(stream));
        }
        state.last_served = stream;
        let limit = settings.max_streams;
        // Cancelled calls may take a moment to stop, so twice the limit is allowed for tasks.
        let is_full = state.served_calls.len() >= limit
            || self.serving.load(Ordering::Relaxed) >= limit.saturating_mul(2);
        let refusal = if self.context.is_draining.load(Ordering::Relaxed) {
            Some(RefusalReason::Draining)
        } else if is_full {
            Some(RefusalReason::TooMany)
        } else if time_left.is_zero() {
            Some(RefusalReason::DeadlinePassed)
        } else {
            None
        };
        if let Some(reason) = refusal {
            if state.queue.waiting_ends() >= limit {
                return Err(Violation::TooManyCalls);
            }
            let outcome = RequestOutcome::not_run(reason, settings.refusal_retry_after);
            state.queue.push_end(stream, outcome);
            self.context.counters.calls_refused.add(1);
            self.has_output.notify_one();
            return Ok(false);
        }
        self.context.counters.calls_served.add(1);
        state.served_calls.push(ServedCall {
            stream,
            credit,
            ready: None,
            has_room: has_room.clone(),
            task: None,
        });
        Ok(true)
    }

    /// Hands a part of a served call to the writer, once the one before it is on its way and its
    /// credit suffices. Returns false if the call was ended.
    pub(crate) async fn send_part(&self, stream: u64, part: ReadyPart, has_room: &Notify) -> bool {
        loop {
            {
                let mut state = self.state();
                let Some(call) = state.served_call(stream) else {
                    return false;
                };
                if call.ready.is_none() && call.credit >= part.cost {
                    call.credit -= part.cost;
                    call.ready = Some(part);
                    state.queue.push_part(stream);
                    self.has_output.notify_one();
                    return true;
                }
            }
            // Only the task of the call waits here, so the permit of the notification is not lost.
            has_room.notified().await;
        }
    }

    /// Ends a served call whose task stopped without an end.
    pub(crate) fn end_served(&self, stream: u64) {
        let mut state = self.state();
        let has_end = state
            .served_call(stream)
            .is_none_or(|call| call.ready.as_ref().is_some_and(|ready| ready.is_end));
        if has_end {
            return;
        }
        state.remove_served(stream);
        state.queue.remove_part(stream);
        state.queue.push_end(stream, convert::unknown_outcome());
        self.has_output.notify_one();
    }

    pub(crate) fn receive_credit(&self, credit: &wire::Credit) {
        let mut state = self.state();
        if let Some(call) = state.served_call(credit.stream) {
            call.credit = call.credit.saturating_add(credit.bytes);
            call.has_room.notify_one();
        }
    }

    pub(crate) fn receive_cancel(&self, stream: u64) {
        let mut state = self.state();
        if let Some(call) = state.remove_served(stream) {
            state.queue.remove_part(stream);
            self.context.counters.calls_cancelled.add(1);
            self.report_idle(&state);
            drop(state);
            call.stop();
        }
    }
}

/// Ends the call if its task stops early, for example because the handler panicked.
pub(crate) struct ServeGuard {
    link: Arc<PeerLink>,
    stream: u64,
}

impl ServeGuard {
    /// Counts a task that serves a call.
    pub(crate) fn new(link: Arc<PeerLink>, stream: u64) -> Self {
        link.serving.fetch_add(1, Ordering::Relaxed);
        Self { link, stream }
    }
}

impl Drop for ServeGuard {
    fn drop(&mut self) {
        self.link.end_served(self.stream);
        self.link.serving.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Runs a call through the handler and sends its answer.
///
/// The handler's stream is dropped when the peer cancels the call or the link goes down, because
/// the task is aborted then.
pub(crate) async fn serve_call(guard: ServeGuard, call: PeerCall, has_room: Arc<Notify>) {
    let ServeGuard { link, stream } = &guard;
    let context = &link.context;
    let mut answer = context.handler.handle_call(&link.peer.instance, call).await;
    let mut encoder = PartEncoder::new(*stream, context.settings.max_row_bytes);
    loop {
        let mut next = answer.next_part();
        // What was packed goes out as soon as the handler has nothing more at the moment.
        let part = match poll!(next.as_mut()) {
            Poll::Ready(part) => part,
            Poll::Pending => {
                if let Some(message) = encoder.take_rest()
                    && !send(link, message, &has_room).await
                {
                    return;
                }
                next.await
            }
        };
        let part = part.unwrap_or_else(|| {
            AnswerPart::End(convert::unknown_end("the answer stopped without its end"))
        });
        if let Err(error) = encoder.push(part) {
            log::warn!(
                "peer_answer_invalid peer={} stream={stream} error={:?}",
                link.peer.instance,
                error.to_string(),
            );
            let end = AnswerPart::End(convert::unknown_end(error.to_string()));
            if encoder.push(end).is_err() {
                return;
            }
        }
        while let Some(message) = encoder.take_full() {
            let is_end = message.end.is_some();
            if !send(link, message, &has_room).await || is_end {
                return;
            }
        }
    }
}

async fn send(link: &PeerLink, message: wire::Part, has_room: &Notify) -> bool {
    let stream = message.stream;
    let is_end = message.end.is_some();
    let frame = wire::Frame {
        body: Some(wire::frame::Body::Part(message)),
    };
    let bytes = frame.encode_to_vec();
    let cost = match &frame.body {
        Some(wire::frame::Body::Part(part)) => convert::part_cost(part, bytes.len()),
        _ => 0,
    };
    let part = ReadyPart {
        bytes: bytes.into(),
        cost,
        is_end,
    };
    link.send_part(stream, part, has_room).await
}
