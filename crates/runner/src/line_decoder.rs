//! Splits the input of clients and targets into lines, which end with CR LF.
//!
//! A carriage return or a line feed alone is part of a line: clients store texts that contain them,
//! and a text must not become messages of its own. What follows the last CR LF of a connection that
//! ends is an incomplete line and no message.

use std::io;

use bytes::Buf;
use bytes::BytesMut;
use displaydoc::Display;
use tokio_util::codec::Decoder;

/// End of a line.
pub(crate) const LINE_END: &[u8; 2] = b"\r\n";

/// Returns the length of the first line of `input`, of which `searched` bytes contain no end of a
/// line; `None` if it has no end.
pub(crate) fn find_line_end(input: &[u8], searched: usize) -> Option<usize> {
    let unsearched = &input[searched..];
    let offset = unsearched
        .windows(LINE_END.len())
        .position(|bytes| bytes == LINE_END)?;
    Some(searched + offset)
}

/// Reason why the input cannot be split into lines.
#[derive(Debug, Display)]
pub enum LineError {
    /// the line is longer than {0} bytes
    TooLong(usize),
    /// the line is not valid UTF-8
    NotText,
    /// the input cannot be read: {0}
    Io(io::Error),
}

impl std::error::Error for LineError {}

impl From<io::Error> for LineError {
    fn from(error: io::Error) -> Self {
        Self::Io(error)
    }
}

/// Decoder of lines.
#[derive(Debug)]
pub struct LineDecoder {
    max_bytes: usize,
    /// Number of bytes at the start of the buffer that contain no end of a line.
    searched: usize,
}

impl LineDecoder {
    /// Creates a decoder of lines of up to `max_bytes`, without their end.
    pub fn new(max_bytes: usize) -> Self {
        Self {
            max_bytes,
            searched: 0,
        }
    }
}

impl Decoder for LineDecoder {
    type Item = String;
    type Error = LineError;

    fn decode(&mut self, input: &mut BytesMut) -> Result<Option<String>, LineError> {
        let Some(length) = find_line_end(input, self.searched) else {
            // The last byte may be the first one of an end.
            self.searched = input.len().saturating_sub(1);
            return match self.searched > self.max_bytes {
                true => Err(LineError::TooLong(self.max_bytes)),
                false => Ok(None),
            };
        };
        self.searched = 0;
        if length > self.max_bytes {
            return Err(LineError::TooLong(self.max_bytes));
        }
        let line = input.split_to(length);
        input.advance(LINE_END.len());
        match std::str::from_utf8(&line) {
            Ok(text) => Ok(Some(text.to_string())),
            Err(_) => Err(LineError::NotText),
        }
    }

    fn decode_eof(&mut self, input: &mut BytesMut) -> Result<Option<String>, LineError> {
        let line = self.decode(input)?;
        if line.is_none() {
            input.clear();
        }
        Ok(line)
    }
}
