//! Answers to own calls.

use std::collections::VecDeque;
use std::sync::Arc;

use async_trait::async_trait;
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio::time::timeout_at;

use heatherhollow_ports::AnswerEnd;
use heatherhollow_ports::AnswerPart;
use heatherhollow_ports::AnswerStream;
use heatherhollow_ports::PeerCall;
use heatherhollow_ports::PeerError;
use heatherhollow_types::RefusalReason;
use heatherhollow_types::RequestOutcome;

use crate::convert;
use crate::convert::PartDecoder;
use crate::link::CostedPart;
use crate::link::PeerLink;
use crate::link::RefusedCall;
use crate::settings::MAX_CALL_BYTES;

/// The answer to a call that was written to a link; dropping it cancels the call.
struct LinkAnswer {
    link: Arc<PeerLink>,
    stream: u64,
    parts: mpsc::UnboundedReceiver<CostedPart>,
    decoder: PartDecoder,
    ready: VecDeque<AnswerPart>,
    /// Cost of the message that `ready` comes from.
    held: u64,
    /// Credits that are collected until they are worth a frame.
    unreturned: u64,
    is_ended: bool,
}

impl LinkAnswer {
    /// Frees the credits of the message that has been read.
    fn return_credit(&mut self) {
        self.unreturned += std::mem::take(&mut self.held);
        let window = self.link.context.settings.stream_window as u64;
        if self.unreturned >= window / 2 {
            self.link.return_credit(self.stream, self.unreturned);
            self.unreturned = 0;
        }
    }

    /// Ends the answer without an end from the peer.
    fn break_off(&mut self, detail: impl Into<String>) -> AnswerPart {
        self.is_ended = true;
        self.link.abandon_call(self.stream);
        AnswerPart::End(convert::unknown_end(detail))
    }
}

#[async_trait]
impl AnswerStream for LinkAnswer {
    async fn next_part(&mut self) -> Option<AnswerPart> {
        loop {
            if let Some(part) = self.ready.pop_front() {
                self.is_ended |= part.is_end();
                return Some(part);
            }
            if self.is_ended {
                return None;
            }
            self.return_credit();
            let Some((message, cost)) = self.parts.recv().await else {
                return Some(self.break_off("the link to the peer was lost"));
            };
            self.held = cost;
            if let Err(error) = self.decoder.push(message, &mut self.ready) {
                self.ready.clear();
                return Some(self.break_off(error.to_string()));
            }
        }
    }
}

impl Drop for LinkAnswer {
    fn drop(&mut self) {
        if !self.is_ended {
            self.link.abandon_call(self.stream);
        }
    }
}

/// An answer that consists of its end.
struct EndedAnswer(Option<AnswerEnd>);

#[async_trait]
impl AnswerStream for EndedAnswer {
    async fn next_part(&mut self) -> Option<AnswerPart> {
        self.0.take().map(AnswerPart::End)
    }
}

fn refused_answer(link: &PeerLink, reason: RefusalReason, detail: String) -> Box<dyn AnswerStream> {
    let retry_after = link.context.settings.refusal_retry_after;
    let end = AnswerEnd::of(RequestOutcome::not_run(reason, retry_after));
    link.context.counters.streams_refused.add(1);
    Box::new(EndedAnswer(Some(AnswerEnd { detail, ..end })))
}

/// Sends a call over a link; returns when its open message has been written.
pub(crate) async fn call_over(
    link: &Arc<PeerLink>,
    call: PeerCall,
) -> Result<Box<dyn AnswerStream>, PeerError> {
    if call.body.len() > MAX_CALL_BYTES {
        let detail = format!(
            "the call has {} bytes, more than the limit of {MAX_CALL_BYTES}",
            call.body.len(),
        );
        return Ok(refused_answer(link, RefusalReason::BadRequest, detail));
    }
    let deadline = Instant::now() + call.time_left.min(convert::MAX_DURATION);
    let queued = match link.enqueue_call(call.body, deadline) {
        Ok(queued) => queued,
        Err(RefusedCall::Closed) => return Err(PeerError::NotSent),
        Err(RefusedCall::TooMany) => {
            let detail = format!("too many calls are open to {}", link.peer.instance);
            return Ok(refused_answer(link, RefusalReason::TooMany, detail));
        }
    };
    let mut answer = LinkAnswer {
        link: link.clone(),
        stream: queued.stream,
        parts: queued.parts,
        decoder: PartDecoder::new(link.context.settings.max_row_bytes),
        ready: VecDeque::new(),
        held: 0,
        unreturned: 0,
        is_ended: false,
    };
    let mut written = queued.written;
    match timeout_at(deadline, &mut written).await {
        Ok(Ok(Ok(()))) => Ok(Box::new(answer)),
        Ok(Ok(Err(error))) => Err(error),
        // The writer stopped between taking the message and flushing it.
        Ok(Err(_)) => Err(PeerError::LinkLost),
        Err(_) => {
            answer.is_ended = true;
            let may_be_written = link.abandon_call(answer.stream);
            match written.try_recv() {
                Ok(Err(error)) => Err(error),
                _ if may_be_written => Err(PeerError::Timeout),
                _ => Err(PeerError::NotSent),
            }
        }
    }
}
