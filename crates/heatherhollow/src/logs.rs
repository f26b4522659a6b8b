//! Log output: one line of `key=value` pairs per event.

use std::io;
use std::io::Write;

use env_logger::Builder;
use env_logger::Target;
use rustix::event::PollFd;
use rustix::event::PollFlags;
use rustix::event::Timespec;
use rustix::event::poll;

/// Destination of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogOutput {
    /// Standard error.
    Stderr,
    /// Standard output; lines are dropped while its reader is behind, so that logging never blocks.
    Stdout,
}

/// Installs the global logger; `filter` has the syntax of `RUST_LOG`.
///
/// # Panics
///
/// If a logger is already installed.
pub fn init(filter: &str, output: LogOutput) {
    let mut builder = Builder::new();
    builder.parse_filters(filter);
    match output {
        LogOutput::Stderr => builder.target(Target::Stderr),
        LogOutput::Stdout => builder.target(Target::Pipe(Box::new(LossyStdout::default()))),
    };
    builder.format(|out, record| {
        let time = out.timestamp_millis();
        let level = record.level().as_str().to_ascii_lowercase();
        writeln!(out, "time={time} level={level} event={}", record.args())
    });
    builder.init();
}

/// Standard output that drops lines instead of blocking, and then writes how many were dropped.
#[derive(Debug, Default)]
struct LossyStdout {
    dropped_lines: u64,
}

impl LossyStdout {
    /// Returns whether a log line can be written without blocking. A pipe that polls as writable
    /// has room for a whole page, and log lines are shorter.
    fn is_writable() -> bool {
        let stdout = rustix::stdio::stdout();
        let mut poll_fds = [PollFd::new(&stdout, PollFlags::OUT)];
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
}

impl Write for LossyStdout {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if !Self::is_writable() {
            self.dropped_lines += 1;
            return Ok(line.len());
        }
        let mut stdout = io::stdout().lock();
        if self.dropped_lines > 0 {
            let dropped_lines = std::mem::take(&mut self.dropped_lines);
            writeln!(
                stdout,
                "level=warn event=log_lines_dropped count={dropped_lines}"
            )?;
        }
        stdout.write_all(line)?;
        stdout.flush()?;
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
