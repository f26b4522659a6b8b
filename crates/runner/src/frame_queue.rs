//! Queue of the frames that wait to be written to a link.
//!
//! Its bytes are bounded for each link and in total. A link whose queue would exceed them is closed,
//! as if it had been lost.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::OnceLock;

use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::mpsc::error::TryRecvError;
use tokio::sync::mpsc::unbounded_channel;
use tokio_util::sync::CancellationToken;

use crate::frames::FrameBody;
use crate::peer_guard::BudgetShare;
use crate::peer_guard::LimitReason;
use crate::peer_guard::PeerGuard;

/// Bytes that a queued frame takes beside its contents.
const FRAME_OVERHEAD: usize = 128;

/// Bytes that a queued entry of the store takes beside its path and its value.
const ENTRY_OVERHEAD: usize = 96;

/// Sizes of queued frames.
#[derive(Debug, Clone, Copy, Default)]
struct QueueBytes {
    /// Bytes to be written.
    written: usize,
    /// Bytes that the frames do not share with those of other links.
    own: usize,
}

impl QueueBytes {
    fn of_frame(body: &FrameBody) -> Self {
        let written = body.encoded_len() + FRAME_OVERHEAD;
        let own = match body {
            FrameBody::State(state) => {
                let entries = state.entries.iter();
                let paths = entries.map(|entry| entry.path.len() + ENTRY_OVERHEAD);
                paths.sum::<usize>() + FRAME_OVERHEAD
            }
            _ => written,
        };
        Self { written, own }
    }
}

struct QueueState {
    bytes: Mutex<QueueBytes>,
    max_bytes: usize,
    share: BudgetShare,
    closing: CancellationToken,
    reason: OnceLock<LimitReason>,
}

impl QueueState {
    fn bytes(&self) -> MutexGuard<'_, QueueBytes> {
        self.bytes.lock().expect("no holder of the lock panics")
    }
}

/// The end of the queue at which frames are added.
#[derive(Clone)]
pub struct FrameSender {
    sender: UnboundedSender<FrameBody>,
    state: Arc<QueueState>,
}

impl FrameSender {
    /// Adds a frame; returns false if the link has ended or is closed for the size of its queue.
    pub fn send(&self, body: FrameBody) -> bool {
        if self.state.closing.is_cancelled() {
            return false;
        }
        let added = QueueBytes::of_frame(&body);
        let mut bytes = self.state.bytes();
        if bytes.written + added.written > self.state.max_bytes {
            drop(bytes);
            self.close(LimitReason::LinkQueue);
            return false;
        }
        bytes.written += added.written;
        bytes.own += added.own;
        self.state.share.set_bytes(bytes.own, false);
        drop(bytes);
        self.sender.send(body).is_ok()
    }

    /// Returns whether both senders add to the queue of the same link.
    pub fn same_channel(&self, other: &Self) -> bool {
        self.sender.same_channel(&other.sender)
    }

    /// Closes the link without writing what waits.
    pub fn close(&self, reason: LimitReason) {
        // Only the first reason counts.
        let _is_first = self.state.reason.set(reason).is_ok();
        self.state.closing.cancel();
    }
}

/// The end of the queue at which frames are taken.
pub struct FrameReceiver {
    receiver: UnboundedReceiver<FrameBody>,
    state: Arc<QueueState>,
}

impl FrameReceiver {
    /// Takes the next frame; `None` once all senders are dropped and the queue is empty.
    pub async fn recv(&mut self) -> Option<FrameBody> {
        let body = self.receiver.recv().await?;
        self.subtract(&body);
        Some(body)
    }

    /// Takes the next frame if there is one.
    pub fn try_recv(&mut self) -> Result<FrameBody, TryRecvError> {
        let body = self.receiver.try_recv()?;
        self.subtract(&body);
        Ok(body)
    }

    fn subtract(&self, body: &FrameBody) {
        let taken = QueueBytes::of_frame(body);
        let mut bytes = self.state.bytes();
        bytes.written -= taken.written;
        bytes.own -= taken.own;
        self.state.share.set_bytes(bytes.own, true);
    }

    /// Returns a future that ends with the reason when the link has to be closed.
    pub(crate) fn closing(&self) -> impl Future<Output = LimitReason> + use<> {
        let state = self.state.clone();
        async move {
            tokio::select! {
                () = state.closing.cancelled() => {
                    state.reason.get().copied().unwrap_or(LimitReason::LinkQueue)
                }
                () = state.share.closing.cancelled() => LimitReason::QueueBytes,
            }
        }
    }
}

/// Creates the queue of a link.
pub fn frame_queue(guard: &PeerGuard) -> (FrameSender, FrameReceiver) {
    let (sender, receiver) = unbounded_channel();
    let state = Arc::new(QueueState {
        bytes: Mutex::default(),
        max_bytes: guard.limits.link_queue_bytes,
        share: guard.queues.share(),
        closing: CancellationToken::new(),
        reason: OnceLock::new(),
    });
    let sender = FrameSender {
        sender,
        state: state.clone(),
    };
    (sender, FrameReceiver { receiver, state })
}
