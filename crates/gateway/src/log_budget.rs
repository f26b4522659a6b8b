//! Bound of the log lines about statements, and a summary of those that are left out.
//!
//! Load that this answers: targets that refuse or fail hundreds of statements a second. The summary keeps
//! what tells one group or target from the others; counters have no such labels.

use std::time::Duration;

use log::warn;

use heatherhollow_types::MonoTime;

/// Kinds of lines that one second's summary tells apart, so that it stays below the lines themselves;
/// further ones are only counted.
const MAX_SUMMARIES: usize = 16;

/// What lines that were left out have in common.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct LineKind {
    /// Event of the lines.
    pub event: &'static str,
    /// Why the statements were not served.
    pub reason: String,
    /// Database group.
    pub group: String,
    /// Target or home that they were last sent to.
    pub target: String,
}

#[derive(Debug)]
struct LineSummary {
    kind: LineKind,
    count: u64,
    shortest: Duration,
    longest: Duration,
}

/// Log lines of the present second.
#[derive(Debug, Default)]
pub(crate) struct LogBudget {
    second: u64,
    lines: u32,
    dropped: u64,
    /// Sorted by kind.
    summaries: Vec<LineSummary>,
}

impl LogBudget {
    /// Whether one more line may be written in a second that takes at most so many.
    pub fn allows(&mut self, max_lines: u32, now: MonoTime) -> bool {
        self.flush(now);
        if self.lines >= max_lines {
            self.dropped += 1;
            return false;
        }
        self.lines += 1;
        true
    }

    /// Records what a line that was left out would have said.
    pub fn summarize(&mut self, kind: LineKind, took: Duration) {
        let found = self.summaries.binary_search_by(|s| s.kind.cmp(&kind));
        match found {
            Ok(i) => {
                let summary = &mut self.summaries[i];
                summary.count += 1;
                summary.shortest = summary.shortest.min(took);
                summary.longest = summary.longest.max(took);
            }
            Err(i) if self.summaries.len() < MAX_SUMMARIES => {
                let summary = LineSummary {
                    kind,
                    count: 1,
                    shortest: took,
                    longest: took,
                };
                self.summaries.insert(i, summary);
            }
            Err(_) => {}
        }
    }

    /// Writes the summary of a second that is over.
    pub fn flush(&mut self, now: MonoTime) {
        let second = now.as_micros() / 1_000_000;
        if self.second == second {
            return;
        }
        for summary in &self.summaries {
            let kind = &summary.kind;
            warn!(
                "log_lines_summarized line={} reason={} group={} target={} count={} least_ms={} \
                 most_ms={}",
                kind.event,
                kind.reason,
                kind.group,
                kind.target,
                summary.count,
                summary.shortest.as_millis(),
                summary.longest.as_millis()
            );
        }
        if self.dropped > 0 {
            warn!("log_lines_dropped count={}", self.dropped);
        }
        *self = Self {
            second,
            ..Self::default()
        };
    }
}
