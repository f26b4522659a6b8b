//! Input of a client that is collected until it contains whole lines.
//!
//! The buffer grows only when it is told to, so that its size can be reserved before, and shrinks
//! once a large line has been taken from it.

use crate::line_decoder::LINE_END;
use crate::line_decoder::LineError;
use crate::line_decoder::find_line_end;

/// Capacity above which the buffer shrinks after a line is taken, in bytes.
const LARGE_CAPACITY: usize = 16 << 10;

/// Ratio of the initial capacity above which an empty buffer is replaced by a new one.
const IDLE_FACTOR: usize = 4;

/// Buffer of lines of a limited length.
#[derive(Debug)]
pub struct LineBuffer {
    bytes: Vec<u8>,
    /// Start of the first line that has not been taken.
    start: usize,
    /// Number of bytes after `start` that contain no end of a line.
    searched: usize,
    initial_capacity: usize,
    max_bytes: usize,
}

impl LineBuffer {
    /// Creates a buffer for lines of up to `max_bytes`, without their end.
    pub fn new(initial_capacity: usize, max_bytes: usize) -> Self {
        Self {
            bytes: Vec::with_capacity(initial_capacity),
            start: 0,
            searched: 0,
            initial_capacity,
            max_bytes,
        }
    }

    /// Returns whether it contains no input.
    pub fn is_empty(&self) -> bool {
        self.start == self.bytes.len()
    }

    /// Returns the allocated bytes.
    pub fn capacity(&self) -> usize {
        self.bytes.capacity()
    }

    /// Returns the length of the first line if it is complete, and an error if it is too long.
    pub fn next_line(&mut self) -> Result<Option<usize>, LineError> {
        let input = &self.bytes[self.start..];
        let found = find_line_end(input, self.searched);
        let length = match found {
            Some(length) => length,
            None => {
                // The last byte may be the first one of an end.
                self.searched = input.len().saturating_sub(1);
                self.searched
            }
        };
        match (length > self.max_bytes, found) {
            (true, _) => Err(LineError::TooLong(self.max_bytes)),
            (false, Some(length)) => {
                self.searched = length;
                Ok(Some(length))
            }
            (false, None) => Ok(None),
        }
    }

    /// Returns the text of the first line, which has the given length.
    pub fn line(&self, length: usize) -> Result<&str, LineError> {
        let line = &self.bytes[self.start..self.start + length];
        std::str::from_utf8(line).map_err(|_| LineError::NotText)
    }

    /// Returns the capacity that [`Self::remove_line`] leaves.
    pub fn capacity_without(&self, length: usize) -> usize {
        let rest = self.bytes.len() - self.start - length - LINE_END.len();
        let capacity = self.bytes.capacity();
        if rest == 0 && capacity > IDLE_FACTOR * self.initial_capacity {
            self.initial_capacity
        } else if capacity > LARGE_CAPACITY && rest <= capacity / 2 {
            rest.max(self.initial_capacity)
        } else {
            capacity
        }
    }

    /// Removes the first line, which has the given length, and its end.
    pub fn remove_line(&mut self, length: usize) {
        let capacity = self.capacity_without(length);
        self.start += length + LINE_END.len();
        self.searched = 0;
        if capacity < self.bytes.capacity() {
            let mut bytes = Vec::with_capacity(capacity);
            bytes.extend_from_slice(&self.bytes[self.start..]);
            self.bytes = bytes;
            self.start = 0;
        } else if self.is_empty() {
            self.bytes.clear();
            self.start = 0;
        }
    }

    /// Returns the capacity to which the buffer has to grow before more can be read; `None` if it
    /// has room. Moves its content to the front if that makes room.
    pub fn wanted_capacity(&mut self) -> Option<usize> {
        if self.bytes.len() < self.bytes.capacity() {
            return None;
        }
        if self.start > 0 {
            self.bytes.drain(..self.start);
            self.start = 0;
            return None;
        }
        let longest = self.max_bytes + LINE_END.len();
        Some((2 * self.bytes.capacity()).min(longest))
    }

    /// Grows to a capacity.
    pub fn grow(&mut self, capacity: usize) {
        let added = capacity.saturating_sub(self.bytes.len());
        self.bytes.reserve_exact(added);
    }

    /// Returns the bytes, whose unused capacity takes the next input.
    pub fn bytes_mut(&mut self) -> &mut Vec<u8> {
        &mut self.bytes
    }

    /// Drops all input and the memory for it.
    pub fn clear(&mut self) {
        *self = Self::new(0, self.max_bytes);
    }
}
