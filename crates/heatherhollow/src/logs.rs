//! Log output: one line of `key=value` pairs per event.
//!
//! Lines contain texts of clients and of other writers of the store, so their length and characters
//! are bounded here: control characters are escaped, and long words and lines are cut with a mark.
//! A line that cannot be written whole without blocking is dropped and counted.

use std::fmt::Write as _;
use std::io;
use std::io::Write;
use std::os::fd::AsFd;
use std::os::fd::BorrowedFd;

use env_logger::Builder;
use env_logger::Target;
use rustix::event::PollFd;
use rustix::event::PollFlags;
use rustix::event::Timespec;
use rustix::event::poll;

/// Longest word of a line, in bytes; a word is what stands between two spaces.
const MAX_WORD_BYTES: usize = 200;

/// Length of an event's text, in bytes, after which no further word follows.
const MAX_EVENT_BYTES: usize = 2_500;

/// Longest write, in bytes: the least size of a page, which a pipe that polls as writable has room
/// for. Nothing else writes to the pipe between the poll and the write.
const MAX_WRITE_BYTES: usize = 4_096;

/// Destination of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogOutput {
    /// Standard error.
    Stderr,
    /// Standard output.
    Stdout,
}

impl LogOutput {
    fn descriptor(self) -> BorrowedFd<'static> {
        match self {
            Self::Stderr => rustix::stdio::stderr(),
            Self::Stdout => rustix::stdio::stdout(),
        }
    }
}

/// Installs the global logger; `filter` has the syntax of `RUST_LOG`.
///
/// # Panics
///
/// If a logger is already installed.
pub fn init(filter: &str, output: LogOutput) {
    let mut builder = Builder::new();
    builder.parse_filters(filter);
    builder.target(Target::Pipe(Box::new(LossyWriter::new(
        output.descriptor(),
    ))));
    builder.format(|out, record| {
        let time = out.timestamp_millis();
        let level = record.level().as_str().to_ascii_lowercase();
        let event = bounded_text(&record.args().to_string());
        writeln!(out, "time={time} level={level} event={event}")
    });
    builder.init();
}

/// Returns a text without control characters, with long words and a long end cut. A cut is marked
/// with the number of bytes that are missing.
pub fn bounded_text(text: &str) -> String {
    let mut bounded = String::with_capacity(text.len().min(MAX_EVENT_BYTES));
    let mut rest = text;
    while !rest.is_empty() {
        if bounded.len() >= MAX_EVENT_BYTES {
            mark_cut(&mut bounded, rest.len());
            return bounded;
        }
        let (word, next) = rest.split_once(' ').unwrap_or((rest, ""));
        push_word(&mut bounded, word);
        if word.len() < rest.len() {
            bounded.push(' ');
        }
        rest = next;
    }
    bounded
}

/// Appends a word of up to [`MAX_WORD_BYTES`] of its bytes.
fn push_word(out: &mut String, word: &str) {
    let end = (0..=word.len().min(MAX_WORD_BYTES))
        .rev()
        .find(|i| word.is_char_boundary(*i))
        .unwrap_or(0);
    for c in word[..end].chars() {
        match c.is_control() {
            true => out.extend(c.escape_default()),
            false => out.push(c),
        }
    }
    if end < word.len() {
        mark_cut(out, word.len() - end);
    }
}

fn mark_cut(out: &mut String, bytes: usize) {
    // Writing to a string does not fail.
    let _is_written = write!(out, "…[{bytes} bytes cut]").is_ok();
}

/// Writer that drops lines instead of blocking, and then writes how many were dropped.
#[derive(Debug)]
pub struct LossyWriter<F> {
    output: F,
    dropped_lines: u64,
}

impl<F: AsFd> LossyWriter<F> {
    /// Creates a writer to a pipe, file or terminal.
    pub fn new(output: F) -> Self {
        Self {
            output,
            dropped_lines: 0,
        }
    }

    /// Returns whether [`MAX_WRITE_BYTES`] can be written without blocking.
    fn is_writable(&self) -> bool {
        let mut poll_fds = [PollFd::new(&self.output, PollFlags::OUT)];
        let zero_timeout = Timespec {
            tv_sec: 0,
            tv_nsec: 0,
        };
        match poll(&mut poll_fds, Some(&zero_timeout)) {
            Ok(ready) => ready > 0 && poll_fds[0].revents().contains(PollFlags::OUT),
            // Files and terminals that cannot be polled are treated as writable.
            Err(_) => true,
        }
    }

    /// Writes lines with one call; returns whether they were written whole.
    fn write_whole(&self, lines: &[u8]) -> bool {
        lines.len() <= MAX_WRITE_BYTES
            && self.is_writable()
            && rustix::io::write(&self.output, lines).is_ok_and(|count| count == lines.len())
    }
}

impl<F: AsFd> Write for LossyWriter<F> {
    /// Writes one line, or drops it.
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        // Separate writes, as both together may exceed the room of one page.
        if self.dropped_lines > 0 {
            let count = self.dropped_lines;
            let notice = format!("level=warn event=log_lines_dropped count={count}\n");
            if self.write_whole(notice.as_bytes()) {
                self.dropped_lines = 0;
            }
        }
        if self.dropped_lines > 0 || !self.write_whole(line) {
            self.dropped_lines += 1;
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
