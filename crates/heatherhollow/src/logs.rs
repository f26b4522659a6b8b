//! Logs: one line of key=value pairs an event.

use std::io;
use std::io::Write;

use env_logger::Builder;
use env_logger::Target;
use rustix::event::PollFd;
use rustix::event::PollFlags;
use rustix::event::Timespec;
use rustix::event::poll;

/// Where log lines go.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogOutput {
    /// Standard error.
    Stderr,
    /// Standard output; a line is dropped if the reader is behind, so that nothing waits for it.
    Stdout,
}

/// Starts logging; `filter` has the syntax of `RUST_LOG`.
pub fn start(filter: &str, output: LogOutput) {
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

/// Standard output that drops lines instead of waiting, and says how many.
#[derive(Debug, Default)]
struct LossyStdout {
    dropped: u64,
}

impl LossyStdout {
    /// Whether a line can be written without waiting. A pipe that is writable takes a whole page, and
    /// log lines are shorter.
    fn is_writable() -> bool {
        let stdout = rustix::stdio::stdout();
        let mut polled = [PollFd::new(&stdout, PollFlags::OUT)];
        let at_once = Timespec {
            tv_sec: 0,
            tv_nsec: 0,
        };
        match poll(&mut polled, Some(&at_once)) {
            Ok(ready) => ready > 0 && polled[0].revents().contains(PollFlags::OUT),
            // Files and terminals that cannot be polled are written to as they are.
            Err(_) => true,
        }
    }
}

impl Write for LossyStdout {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if !Self::is_writable() {
            self.dropped += 1;
            return Ok(line.len());
        }
        let mut stdout = io::stdout().lock();
        if self.dropped > 0 {
            let dropped = std::mem::take(&mut self.dropped);
            writeln!(stdout, "level=warn event=log_lines_dropped count={dropped}")?;
        }
        stdout.write_all(line)?;
        stdout.flush()?;
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
