//! Promotions, writes and confirmations in random interleavings, with lost and delayed messages,
//! targets that stop and restart, and candidates that pause between any two steps.

mod common;

use std::time::Duration;

use common::ModelTarget;
use common::assert_caught;
use common::assert_holds;
use common::candidate;
use common::new_group;
use common::replicate;
use heatherhollow_failover::ConfirmSettings;
use heatherhollow_failover::Confirmation;
use heatherhollow_failover::FenceAnswer;
use heatherhollow_failover::HighestTerm;
use heatherhollow_failover::PendingWrite;
use heatherhollow_failover::PromoteAnswer;
use heatherhollow_failover::PromotionAction;
use heatherhollow_failover::PromotionRun;
use heatherhollow_failover::RunSettings;
use heatherhollow_failover::RunTarget;
use heatherhollow_failover::TargetReport;
use heatherhollow_failover::WriteConfirmer;
use heatherhollow_types::AckMode;
use heatherhollow_types::CandidateId;
use heatherhollow_types::GroupPosition;
use heatherhollow_types::MonoTime;
use heatherhollow_types::TargetIndex;
use heatherhollow_types::TermNumber;

const CANDIDATES: usize = 3;

/// Number of instances that write. Each confirms its writes with the reports that it requested.
const WRITERS: usize = 2;

/// Maximum number of messages in transit; beyond it the oldest message is lost.
const MAX_MESSAGES: usize = 12;

/// Fault that is injected into the model or the code under test.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    None,
    /// Fence answers hide the log ends, so that the choice of the target ignores them.
    IgnoredLogEnds,
    /// All candidates have the same id and choose terms independently.
    SharedCandidate,
    /// The confirmation of the primary alone suffices.
    SingleConfirmation,
    /// Logs are compared by position number, as if their last record were of the write's term.
    PositionOnly,
    /// A status is dated at its answer instead of the start of its call.
    AnswerTime,
    /// Reports of targets that have promised a higher term also count.
    IgnoredPromise,
}

#[derive(Debug, Clone)]
enum Message {
    Fence(usize, usize, TermNumber),
    FenceReply(usize, usize, TermNumber, FenceAnswer),
    Promote(usize, usize, TermNumber),
    PromoteReply(usize, usize, TermNumber, PromoteAnswer),
    Follow(usize, usize, TermNumber),
    FollowReply(usize, usize, TermNumber),
    Status(usize, usize, MonoTime),
    StatusReply(usize, usize, MonoTime, TargetReport),
}

struct ModelCandidate {
    id: CandidateId,
    highest: HighestTerm,
    run: Option<PromotionRun>,
}

struct ModelWrite {
    pending: PendingWrite,
    number: usize,
    was_replaced: bool,
    is_confirmed: bool,
}

struct GroupModel {
    fault: Fault,
    now: MonoTime,
    targets: Vec<ModelTarget>,
    /// Target that is unreachable for other targets and all candidates, but still takes writes.
    cut_off: Option<usize>,
    candidates: Vec<ModelCandidate>,
    messages: Vec<Message>,
    /// Messages that are delayed until a later step moves them back to `messages`.
    delayed: Vec<Message>,
    confirmers: Vec<WriteConfirmer>,
    writes: Vec<ModelWrite>,
    /// Every promoted primary: its term, its index and its state at the promotion.
    primaries: Vec<(TermNumber, usize, ModelTarget)>,
    promotions: usize,
    confirmations: [usize; 3],
}

