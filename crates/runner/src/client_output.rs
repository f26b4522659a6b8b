//! Answers that wait to be written to a client.

use std::collections::VecDeque;
use std::io;
use std::io::IoSlice;

use bytes::Buf;
use bytes::Bytes;
use tokio::io::AsyncWrite;
use tokio::io::AsyncWriteExt;

/// Bytes that an answer takes beside its text.
pub const ANSWER_OVERHEAD: usize = 64;

/// Number of answers that are written with one call.
const MAX_SLICES: usize = 16;

/// Queue of answers in the order in which they are written. Answers are not joined, as that would
/// take their memory a second time.
#[derive(Debug, Default)]
pub struct ClientOutput {
    answers: VecDeque<Bytes>,
    /// Unwritten bytes.
    bytes: usize,
}

impl ClientOutput {
    /// Adds an answer.
    pub fn push(&mut self, answer: Bytes) {
        self.bytes += answer.len();
        self.answers.push_back(answer);
    }

    /// Returns whether all answers have been written.
    pub fn is_empty(&self) -> bool {
        self.answers.is_empty()
    }

    /// Returns the unwritten bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Writes once and returns the number of written bytes, which [`Self::advance`] takes. Nothing
    /// is written if the future is dropped before it is ready.
    pub async fn write_to(&self, writer: &mut (impl AsyncWrite + Unpin)) -> io::Result<usize> {
        let written = match self.answers.len() {
            1 => writer.write(&self.answers[0]).await?,
            _ => {
                let mut slices = [IoSlice::new(&[]); MAX_SLICES];
                let mut count = 0;
                for (slice, answer) in slices.iter_mut().zip(&self.answers) {
                    *slice = IoSlice::new(answer);
                    count += 1;
                }
                writer.write_vectored(&slices[..count]).await?
            }
        };
        match written {
            0 => Err(io::ErrorKind::WriteZero.into()),
            _ => Ok(written),
        }
    }

    /// Removes written bytes; returns the reserved bytes of the answers that are now complete.
    pub fn advance(&mut self, mut written: usize) -> usize {
        self.bytes -= written;
        let mut released = 0;
        while written > 0
            && let Some(first) = self.answers.front_mut()
        {
            let step = written.min(first.len());
            first.advance(step);
            written -= step;
            released += step;
            if first.is_empty() {
                self.answers.pop_front();
                released += ANSWER_OVERHEAD;
            }
        }
        if self.answers.is_empty() && self.answers.capacity() > MAX_SLICES {
            self.answers = VecDeque::new();
        }
        released
    }
}
