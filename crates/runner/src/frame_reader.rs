//! Reads frames of a link with bounds on their size, their time and the memory that all links take
//! for frames that are not complete.

use std::io;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;

use bytes::Buf;
use bytes::BufMut;
use bytes::BytesMut;
use tokio::io::AsyncReadExt;
use tokio::net::tcp::OwnedReadHalf;
use tokio::sync::Notify;
use tokio::time::Instant;
use tokio::time::sleep_until;

use crate::peer_guard::BudgetShare;
use crate::peer_guard::LARGE_BYTES;
use crate::peer_guard::LimitReason;
use crate::peer_guard::PeerGuard;
use crate::peer_guard::PeerLimits;

/// Bytes of the length before each frame.
const LENGTH_BYTES: usize = 4;

/// Most bytes of a frame that are read at once, so that the memory of all links exceeds their budget
/// by little.
const READ_BYTES: usize = 64 << 10;

/// Room for a new frame, in bytes.
const START_BYTES: usize = 4 << 10;

/// Reads frames from a connection.
pub(crate) struct FrameReader {
    reader: OwnedReadHalf,
    decoder: FrameDecoder,
    buffer: BytesMut,
}

impl FrameReader {
    /// Creates a reader.
    pub(crate) fn new(reader: OwnedReadHalf, decoder: FrameDecoder) -> Self {
        Self {
            reader,
            decoder,
            buffer: BytesMut::new(),
        }
    }

    /// Returns the decoder.
    pub(crate) fn decoder(&self) -> &FrameDecoder {
        &self.decoder
    }

    /// Returns the next frame without its length; `None` if the other side has closed the link. Nothing
    /// is lost if this is cancelled.
    pub(crate) async fn next(&mut self) -> io::Result<Option<BytesMut>> {
        loop {
            if let Some(frame) = self.decoder.decode(&mut self.buffer)? {
                return Ok(Some(frame));
            }
            if self.buffer.len() > LARGE_BYTES {
                self.decoder.share.wait_for_room().await;
            }
            if self.buffer.capacity() == self.buffer.len() {
                self.buffer.reserve(START_BYTES);
            }
            let mut part = (&mut self.buffer).limit(READ_BYTES);
            if self.reader.read_buf(&mut part).await? == 0 {
                return match self.buffer.is_empty() {
                    true => Ok(None),
                    false => Err(io::ErrorKind::UnexpectedEof.into()),
                };
            }
        }
    }
}

/// Decodes length-delimited frames.
pub(crate) struct FrameDecoder {
    max_bytes: usize,
    share: BudgetShare,
    has_share: bool,
    progress: Arc<FrameProgress>,
}

impl FrameDecoder {
    /// Creates a decoder for a link; `needs_first` tells whether a first frame has to arrive in time.
    pub(crate) fn new(guard: &PeerGuard, max_bytes: usize, needs_first: bool) -> Self {
        Self {
            max_bytes,
            share: guard.frames.share(),
            has_share: false,
            progress: Arc::new(FrameProgress::new(needs_first)),
        }
    }

    /// Returns a future that ends with the reason when the link has to be closed.
    pub(crate) fn fault(&self, limits: PeerLimits) -> impl Future<Output = LimitReason> + use<> {
        let closing = self.share.closing.clone();
        let progress = self.progress.clone();
        async move {
            tokio::select! {
                () = closing.cancelled() => LimitReason::FrameBytes,
                reason = progress.wait_for_timeout(limits) => reason,
            }
        }
    }

    fn set_share(&mut self, bytes: usize) {
        if bytes > 0 || self.has_share {
            self.has_share = bytes > 0;
            self.share.set_bytes(bytes, true);
        }
    }

    fn decode(&mut self, buffer: &mut BytesMut) -> io::Result<Option<BytesMut>> {
        let Some(length) = buffer.first_chunk::<LENGTH_BYTES>() else {
            self.progress.record_part(!buffer.is_empty());
            return Ok(None);
        };
        let length = u32::from_be_bytes(*length) as usize;
        if length > self.max_bytes {
            let text = format!("a frame of {length} bytes is too large");
            return Err(io::Error::new(io::ErrorKind::InvalidData, text));
        }
        let size = LENGTH_BYTES + length;
        if buffer.len() < size {
            self.progress.record_part(true);
            let is_large = buffer.len() > LARGE_BYTES;
            self.set_share(if is_large { buffer.len() } else { 0 });
            // Pages that no bytes have arrived for take no memory. Growing step by step would copy the
            // frame, and took twice the memory.
            buffer.reserve(size - buffer.len());
            return Ok(None);
        }
        let mut frame = buffer.split_to(size);
        frame.advance(LENGTH_BYTES);
        if size > LARGE_BYTES {
            // The rest moves, so that the link does not keep memory of the size of its largest frame.
            *buffer = BytesMut::from(&buffer[..]);
        }
        self.set_share(0);
        self.progress.record_frame();
        Ok(Some(frame))
    }
}

/// How far the frame that is being read has come.
struct FrameProgress {
    state: Mutex<ProgressState>,
    /// Notified when a frame begins.
    begun: Notify,
}

struct ProgressState {
    needs_first: bool,
    /// Times of the first and the last byte of a frame that is not complete.
    part: Option<(Instant, Instant)>,
}

impl FrameProgress {
    fn new(needs_first: bool) -> Self {
        Self {
            state: Mutex::new(ProgressState {
                needs_first,
                part: None,
            }),
            begun: Notify::new(),
        }
    }

    fn state(&self) -> MutexGuard<'_, ProgressState> {
        self.state.lock().expect("no holder of the lock panics")
    }

    fn record_part(&self, has_bytes: bool) {
        let mut state = self.state();
        let now = Instant::now();
        match &mut state.part {
            Some((_, last)) => *last = now,
            None if has_bytes => {
                state.part = Some((now, now));
                self.begun.notify_one();
            }
            None => {}
        }
    }

    fn record_frame(&self) {
        let mut state = self.state();
        state.needs_first = false;
        state.part = None;
    }

    /// Returns when the link is closed unless it makes progress until then.
    fn deadline(&self, opened_at: Instant, limits: &PeerLimits) -> Option<(Instant, LimitReason)> {
        let state = self.state();
        if state.needs_first {
            let at = opened_at + limits.first_frame_timeout;
            return Some((at, LimitReason::FirstFrame));
        }
        let (first, last) = state.part?;
        let at = (first + limits.frame_timeout).min(last + limits.frame_stall_timeout);
        Some((at, LimitReason::FrameTimeout))
    }

    async fn wait_for_timeout(&self, limits: PeerLimits) -> LimitReason {
        let opened_at = Instant::now();
        loop {
            match self.deadline(opened_at, &limits) {
                None => self.begun.notified().await,
                Some((at, reason)) if Instant::now() >= at => return reason,
                Some((at, _)) => sleep_until(at).await,
            }
        }
    }
}