impl GroupModel {
    fn new(size: usize, fault: Fault) -> Self {
        let targets = new_group(size);
        let candidates = (0..CANDIDATES).map(|i| ModelCandidate {
            id: candidate(if fault == Fault::SharedCandidate {
                0
            } else {
                i
            }),
            highest: HighestTerm::default(),
            run: None,
        });
        let declared = if fault == Fault::SingleConfirmation {
            1
        } else {
            size
        };
        Self {
            fault,
            now: MonoTime::ZERO,
            candidates: candidates.collect(),
            messages: Vec::new(),
            delayed: Vec::new(),
            confirmers: vec![WriteConfirmer::new(ConfirmSettings::default(), declared); WRITERS],
            writes: Vec::new(),
            primaries: vec![(TermNumber(1), 0, targets[0].clone())],
            targets,
            cut_off: None,
            promotions: 0,
            confirmations: [0; 3],
        }
    }

    fn step(&mut self, (kind, a, b): (u8, u8, u8)) -> Result<(), String> {
        let size = self.targets.len();
        let (a, b) = (usize::from(a), usize::from(b));
        self.now = self.now + Duration::from_micros(1);
        match kind % 32 {
            0..=12 => self.deliver(a)?,
            13 if !self.messages.is_empty() => {
                let message = self.messages.swap_remove(a % self.messages.len());
                if b.is_multiple_of(2) {
                    self.delayed.push(message);
                }
            }
            14 if b.is_multiple_of(2) => self.start_run(a % CANDIDATES, b / 2 % size, a % 4 == 3),
            15..=16 => {
                self.now = self.now + Duration::from_millis(b as u64 / 4);
                self.advance(a % CANDIDATES, |run, now| run.tick(now));
            }
            17 => {
                let target = &mut self.targets[a % size];
                target.is_down = !target.is_down && b.is_multiple_of(4);
            }
            18..=21 => {
                if let Some(from) = self.pick(a, ModelTarget::is_primary) {
                    if b.is_multiple_of(5) {
                        self.read_recorded_outcome(from, b / 5);
                    } else {
                        self.write(from, b);
                    }
                }
            }
            22..=25 => {
                let to = b % size;
                let from = self.pick(a, |target| target.primary_term.is_some());
                if let Some(from) = from.filter(|&from| {
                    !self.targets[to].is_down && ![Some(from), Some(to)].contains(&self.cut_off)
                }) {
                    replicate(&mut self.targets, from, to, 1 + b / 32);
                }
            }
            26 if !self.delayed.is_empty() => {
                let message = self.delayed.swap_remove(a % self.delayed.len());
                self.messages.push(message);
            }
            27..=29 => {
                let message = Message::Status(b % WRITERS, a % size, self.now);
                self.messages.push(message);
            }
            30 => {
                let primary = self.pick(a, ModelTarget::is_primary);
                self.cut_off = match self.cut_off {
                    None => primary,
                    Some(target) => Some(target).filter(|_| !b.is_multiple_of(4)),
                };
            }
            _ => self.check_writes()?,
        }
        if self.messages.len() > MAX_MESSAGES {
            self.messages.remove(0);
        }
        Ok(())
    }

    /// Returns one of the running targets that satisfy `wanted`.
    fn pick(&self, a: usize, wanted: impl Fn(&ModelTarget) -> bool) -> Option<usize> {
        let fits = |&t: &usize| !self.targets[t].is_down && wanted(&self.targets[t]);
        let found = (0..self.targets.len()).filter(fits).collect::<Vec<_>>();
        found.get(a % found.len().max(1)).copied()
    }

    fn write(&mut self, target: usize, b: usize) {
        let number = self.writes.len();
        let Some(position) = self.targets[target].write(number) else {
            return;
        };
        let mode = if b.is_multiple_of(3) {
            AckMode::Primary
        } else {
            AckMode::Replicated
        };
        let was_replaced = self.primaries.iter().any(|p| p.0 > position.term);
        let primary = TargetIndex(target as u16);
        self.writes.push(ModelWrite {
            pending: PendingWrite::new(position, primary, self.now, mode),
            number,
            was_replaced,
            is_confirmed: false,
        });
    }

