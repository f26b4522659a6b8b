//! Bound on the bytes of all frames and control messages that have arrived in part, over all links.

use std::io;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use bytes::BytesMut;
use tokio_util::codec::Decoder;
use tokio_util::codec::Encoder;
use tokio_util::codec::LengthDelimitedCodec;

/// Bytes in use on all links.
pub(crate) struct FrameBudget {
    limit: usize,
    used: AtomicUsize,
}

impl FrameBudget {
    pub(crate) fn new(limit: usize) -> Arc<Self> {
        Arc::new(Self {
            limit,
            used: AtomicUsize::new(0),
        })
    }

    /// Adds a holder without bytes.
    pub(crate) fn share(self: &Arc<Self>) -> BudgetShare {
        BudgetShare {
            budget: self.clone(),
            bytes: 0,
        }
    }
}

/// What one holder has in use; dropping it gives the bytes back.
pub(crate) struct BudgetShare {
    budget: Arc<FrameBudget>,
    bytes: usize,
}

impl BudgetShare {
    /// Sets the bytes; returns false, and leaves them, if all holders would have too many.
    pub(crate) fn set_bytes(&mut self, bytes: usize) -> bool {
        let used = &self.budget.used;
        if bytes > self.bytes {
            let added = bytes - self.bytes;
            let before = used.fetch_add(added, Ordering::Relaxed);
            if before + added > self.budget.limit {
                used.fetch_sub(added, Ordering::Relaxed);
                return false;
            }
        } else {
            used.fetch_sub(self.bytes - bytes, Ordering::Relaxed);
        }
        self.bytes = bytes;
        true
    }
}

impl Drop for BudgetShare {
    fn drop(&mut self) {
        self.set_bytes(0);
    }
}

/// Codec of frames that counts the frame that has arrived in part.
pub(crate) struct LinkCodec {
    codec: LengthDelimitedCodec,
    share: BudgetShare,
    /// Whether the length of a frame has been read; room for all of it is then reserved.
    is_length_read: bool,
}

impl LinkCodec {
    pub(crate) fn new(max_frame_bytes: usize, share: BudgetShare) -> Self {
        let codec = LengthDelimitedCodec::builder()
            .max_frame_length(max_frame_bytes)
            .new_codec();
        Self {
            codec,
            share,
            is_length_read: false,
        }
    }

    pub(crate) fn set_max_frame_length(&mut self, max_frame_bytes: usize) {
        self.codec.set_max_frame_length(max_frame_bytes);
    }
}

impl Decoder for LinkCodec {
    type Item = BytesMut;
    type Error = io::Error;

    fn decode(&mut self, input: &mut BytesMut) -> io::Result<Option<BytesMut>> {
        let length = input.len();
        let decoded = self.codec.decode(input)?;
        let bytes = if decoded.is_some() {
            self.is_length_read = false;
            0
        } else {
            self.is_length_read |= input.len() < length;
            let max_frame_bytes = self.codec.max_frame_length();
            match self.is_length_read {
                true => input.capacity().min(max_frame_bytes),
                false => input.len(),
            }
        };
        if self.share.set_bytes(bytes) {
            Ok(decoded)
        } else {
            Err(io::Error::other("the frames of all links are too large"))
        }
    }
}

impl Encoder<Bytes> for LinkCodec {
    type Error = io::Error;

    fn encode(&mut self, frame: Bytes, output: &mut BytesMut) -> io::Result<()> {
        self.codec.encode(frame, output)
    }
}
