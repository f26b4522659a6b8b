//! What callers saw in a run, and the promises that were broken.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde_json::Value;
use serde_json::json;
use tokio::time::Instant;

use heatherhollow_proxy::CallerEnd;
use heatherhollow_types::RequestOutcome;
use heatherhollow_types::TargetName;

/// Most examples of broken promises that are kept.
const MAX_EXAMPLES: usize = 20;

/// Time after which a leaving target gets no new work (invariant 7).
const LEAVE_LIMIT: Duration = Duration::from_secs(3);

/// Time in which a change of settings is in force everywhere (invariant 9).
const FORCE_LIMIT: Duration = Duration::from_secs(7);

/// Promise that a planned stop cuts no request.
pub(crate) const CUT_BY_STOP: &str = "cut by a planned stop";

/// What the answers to the attempts of one write say together.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct WriteFate {
    /// Some attempt was acknowledged.
    pub is_acknowledged: bool,
    /// Some attempt may have run.
    pub is_uncertain: bool,
}

impl WriteFate {
    /// Adds the outcome of an attempt; none: the connection to the instance was lost.
    pub fn add(&mut self, outcome: Option<RequestOutcome>) {
        match outcome {
            Some(RequestOutcome::Done) => self.is_acknowledged = true,
            Some(RequestOutcome::Unknown(_)) | None => self.is_uncertain = true,
            Some(RequestOutcome::Failed(_) | RequestOutcome::NotRun { .. }) => {}
        }
    }
}

#[derive(Debug, Clone)]
struct WriteRecord {
    keys: Vec<String>,
    fate: WriteFate,
}

#[derive(Debug, Default)]
struct KindCounts {
    replica: u64,
    primary: u64,
    not_done: u64,
    accepts_age: bool,
}

#[derive(Debug)]
struct HistoryState {
    writes: Vec<WriteRecord>,
    acknowledged_at: Vec<Instant>,
    ticks: Vec<(Instant, u64)>,
    kinds: BTreeMap<String, KindCounts>,
    outcomes: BTreeMap<String, u64>,
    broken: BTreeMap<&'static str, u64>,
    examples: Vec<String>,
    read_micros: Histogram<u64>,
    /// Targets that say they are leaving, and since when.
    leaving: Vec<(TargetName, Instant)>,
    force_times: Vec<Duration>,
}

/// The history of a run.
#[derive(Debug)]
pub struct History {
    state: Mutex<HistoryState>,
}

impl Default for History {
    fn default() -> Self {
        let read_micros = Histogram::new(3).expect("a valid precision");
        Self {
            state: Mutex::new(HistoryState {
                writes: Vec::new(),
                acknowledged_at: Vec::new(),
                ticks: Vec::new(),
                kinds: BTreeMap::new(),
                outcomes: BTreeMap::new(),
                broken: BTreeMap::new(),
                examples: Vec::new(),
                read_micros,
                leaving: Vec::new(),
                force_times: Vec::new(),
            }),
        }
    }
}

/// Times that the rows of a write's keys show it took effect, as read by a checker.
pub type FinalRows = BTreeMap<String, String>;

