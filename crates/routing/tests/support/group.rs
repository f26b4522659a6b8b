//! Model of a group of three targets with its true state, and of an observer that sees it with
//! delay.
//!
//! Each call of the observer has three steps: it is started, it is served, and its answer arrives.
//! Any number of other steps can happen between them.

use heatherhollow_routing::FreshnessTracker;
use heatherhollow_types::GroupPosition;
use heatherhollow_types::LogPosition;
use heatherhollow_types::MonoTime;
use heatherhollow_types::TargetIndex;
use heatherhollow_types::TermHistory;
use heatherhollow_types::TermNumber;

use super::at;

const TARGETS: usize = 3;
const MAJORITY: usize = 2;

/// Maximum number of open calls. With more of them, random steps would complete too few calls.
const MAX_OPEN_CALLS: usize = 4;

/// Record of a write: its term and the number of the write.
pub type WriteRecord = (u64, usize);

#[derive(Clone, Default)]
pub struct SimTarget {
    pub log: Vec<WriteRecord>,
    pub promised: u64,
    /// Term in which the target acts as primary, and the first log position of that term.
    pub leader_term: Option<(u64, u64)>,
}

impl SimTarget {
    pub fn position(&self) -> GroupPosition {
        let term = self.log.last().map_or(0, |record| record.0);
        GroupPosition::new(term, self.log.len() as u64)
    }

    fn history(&self) -> TermHistory {
        let mut history = TermHistory::default();
        for (i, &(term, _)) in self.log.iter().enumerate() {
            if history.last_term() != Some(TermNumber(term)) {
                history.push(TermNumber(term), LogPosition(i as u64 + 1));
            }
        }
        if let Some((term, first)) = self.leader_term
            && history.last_term() != Some(TermNumber(term))
        {
            history.push(TermNumber(term), LogPosition(first));
        }
        history
    }
}

struct StatusCall {
    target: usize,
    asked_at: MonoTime,
    served: Option<SimTarget>,
}

struct CheckCall {
    term: u64,
    asked_at: MonoTime,
    answered: [bool; TARGETS],
}

/// Rules by which observations are passed to the tracker; faulty observers override some of them.
pub trait ObserverRule {
    fn sample_time(asked_at: MonoTime, _answered_at: MonoTime) -> MonoTime {
        asked_at
    }
    fn check_time(asked_at: MonoTime, _answered_at: MonoTime) -> MonoTime {
        asked_at
    }
    fn is_majority(answers: usize) -> bool {
        answers >= MAJORITY
    }
}

pub struct CorrectObserver;

impl ObserverRule for CorrectObserver {}

pub struct SimGroup {
    pub now: MonoTime,
    pub targets: Vec<SimTarget>,
    pub tracker: FreshnessTracker,
    /// Time at which each write was committed; `None` if it has not been.
    pub committed: Vec<Option<MonoTime>>,
    /// Primary and its term as the observer knows them.
    pub known_primary: (usize, u64),
    /// Target that the other targets cannot reach, but the observer can.
    cut_off: Option<usize>,
    calls: Vec<StatusCall>,
    checks: Vec<CheckCall>,
}

impl SimGroup {
    pub fn new() -> Self {
        let mut targets = vec![SimTarget::default(); TARGETS];
        targets.iter_mut().for_each(|target| target.promised = 1);
        targets[0].leader_term = Some((1, 1));
        Self {
            now: at(1_000),
            targets,
            tracker: FreshnessTracker::default(),
            committed: Vec::new(),
            known_primary: (0, 1),
            cut_off: None,
            calls: Vec::new(),
            checks: Vec::new(),
        }
    }

    /// Returns the target that is primary in the highest term.
    pub fn true_primary(&self) -> usize {
        (0..TARGETS)
            .max_by_key(|&i| self.targets[i].leader_term)
            .unwrap_or(0)
    }

    /// Executes one step that is selected by the random numbers `kind` and `pick`.
    pub fn step<O: ObserverRule>(&mut self, kind: u8, pick: u8) {
        let pick = usize::from(pick);
        match kind % 64 {
            0..=6 => self.now = self.now + super::ms(pick as u64 % 8 + 1),
            7..=12 => drop(self.write(pick % TARGETS)),
            13..=26 => self.replicate(pick % TARGETS, pick / TARGETS % 4 + 1),
            27 if self.cut_off.take().is_none() => self.promote(pick),
            27 => {} // `take` made the target reachable again
            28..=35 => self.start_call(pick % TARGETS),
            36..=41 => self.serve_call(pick),
            42..=47 => self.deliver_answer::<O>(pick),
            48..=51 => self.start_check(),
            52..=59 => self.answer_check(pick),
            60 => self.observe_all::<O>(),
            _ => self.deliver_check::<O>(pick),
        }
    }

    /// Appends a write at a target, if it acts as primary and has promised no higher term.
    pub fn write(&mut self, target: usize) -> Option<WriteRecord> {
        let primary = &mut self.targets[target];
        let (term, _) = primary.leader_term?;
        if primary.promised > term {
            return None;
        }
        let record = (term, self.committed.len());
        primary.log.push(record);
        self.committed.push(None);
        Some(record)
    }

