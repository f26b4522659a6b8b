//! Limits the log lines about statements to a number a second, and summarizes the lines that are
//! left out.
//!
//! Targets may refuse or fail hundreds of statements a second. The summary keeps the group and the
//! target of the lines, as the metrics have no labels for them.

use std::time::Duration;

use log::warn;

use heatherhollow_types::MonoTime;

/// Number of kinds of lines in the summary of a second, which keeps the summary shorter than the
/// lines that it replaces. Lines of further kinds are only counted.
const MAX_SUMMARIES: usize = 16;

/// Fields by which omitted log lines are grouped in the summary.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct LineKind {
    /// Event name of the lines.
    pub event: &'static str,
    /// Reason why the statements were not served.
    pub reason: String,
    /// Name of the database group.
    pub group: String,
    /// Target or home that the statements were last sent to.
    pub target: String,
}

/// Count of the omitted lines of one kind and the range of their durations.
#[derive(Debug)]
struct LineSummary {
    kind: LineKind,
    count: u64,
    shortest: Duration,
    longest: Duration,
}

/// Number of log lines in the present second and the summary of the omitted ones.
#[derive(Debug, Default)]
pub(crate) struct LogBudget {
    second: u64,
    lines: u32,
    dropped: u64,
    /// Summaries, sorted by kind.
    summaries: Vec<LineSummary>,
}

impl LogBudget {
    /// Returns whether another line may be written in the present second, and counts it. At most
    /// `max_lines` are allowed a second.
    pub fn allows(&mut self, max_lines: u32, now: MonoTime) -> bool {
        self.flush(now);
        if self.lines >= max_lines {
            self.dropped += 1;
            return false;
        }
        self.lines += 1;
        true
    }

    /// Adds an omitted line to the summary.
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

    /// Logs the summary of the last second, if that second is over, and starts a new one.
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