    /// Reads the recorded outcome of an earlier write from a primary.
    fn read_recorded_outcome(&mut self, target: usize, b: usize) {
        let state = &self.targets[target];
        let Some(term) = state.primary_term else {
            return;
        };
        let recorded = self.writes.iter().filter(|write| {
            let position = write.pending.position;
            write.pending.term < term && state.has(position, write.number)
        });
        if let Some(write) = recorded.rev().nth(b % 4) {
            let number = write.number;
            self.writes.push(ModelWrite {
                pending: PendingWrite {
                    term,
                    primary: TargetIndex(target as u16),
                    answered_at: self.now,
                    ..write.pending
                },
                number,
                // A recorded write that a majority already held is safe whichever target reports
                // it.
                was_replaced: write.pending.mode == AckMode::Primary
                    && self.primaries.iter().any(|p| p.0 > term),
                is_confirmed: false,
            });
        }
    }

    fn start_run(&mut self, c: usize, seen: usize, is_planned: bool) {
        let is_shared = self.fault == Fault::SharedCandidate;
        let report = self.targets[seen].report();
        let candidate = &mut self.candidates[c];
        if candidate.run.as_ref().is_some_and(PromotionRun::is_active) {
            return;
        }
        candidate.highest.observe_report(&report);
        let term = if is_shared {
            report.promised.max(TermNumber(2))
        } else {
            candidate.highest.allocate_term()
        };
        let targets = (0..self.targets.len() as u16).map(|i| RunTarget {
            index: TargetIndex(i),
            is_leaving: false,
        });
        let targets = targets.collect::<Vec<_>>();
        let (settings, id) = (RunSettings::default(), candidate.id.clone());
        let primary = self.targets.iter().position(ModelTarget::is_primary);
        let (run, actions) = match primary {
            Some(primary) if is_planned && primary != seen => {
                let [primary, named] = [primary, seen].map(|t| TargetIndex(t as u16));
                let now = self.now;
                PromotionRun::start_planned(settings, now, term, id, &targets, primary, named)
            }
            _ => PromotionRun::start(settings, self.now, term, id, &targets),
        };
        candidate.run = Some(run);
        self.send(c, actions);
    }

    fn advance(
        &mut self,
        c: usize,
        step: impl FnOnce(&mut PromotionRun, MonoTime) -> Vec<PromotionAction>,
    ) {
        let now = self.now;
        if let Some(run) = &mut self.candidates[c].run {
            let actions = step(run, now);
            self.send(c, actions);
        }
    }

    fn send(&mut self, c: usize, actions: Vec<PromotionAction>) {
        for action in actions {
            match action {
                PromotionAction::Fence { target, term } => {
                    self.messages
                        .push(Message::Fence(c, target.as_usize(), term));
                }
                PromotionAction::Promote { target, term } => {
                    self.messages
                        .push(Message::Promote(c, target.as_usize(), term));
                }
                PromotionAction::Follow { target, term, .. } => {
                    self.messages
                        .push(Message::Follow(c, target.as_usize(), term));
                }
                PromotionAction::Finished { term, .. } => {
                    self.candidates[c].highest.observe_established(term);
                }
                PromotionAction::Abandoned {
                    highest_promised, ..
                } => {
                    self.candidates[c]
                        .highest
                        .observe_promised(highest_promised);
                }
                PromotionAction::Inspect { target } => {
                    let state = &self.targets[target.as_usize()];
                    if !state.is_down {
                        let report = state.report();
                        self.advance(c, |run, now| run.handle_report(now, target, now, &report));
                    }
                }
            }
        }
    }