impl History {
    fn lock(&self) -> MutexGuard<'_, HistoryState> {
        self.state.lock().expect("no holder of the history panics")
    }

    /// Records a broken promise.
    pub fn broken(&self, promise: &'static str, example: String) {
        let mut state = self.lock();
        *state.broken.entry(promise).or_default() += 1;
        if state.examples.len() < MAX_EXAMPLES {
            state.examples.push(format!("{promise}: {example}"));
        }
    }

    /// Records the answer to one attempt of a write.
    pub fn record_write_answer(&self, now: Instant, outcome: Option<RequestOutcome>) {
        let mut state = self.lock();
        if outcome == Some(RequestOutcome::Done) {
            state.acknowledged_at.push(now);
        }
        count_outcome(&mut state, "write", outcome);
    }

    /// Records the answer to a step of a transaction before its commit.
    pub fn record_other(&self, outcome: Option<RequestOutcome>) {
        count_outcome(&mut self.lock(), "other", outcome);
    }

    /// Records a write with all its attempts.
    pub fn record_write(&self, keys: Vec<String>, fate: WriteFate) {
        self.lock().writes.push(WriteRecord { keys, fate });
    }

    /// Records an acknowledged value of the ticker.
    pub fn record_tick(&self, now: Instant, value: u64) {
        let mut state = self.lock();
        state.ticks.push((now, value));
        state.acknowledged_at.push(now);
    }

    /// Checks the value of the ticker that a read showed.
    pub fn check_tick(&self, started: Instant, max_age: Duration, shown: u64, kind: &str) {
        // A write that was acknowledged longer ago than the age, when the read began, must show.
        let Some(oldest) = started.checked_sub(max_age) else {
            return;
        };
        let needed = {
            let state = self.lock();
            let after = state.ticks.partition_point(|(at, _)| *at <= oldest);
            after.checked_sub(1).map_or(0, |i| state.ticks[i].1)
        };
        if shown < needed {
            let text = format!("{kind} showed {shown}, needed {needed}");
            self.broken("stale read", text);
        }
    }

    /// Records the answer to a read.
    pub fn record_read(&self, kind: &str, max_age: Duration, end: &CallerEnd, took: Duration) {
        let mut state = self.lock();
        count_outcome(&mut state, "read", Some(end.outcome));
        let micros = took.as_micros() as u64;
        let _ = state.read_micros.record(micros);
        let counts = state.kinds.entry(kind.to_string()).or_default();
        counts.accepts_age = max_age >= Duration::from_secs(1);
        match end.outcome {
            RequestOutcome::Done if end.is_replica => counts.replica += 1,
            RequestOutcome::Done => counts.primary += 1,
            _ => counts.not_done += 1,
        }
    }

    /// Compares the writes with the rows at the end.
    pub fn check_writes(&self, rows: &FinalRows) {
        let writes = self.lock().writes.clone();
        for write in writes {
            let counts = write
                .keys
                .iter()
                .map(|key| rows.get(key).map_or("0", String::as_str));
            let counts = counts.collect::<Vec<_>>();
            let text = || format!("{:?} are {counts:?}", write.keys);
            if counts.iter().any(|count| *count != "0" && *count != "1") {
                self.broken("doubled write", text());
            }
            if counts.windows(2).any(|pair| pair[0] != pair[1]) {
                self.broken("partial transaction", text());
            }
            if write.fate.is_acknowledged && counts.contains(&"0") {
                self.broken("lost write", text());
            }
            let may_have_run = write.fate.is_acknowledged || write.fate.is_uncertain;
            if !may_have_run && counts.iter().any(|count| *count != "0") {
                self.broken("not run, but ran", text());
            }
        }
    }

    /// Checks the answer of a write that adds 1 to a key of its own.
    pub fn check_write_rows(&self, rows: &[String], key: &str) {
        let is_own = rows.len() == 1 && rows[0].contains(&format!("\"{key}\""));
        if !is_own {
            self.broken("mixed answer", format!("write of {key} answered {rows:?}"));
        } else if !rows[0].contains("\"1\"") {
            self.broken("doubled write", format!("{key} answered {rows:?}"));
        }
    }

    /// Checks a session's scan of its own keys, which start with `prefix`. `acknowledged` are keys of
    /// writes that were acknowledged before the read.
    pub fn check_own_rows<'a>(
        &self,
        prefix: &str,
        acknowledged: impl Iterator<Item = &'a str>,
        rows: &[String],
        target: Option<&TargetName>,
    ) {
        for row in rows {
            if !row.contains(&format!("\"{prefix}")) {
                self.broken("mixed answer", format!("scan of {prefix} gave {row}"));
            }
        }
        let shown = rows.iter().filter_map(|row| row_key(row));
        let shown = shown.collect::<Vec<_>>();
        for key in acknowledged.filter(|key| key.starts_with(prefix)) {
            if !shown.contains(&key) {
                let text = format!("scan of {prefix} does not show {key} at {target:?}");
                self.broken("read-your-writes", text);
            }
        }
    }

    /// Checks the age that an answer to a read states.
    pub fn check_age(&self, kind: &str, max_age: Duration, age: Duration) {
        if age > max_age && !max_age.is_zero() {
            self.broken("stale read", format!("{kind} stated an age of {age:?}"));
        }
    }

    /// Checks the most connections that a target has had at once.
    pub fn check_connections(&self, target: &TargetName, most: usize, limit: usize) {
        if most > limit {
            let text = format!("{target} had {most} of {limit}");
            self.broken("connection limit", text);
        }
    }

    /// A target says from now on that it is leaving.
    pub fn target_leaves(&self, target: &TargetName, now: Instant) {
        self.lock().leaving.push((target.clone(), now));
    }

    /// A target does not say any more that it is leaving.
    pub fn target_stays(&self, target: &TargetName) {
        self.lock().leaving.retain(|(other, _)| other != target);
    }

    /// Checks the target that answered a request which was no step of an open transaction.
    pub fn check_target(&self, started: Instant, target: &TargetName, what: &str) {
        let leaving = self.lock().leaving.clone();
        let since = leaving.iter().find(|(other, _)| other == target);
        if let Some((_, since)) = since
            && started > *since + LEAVE_LIMIT
        {
            let text = format!("{what} at {target}, {:?} after its sign", started - *since);
            self.broken("work at a leaving target", text);
        }
    }

    /// Records the end of a request whose instance ended, as planned, before the answer did.
    pub fn record_cut(&self, what: &str) {
        self.broken(CUT_BY_STOP, what.to_string());
    }

    /// Checks how two racing changes of one document ended: whether each is reported as effective, and
    /// whether it is in the list of changes of the stored document.
    pub fn check_race(&self, reported: [bool; 2], stored: [bool; 2]) {
        if reported != stored || stored[0] == stored[1] {
            let text = format!("reported {reported:?}, stored {stored:?}");
            self.broken("racing settings", text);
        }
    }

    /// Records the time until a change was in force at all living instances.
    pub fn record_force(&self, took: Duration) {
        self.lock().force_times.push(took);
        if took > FORCE_LIMIT {
            self.broken("settings in force", format!("took {took:?}"));
        }
    }

    /// Checks two revisions that one run of an instance had in force one after the other.
    pub fn check_revisions(&self, instance: &str, before: u64, now: u64) {
        if now < before {
            let text = format!("{instance} went from {before} to {now}");
            self.broken("settings reverted", text);
        }
    }

    /// Times until changes of settings were in force.
    pub fn force_times(&self) -> Vec<Duration> {
        self.lock().force_times.clone()
    }

    /// Answers by class and outcome.
    pub fn outcomes(&self) -> BTreeMap<String, u64> {
        self.lock().outcomes.clone()
    }

    /// Longest time without an acknowledged write that overlaps the span after `from`.
    pub fn longest_gap(&self, from: Instant, span: Duration) -> Duration {
        let mut times = self.lock().acknowledged_at.clone();
        times.sort_unstable();
        let first = times.partition_point(|at| *at <= from).saturating_sub(1);
        let last = times.partition_point(|at| *at <= from + span);
        let window = &times[first..last.max(first)];
        let gaps = window.windows(2).map(|pair| pair[1] - pair[0]);
        let tail = window
            .last()
            .map_or(span, |last| (from + span).saturating_duration_since(*last));
        // Without any write until the end of the span, the gap is at least as long as that.
        let longest = gaps.max().unwrap_or(Duration::ZERO);
        if times.len() == last {
            longest.max(tail)
        } else {
            longest
        }
    }

    /// Number of broken promises.
    pub fn broken_count(&self) -> u64 {
        self.lock().broken.values().sum()
    }

    /// Examples of broken promises.
    pub fn examples(&self) -> Vec<String> {
        self.lock().examples.clone()
    }

    /// Share of reads that replicas served: of all, and of those that accept an age of 1 s or more.
    pub fn replica_shares(&self) -> (f64, f64) {
        let state = self.lock();
        let share = |accepted: fn(&KindCounts) -> bool| {
            let kinds = state.kinds.values().filter(|counts| accepted(counts));
            let (mut replica, mut all) = (0, 0);
            for counts in kinds {
                replica += counts.replica;
                all += counts.replica + counts.primary;
            }
            if all == 0 {
                0.0
            } else {
                replica as f64 / all as f64
            }
        };
        (share(|_| true), share(|counts| counts.accepts_age))
    }

    /// Acknowledged writes.
    pub fn acknowledged(&self) -> usize {
        self.lock().acknowledged_at.len()
    }

    /// The history in figures.
    pub fn summary(&self) -> Value {
        let (all, aged) = self.replica_shares();
        let state = self.lock();
        let kinds = state.kinds.iter().map(|(kind, counts)| {
            let figures = json!({
                "replica": counts.replica,
                "primary": counts.primary,
                "not_done": counts.not_done,
            });
            (kind.clone(), figures)
        });
        let kinds = kinds.collect::<serde_json::Map<_, _>>();
        let quantile = |q: f64| state.read_micros.value_at_quantile(q) as f64 / 1_000.0;
        json!({
            "replica_share": round(all),
            "replica_share_aged": round(aged),
            "kinds": kinds,
            "outcomes": state.outcomes,
            "broken": state.broken,
            "read_ms": { "p50": quantile(0.5), "p90": quantile(0.9), "p99": quantile(0.99) },
            "acknowledged_writes": state.acknowledged_at.len(),
        })
    }
}

fn row_key(row: &str) -> Option<&str> {
    row.split("\"key\":\"").nth(1)?.split('"').next()
}

fn round(share: f64) -> f64 {
    (share * 10_000.0).round() / 10_000.0
}

fn count_outcome(state: &mut HistoryState, class: &str, outcome: Option<RequestOutcome>) {
    let name = match outcome {
        None => "connection_lost".to_string(),
        Some(outcome) => match outcome.reason() {
            Some(reason) => format!("{}:{reason}", outcome.name()),
            None => outcome.name().to_string(),
        },
    };
    *state.outcomes.entry(format!("{class} {name}")).or_default() += 1;
}
