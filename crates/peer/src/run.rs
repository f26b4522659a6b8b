//! Reader and writer of one link.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use futures::Sink;
use futures::SinkExt;
use futures::Stream;
use futures::StreamExt;
use tokio::time::Instant;
use tokio::time::sleep_until;
use tokio::time::timeout;

use crate::budget::BudgetShare;
use crate::convert;
use crate::down::DownReason;
use crate::down::Violation;
use crate::generated as wire;
use crate::hello::FramedLink;
use crate::link::PeerLink;

/// Bytes that are collected before they are flushed.
const WRITE_BATCH_BYTES: usize = 32 * 1024;

/// Bytes of the length before each frame.
const LENGTH_BYTES: usize = 4;

/// Time for the peer to close its side after this one was closed in an orderly way.
const LINGER: Duration = Duration::from_millis(500);

/// Runs a link until it goes down, and ends its streams.
///
/// `first` is a frame that was read together with the hellos.
pub(crate) async fn run_link(
    link: &Arc<PeerLink>,
    mut framed: FramedLink,
    first: Option<BytesMut>,
) {
    framed.set_backpressure_boundary(WRITE_BATCH_BYTES);
    let (mut sink, mut stream) = framed.split();
    let reason = tokio::select! {
        reason = read_frames(link, &mut stream, first) => reason,
        reason = write_frames(link, &mut sink) => reason,
        () = link.closed() => DownReason::Stopping,
    };
    link.close(reason);
    if link.down_reason() == Some(DownReason::Stopping) {
        // Bytes that were not read when a socket is closed reset the connection, and the peer may
        // then lose the last frames.
        let _ = timeout(LINGER, async {
            let _ = sink.close().await;
            while let Some(Ok(_)) = stream.next().await {}
        })
        .await;
    }
}

async fn read_frames<S>(link: &Arc<PeerLink>, stream: &mut S, first: Option<BytesMut>) -> DownReason
where
    S: Stream<Item = std::io::Result<BytesMut>> + Unpin,
{
    let settings = &link.context.settings;
    let share = link.context.frames.share();
    let mut control = ControlAssembler::new(settings.max_control_bytes, share);
    let mut next = first;
    loop {
        let bytes = match next.take() {
            Some(bytes) => bytes,
            None => match timeout(settings.dead_after, stream.next()).await {
                Err(_) => return DownReason::Silent,
                Ok(None) => return DownReason::Closed,
                Ok(Some(Err(error))) => return DownReason::Broken(error.to_string()),
                Ok(Some(Ok(bytes))) => bytes,
            },
        };
        if let Err(violation) = take_frame(link, bytes.freeze(), &mut control) {
            return DownReason::Violation(violation);
        }
    }
}

fn take_frame(
    link: &Arc<PeerLink>,
    bytes: Bytes,
    control: &mut ControlAssembler,
) -> Result<(), Violation> {
    let frame_bytes = bytes.len();
    let counters = &link.context.counters;
    counters.frames_in.add(1);
    counters.bytes_in.add((frame_bytes + LENGTH_BYTES) as u64);
    let frame = convert::decode_frame(bytes)?;
    match frame.body {
        None => Ok(()),
        Some(wire::frame::Body::Control(piece)) => {
            match control.push(piece) {
                ControlStep::Incomplete => {}
                ControlStep::TooLarge => counters.control_dropped.add(1),
                ControlStep::Complete(message) => {
                    let handler = &link.context.handler;
                    handler.handle_control(&link.peer.instance, message);
                }
            }
            Ok(())
        }
        Some(body) => link.receive(body, frame_bytes),
    }
}

async fn write_frames<S>(link: &PeerLink, sink: &mut S) -> DownReason
where
    S: Sink<Bytes, Error = std::io::Error> + Unpin,
{
    let settings = &link.context.settings;
    let counters = &link.context.counters;
    let mut next_ping = Instant::now();
    let mut pings = 0;
    loop {
        if Instant::now() >= next_ping {
            pings += 1;
            link.send_ping(pings);
            next_ping = Instant::now() + settings.ping_interval;
        }
        let mut written = Vec::new();
        let mut batch_bytes = 0;
        while batch_bytes < WRITE_BATCH_BYTES {
            let Some(frame) = link.next_frame() else {
                break;
            };
            let frame_bytes = frame.bytes.len() + LENGTH_BYTES;
            batch_bytes += frame_bytes;
            written.extend(frame.written);
            counters.frames_out.add(1);
            counters.bytes_out.add(frame_bytes as u64);
            match timeout(settings.dead_after, sink.feed(frame.bytes)).await {
                Err(_) => return DownReason::WriteStalled,
                Ok(Err(error)) => return DownReason::Broken(error.to_string()),
                Ok(Ok(())) => {}
            }
        }
        if batch_bytes == 0 {
            tokio::select! {
                () = link.has_output.notified() => {}
                () = sleep_until(next_ping) => {}
            }
            continue;
        }
        match timeout(settings.dead_after, sink.flush()).await {
            Err(_) => return DownReason::WriteStalled,
            Ok(Err(error)) => return DownReason::Broken(error.to_string()),
            Ok(Ok(())) => {}
        }
        link.flushed();
        for sender in written {
            // The caller may have given up.
            let _ = sender.send(Ok(()));
        }
    }
}

/// Puts control messages together; they are never interleaved with each other.
struct ControlAssembler {
    limit: usize,
    buffer: BytesMut,
    share: BudgetShare,
    is_too_large: bool,
}

enum ControlStep {
    Incomplete,
    TooLarge,
    Complete(Bytes),
}

impl ControlAssembler {
    fn new(limit: usize, share: BudgetShare) -> Self {
        Self {
            limit,
            buffer: BytesMut::new(),
            share,
            is_too_large: false,
        }
    }

    fn push(&mut self, piece: wire::Control) -> ControlStep {
        let is_whole = self.buffer.is_empty() && !piece.more;
        let bytes = self.buffer.len() + piece.body.len();
        if !self.is_too_large && (bytes > self.limit || (!is_whole && !self.share.set_bytes(bytes)))
        {
            self.is_too_large = true;
            self.buffer = BytesMut::new();
            self.share.set_bytes(0);
        }
        if !self.is_too_large {
            if is_whole {
                return ControlStep::Complete(piece.body);
            }
            self.buffer.extend_from_slice(&piece.body);
        }
        if piece.more {
            return ControlStep::Incomplete;
        }
        let buffer = std::mem::take(&mut self.buffer);
        self.share.set_bytes(0);
        if std::mem::take(&mut self.is_too_large) {
            ControlStep::TooLarge
        } else {
            ControlStep::Complete(buffer.freeze())
        }
    }
}