    fn deliver(&mut self, pick: usize) -> Result<(), String> {
        if self.messages.is_empty() {
            return Ok(());
        }
        let message = self.messages.swap_remove(pick % self.messages.len());
        match message {
            Message::Fence(_, t, _)
            | Message::Promote(_, t, _)
            | Message::Follow(_, t, _)
            | Message::Status(_, t, _)
                if self.targets[t].is_down || self.cut_off == Some(t) => {}
            Message::Fence(c, t, term) => {
                let answer = self.targets[t].fence(term, &self.candidates[c].id);
                self.messages.push(Message::FenceReply(c, t, term, answer));
            }
            Message::FenceReply(c, t, term, mut answer) => {
                if self.fault == Fault::IgnoredLogEnds {
                    answer.end = GroupPosition::default();
                }
                if self.is_current_term(c, term) {
                    let target = TargetIndex(t as u16);
                    self.advance(c, |run, now| run.handle_fence_reply(now, target, answer));
                }
            }
            Message::Promote(c, t, term) => {
                let answer = self.targets[t].promote(term, &self.candidates[c].id);
                if answer.is_accepted {
                    self.record_primary(term, t)?;
                }
                self.messages
                    .push(Message::PromoteReply(c, t, term, answer));
            }
            Message::PromoteReply(c, t, term, answer) => {
                if self.is_current_term(c, term) {
                    let target = TargetIndex(t as u16);
                    self.advance(c, |run, now| run.handle_promote_reply(now, target, answer));
                }
            }
            Message::Follow(c, t, term) => {
                self.targets[t].follow(term);
                self.messages.push(Message::FollowReply(c, t, term));
            }
            Message::FollowReply(c, t, term) => {
                if let Some(run) = &mut self.candidates[c].run
                    && run.term() == term
                {
                    run.handle_follow_reply(TargetIndex(t as u16));
                }
            }
            Message::Status(w, t, asked_at) => {
                let report = self.targets[t].report();
                let reply = Message::StatusReply(w, t, asked_at, report);
                self.messages.push(reply);
            }
            Message::StatusReply(w, t, asked_at, report) => self.observe(w, t, asked_at, report),
        }
        Ok(())
    }

    fn is_current_term(&self, c: usize, term: TermNumber) -> bool {
        let run = self.candidates[c].run.as_ref();
        run.is_some_and(|run| run.term() == term)
    }

    fn observe(&mut self, w: usize, t: usize, mut asked_at: MonoTime, mut report: TargetReport) {
        match self.fault {
            Fault::AnswerTime => asked_at = self.now,
            Fault::IgnoredPromise => report.promised = TermNumber::default(),
            Fault::PositionOnly => {
                if let Some(write) = self.writes.last() {
                    report.end.term = write.pending.term;
                }
            }
            _ => {}
        }
        let target = TargetIndex(t as u16);
        self.confirmers[w].observe(target, asked_at, &report);
    }

    fn record_primary(&mut self, term: TermNumber, t: usize) -> Result<(), String> {
        if self.primaries.iter().any(|p| p.0 == term && p.1 == t) {
            return Ok(());
        }
        if self.primaries.iter().any(|p| p.0 == term) {
            return Err(format!("two primaries in term {term}"));
        }
        self.promotions += 1;
        self.primaries.push((term, t, self.targets[t].clone()));
        let mut confirmed = self.writes.iter().filter(|write| write.is_confirmed);
        confirmed.try_for_each(|write| self.check_held(write))
    }

    /// Checks that every primary of a later term contained the write when it was promoted.
    fn check_held(&self, write: &ModelWrite) -> Result<(), String> {
        let pending = &write.pending;
        let mut later = self.primaries.iter().filter(|p| p.0 > pending.term);
        if pending.mode == AckMode::Replicated
            && later.any(|p| !p.2.has(pending.position, write.number))
        {
            return Err(format!("confirmed write lost: {pending:?}"));
        }
        Ok(())
    }

