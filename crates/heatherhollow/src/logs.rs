//! Logs: one line of key=value pairs an event.

use std::io::Write;

use env_logger::Builder;
use env_logger::Target;

/// Starts logging to standard error; `filter` has the syntax of `RUST_LOG`.
pub fn start(filter: &str) {
    let mut builder = Builder::new();
    builder.parse_filters(filter).target(Target::Stderr);
    builder.format(|out, record| {
        let time = out.timestamp_millis();
        let level = record.level().as_str().to_ascii_lowercase();
        writeln!(out, "time={time} level={level} event={}", record.args())
    });
    builder.init();
}