    fn replicate(&mut self, follower: usize, count: usize) {
        let source = self.true_primary();
        let Some((term, _)) = self.targets[source].leader_term else {
            return;
        };
        let is_reachable = [source, follower].iter().all(|&i| self.cut_off != Some(i));
        if source == follower || !is_reachable || self.targets[follower].promised > term {
            return;
        }
        let log = self.targets[source].log.clone();
        let target = &mut self.targets[follower];
        target.promised = term;
        target.leader_term = None;
        let shared = target.log.iter().zip(&log).take_while(|(a, b)| a == b);
        let shared = shared.count();
        target.log.truncate(shared);
        target.log.extend(log.iter().skip(shared).take(count));
        self.commit();
    }

    /// Commits the writes that are held by a majority of targets without a promise of a later term.
    fn commit(&mut self) {
        let source = &self.targets[self.true_primary()];
        for &(term, number) in &source.log {
            let has_it = |target: &&SimTarget| {
                target.log.contains(&(term, number)) && target.promised <= term
            };
            if self.committed[number].is_none()
                && self.targets.iter().filter(has_it).count() >= MAJORITY
            {
                self.committed[number] = Some(self.now);
            }
        }
    }

    fn promote(&mut self, pick: usize) {
        // The true primary is excluded most often, so that it is replaced without noticing.
        let excluded = match pick % 3 {
            0 => pick / 3 % TARGETS,
            _ => self.true_primary(),
        };
        self.cut_off = Some(excluded);
        let term = 1 + self
            .targets
            .iter()
            .map(|target| target.promised)
            .max()
            .unwrap_or(0);
        let voters = (0..TARGETS).filter(|&i| i != excluded);
        let Some(best) = voters.clone().max_by_key(|&i| self.targets[i].position()) else {
            return;
        };
        for i in voters {
            self.targets[i].promised = term;
            self.targets[i].leader_term = None;
        }
        self.targets[best].leader_term = Some((term, self.targets[best].log.len() as u64 + 1));
    }

    fn start_call(&mut self, target: usize) {
        if self.calls.len() == MAX_OPEN_CALLS {
            self.calls.remove(0);
        }
        self.calls.push(StatusCall {
            target,
            asked_at: self.now,
            served: None,
        });
    }

    fn serve_call(&mut self, pick: usize) {
        if !self.calls.is_empty() {
            let i = pick % self.calls.len();
            let target = self.calls[i].target;
            self.calls[i].served = Some(self.targets[target].clone());
        }
    }

    fn deliver_answer<O: ObserverRule>(&mut self, pick: usize) {
        let served = |call: &StatusCall| call.served.is_some();
        let Some(i) = self.calls.iter().position(served) else {
            return;
        };
        let i = (i + pick % 2).min(self.calls.len() - 1); // may select a later call, out of order
        let call = self.calls.remove(i);
        let Some(state) = call.served else { return };
        self.tracker.observe_history(&state.history());
        match state.leader_term {
            Some((term, _)) => {
                let time = O::sample_time(call.asked_at, self.now);
                self.tracker
                    .observe_primary(time, TermNumber(term), state.position());
                if term > self.known_primary.1 {
                    self.known_primary = (call.target, term);
                }
            }
            None => {
                let target = TargetIndex(call.target as u16);
                self.tracker
                    .observe_replica(target, self.now, state.position());
            }
        }
    }

    /// Calls all targets and delivers their answers immediately.
    pub fn observe_all<O: ObserverRule>(&mut self) {
        let asked_at = self.now;
        self.calls.clear();
        for target in 0..TARGETS {
            self.start_call(target);
            self.serve_call(target);
        }
        (0..TARGETS).for_each(|_| self.deliver_answer::<O>(0));
        let term = self.known_primary.1;
        let kept = |target: &&SimTarget| target.promised <= term;
        if O::is_majority(self.targets.iter().filter(kept).count()) {
            self.tracker.observe_term_check(asked_at, TermNumber(term));
        }
    }

    fn start_check(&mut self) {
        if self.checks.len() == MAX_OPEN_CALLS {
            self.checks.remove(0);
        }
        self.checks.push(CheckCall {
            term: self.known_primary.1,
            asked_at: self.now,
            answered: [false; TARGETS],
        });
    }

    fn answer_check(&mut self, pick: usize) {
        if self.checks.is_empty() {
            return;
        }
        let i = pick / TARGETS % self.checks.len();
        let check = &mut self.checks[i];
        if self.targets[pick % TARGETS].promised > check.term {
            self.checks.remove(i);
        } else {
            check.answered[pick % TARGETS] = true;
        }
    }

    fn deliver_check<O: ObserverRule>(&mut self, pick: usize) {
        if self.checks.is_empty() {
            return;
        }
        let i = pick % self.checks.len();
        let answered = self.checks[i].answered.iter();
        if O::is_majority(answered.filter(|&&is_there| is_there).count()) {
            let check = self.checks.remove(i);
            let time = O::check_time(check.asked_at, self.now);
            self.tracker
                .observe_term_check(time, TermNumber(check.term));
        }
    }

    /// Returns the earliest commit time of the committed writes that are missing in the log, or
    /// `None` if none is missing.
    pub fn first_missing(&self, log: &[WriteRecord]) -> Option<MonoTime> {
        let mut is_missing = vec![true; self.committed.len()];
        log.iter().for_each(|record| is_missing[record.1] = false);
        let writes = self.committed.iter().zip(is_missing);
        writes
            .filter_map(|(time, is_missing)| time.filter(|_| is_missing))
            .min()
    }
}