    fn check_writes(&mut self) -> Result<(), String> {
        for i in 0..self.writes.len() {
            let write = &self.writes[i];
            let is_recorded = write.pending.term > write.pending.position.term;
            if write.is_confirmed {
                continue;
            }
            let confirmer = &self.confirmers[write.number % WRITERS];
            match confirmer.check(&write.pending) {
                Confirmation::Waiting => {}
                Confirmation::Confirmed => {
                    if write.was_replaced {
                        return Err(format!("replaced primary confirmed: {:?}", write.pending));
                    }
                    self.check_held(write)?;
                    let kind = match write.pending.mode {
                        AckMode::Replicated if is_recorded => 2,
                        AckMode::Replicated => 0,
                        AckMode::Primary => 1,
                    };
                    self.confirmations[kind] += 1;
                    self.writes[i].is_confirmed = true;
                }
                Confirmation::Refuted => {
                    let term = write.pending.term;
                    let fenced = self.targets.iter().filter(|t| t.promised > term).count();
                    if fenced * 2 <= self.targets.len() {
                        return Err("refuted without a majority of higher promises".to_string());
                    }
                }
            }
        }
        Ok(())
    }
}

type Steps = (bool, Vec<(u8, u8, u8)>);

fn run_model((is_large, steps): Steps, fault: Fault) -> Result<GroupModel, String> {
    let mut model = GroupModel::new(if is_large { 5 } else { 3 }, fault);
    for step in steps {
        model.step(step)?;
    }
    Ok(model)
}

// Guards against two primaries in a term, against a confirmed write that a later primary does not
// contain, and against the confirmation of a write that ran on a replaced primary.
#[test]
fn confirmed_writes_survive_every_promotion() {
    assert_holds(1_500, 4_000, |steps: Steps| {
        run_model(steps, Fault::None).map(drop)
    });
}

// Guards against a model whose steps reach too few promotions and confirmations to test the
// property.
#[test]
fn model_reaches_promotions_and_confirmations() {
    let mut generator = quickcheck::Gen::from_size_and_seed(1_500, 1);
    let (mut promotions, mut confirmations) = (0, [0; 3]);
    for _ in 0..400 {
        let steps = quickcheck::Arbitrary::arbitrary(&mut generator);
        let model = run_model(steps, Fault::None).unwrap();
        promotions += model.promotions;
        for (total, count) in confirmations.iter_mut().zip(model.confirmations) {
            *total += count;
        }
    }
    println!("promotions {promotions}, replicated, primary, recorded {confirmations:?}");
    assert!(promotions >= 400);
    assert!(confirmations.iter().all(|&total| total >= 40));
}

// Guards against a model that misses a choice of the target without regard to the log ends.
#[test]
fn choice_without_log_ends_is_caught() {
    assert_caught(1_500, 2_000, "confirmed write lost", |steps: Steps| {
        run_model(steps, Fault::IgnoredLogEnds).map(drop)
    });
}

// Guards against a model that misses two candidates with the same id.
#[test]
fn shared_candidate_id_is_caught() {
    assert_caught(1_500, 2_000, "two primaries", |steps: Steps| {
        run_model(steps, Fault::SharedCandidate).map(drop)
    });
}

// Guards against a model that misses a confirmation by the primary alone.
#[test]
fn confirmation_without_majority_is_caught() {
    assert_caught(1_500, 2_000, "confirmed", |steps: Steps| {
        run_model(steps, Fault::SingleConfirmation).map(drop)
    });
}

// Guards against a model that misses a comparison of logs without their terms.
#[test]
fn comparison_by_position_number_is_caught() {
    assert_caught(1_500, 2_000, "confirmed write lost", |steps: Steps| {
        run_model(steps, Fault::PositionOnly).map(drop)
    });
}

// Guards against a model that misses the use of a status older than the answer to the write.
#[test]
fn status_from_before_the_answer_is_caught() {
    assert_caught(
        1_500,
        2_000,
        "replaced primary confirmed",
        |steps: Steps| run_model(steps, Fault::AnswerTime).map(drop),
    );
}

// Guards against a model that misses a report after a promise of a higher term.
#[test]
fn ignored_promise_is_caught() {
    assert_caught(1_500, 2_000, "confirmed", |steps: Steps| {
        run_model(steps, Fault::IgnoredPromise).map(drop)
    });
}
