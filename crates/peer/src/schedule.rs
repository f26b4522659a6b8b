//! Order in which a link writes its frames.
//!
//! Heartbeats and the small frames that keep streams going come first, then control messages, then
//! calls and answers. Each stream has at most one turn in the ring, so that streams alternate frame
//! by frame and no call waits behind another one's large answer.

use std::collections::VecDeque;

use bytes::Bytes;

use heatherhollow_types::RequestOutcome;

use crate::convert::MAX_PART_BYTES;
use crate::generated as wire;

/// Control frames that are written in a row while streams wait. Without a limit, a flow of control
/// messages could stop all calls.
const MAX_CONTROL_RUN: usize = 8;

/// What a waiting control message counts besides its bytes, so that many small ones are bounded too.
const CONTROL_COST: usize = 64;

/// What is written next.
#[derive(Debug, PartialEq)]
pub(crate) enum SendItem {
    /// A message that is complete.
    Message(wire::frame::Body),
    /// Credits that have been collected for an own call.
    Credit(u64),
    /// Short end of a peer's call.
    End(u64, RequestOutcome),
    /// Open message of an own call.
    Open(u64),
    /// Part that waits for a peer's call.
    Part(u64),
}

#[derive(Debug, PartialEq, Eq)]
enum StreamTurn {
    Open(u64),
    Part(u64),
}

/// Everything that waits to be written on a link.
#[derive(Debug, Default)]
pub(crate) struct SendQueue {
    ping: Option<u64>,
    pong: Option<u64>,
    cancels: VecDeque<u64>,
    credits: VecDeque<u64>,
    ends: VecDeque<(u64, RequestOutcome)>,
    control: VecDeque<Bytes>,
    control_bytes: usize,
    control_run: usize,
    ring: VecDeque<StreamTurn>,
}

impl SendQueue {
    /// Asks for a heartbeat.
    pub(crate) fn push_ping(&mut self, number: u64) {
        self.ping = Some(number);
    }

    /// Answers a heartbeat; only the latest one is answered.
    pub(crate) fn push_pong(&mut self, number: u64) {
        self.pong = Some(number);
    }

    /// Cancels an own call that was written.
    pub(crate) fn push_cancel(&mut self, stream: u64) {
        self.cancels.push_back(stream);
    }

    /// Announces that an own call has credits to return.
    pub(crate) fn push_credit(&mut self, stream: u64) {
        self.credits.push_back(stream);
    }

    /// Ends a peer's call without a part from the handler.
    pub(crate) fn push_end(&mut self, stream: u64, outcome: RequestOutcome) {
        self.ends.push_back((stream, outcome));
    }

    /// Short ends that wait.
    pub(crate) fn waiting_ends(&self) -> usize {
        self.ends.len()
    }

    /// Adds a control message unless `limit` bytes would be exceeded.
    pub(crate) fn push_control(&mut self, message: Bytes, limit: usize) -> bool {
        let cost = message.len().saturating_add(CONTROL_COST);
        if self.control_bytes.saturating_add(cost) > limit {
            return false;
        }
        self.control_bytes += cost;
        self.control.push_back(message);
        true
    }

    /// Gives an own call its turn.
    pub(crate) fn push_open(&mut self, stream: u64) {
        self.ring.push_back(StreamTurn::Open(stream));
    }

    /// Gives a peer's call its turn.
    pub(crate) fn push_part(&mut self, stream: u64) {
        self.ring.push_back(StreamTurn::Part(stream));
    }

    /// Takes the turn of an own call back.
    pub(crate) fn remove_open(&mut self, stream: u64) {
        self.ring.retain(|turn| *turn != StreamTurn::Open(stream));
    }

    /// Takes the turn of a peer's call back.
    pub(crate) fn remove_part(&mut self, stream: u64) {
        self.ring.retain(|turn| *turn != StreamTurn::Part(stream));
    }

    /// Whether nothing waits but heartbeats.
    pub(crate) fn is_idle(&self) -> bool {
        self.cancels.is_empty()
            && self.ends.is_empty()
            && self.control.is_empty()
            && self.ring.is_empty()
    }

    /// Takes what is to be written next.
    pub(crate) fn next(&mut self) -> Option<SendItem> {
        if let Some(number) = self.pong.take() {
            let pong = wire::Pong { number };
            return Some(SendItem::Message(wire::frame::Body::Pong(pong)));
        }
        if let Some(number) = self.ping.take() {
            let ping = wire::Ping { number };
            return Some(SendItem::Message(wire::frame::Body::Ping(ping)));
        }
        if let Some(stream) = self.cancels.pop_front() {
            let cancel = wire::Cancel { stream };
            return Some(SendItem::Message(wire::frame::Body::Cancel(cancel)));
        }
        if let Some(stream) = self.credits.pop_front() {
            return Some(SendItem::Credit(stream));
        }
        if let Some((stream, outcome)) = self.ends.pop_front() {
            return Some(SendItem::End(stream, outcome));
        }
        let is_stream_due = self.control_run >= MAX_CONTROL_RUN && !self.ring.is_empty();
        if !is_stream_due && let Some(control) = self.next_control() {
            self.control_run += 1;
            return Some(SendItem::Message(wire::frame::Body::Control(control)));
        }
        self.control_run = 0;
        self.ring.pop_front().map(|turn| match turn {
            StreamTurn::Open(stream) => SendItem::Open(stream),
            StreamTurn::Part(stream) => SendItem::Part(stream),
        })
    }

    fn next_control(&mut self) -> Option<wire::Control> {
        let front = self.control.front_mut()?;
        let piece_bytes = front.len().min(MAX_PART_BYTES);
        let body = front.split_to(piece_bytes);
        let more = !front.is_empty();
        self.control_bytes -= body.len();
        if !more {
            self.control.pop_front();
            self.control_bytes -= CONTROL_COST;
        }
        Some(wire::Control { body, more })
    }
}
