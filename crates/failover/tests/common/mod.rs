//! Helpers for the property tests: seeded runs of `quickcheck` and a model of a group of targets.

#![allow(dead_code)] // Each test file uses a part of this module.

use std::collections::hash_map::RandomState;
use std::fmt::Debug;
use std::hash::BuildHasher;

use quickcheck::Arbitrary;
use quickcheck::Gen;
use quickcheck::QuickCheck;
use quickcheck::TestResult;

use heatherhollow_failover::FenceAnswer;
use heatherhollow_failover::PromoteAnswer;
use heatherhollow_failover::TargetReport;
use heatherhollow_types::CandidateId;
use heatherhollow_types::GroupPosition;
use heatherhollow_types::Incarnation;
use heatherhollow_types::LogPosition;
use heatherhollow_types::TermHistory;
use heatherhollow_types::TermNumber;

/// Property that returns a description of its violation.
pub type Property<A> = fn(A) -> Result<(), String>;

/// Fixed seed for the runs of faulty variants, so that detecting the fault does not depend on
/// chance.
const FAULT_SEED: u64 = 7;

fn run_property<A: Arbitrary + Debug>(
    (size, cases, seed): (usize, u64, u64),
    property: Property<A>,
) -> Result<u64, TestResult> {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(size, seed))
        .tests(cases)
        .quicktest(property)
}

/// Checks a property with the seed in `QUICKCHECK_SEED`, or else a random one, and prints the seed.
pub fn assert_holds<A: Arbitrary + Debug>(size: usize, cases: u64, property: Property<A>) {
    let given = std::env::var("QUICKCHECK_SEED").ok();
    let seed = given
        .and_then(|text| text.parse().ok())
        .unwrap_or_else(|| RandomState::new().hash_one(0_u8));
    println!("QUICKCHECK_SEED={seed}");
    if let Err(failure) = run_property((size, cases, seed), property) {
        panic!("QUICKCHECK_SEED={seed}: {failure:?}");
    }
}

/// Checks that a faulty variant fails with `wanted` in its description, and not for another reason.
pub fn assert_caught<A: Arbitrary + Debug>(
    size: usize,
    cases: u64,
    wanted: &str,
    property: Property<A>,
) {
    match run_property((size, cases, FAULT_SEED), property) {
        Ok(passed) => panic!("the faulty variant passed {passed} cases"),
        Err(failure) => {
            let text = format!("{failure:?}");
            assert!(text.contains(wanted), "caught by something else: {text}");
        }
    }
}

/// Returns the candidate with this number.
pub fn candidate(number: usize) -> CandidateId {
    CandidateId {
        instance: format!("instance-{number}").parse().unwrap(),
        incarnation: Incarnation(1),
    }
}

/// Record of a log: its term and the number of its write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ModelRecord {
    pub term: TermNumber,
    pub write: usize,
}

/// Model of a target with its durable state.
#[derive(Debug, Clone, Default)]
pub struct ModelTarget {
    pub is_down: bool,
    pub promised: TermNumber,
    pub promised_to: Option<CandidateId>,
    pub primary_term: Option<TermNumber>,
    pub log: Vec<ModelRecord>,
}

impl ModelTarget {
    /// Returns the position of the last of the first `length` records.
    pub fn position(&self, length: usize) -> GroupPosition {
        let term = length
            .checked_sub(1)
            .map_or(TermNumber::default(), |i| self.log[i].term);
        GroupPosition {
            term,
            position: LogPosition(length as u64),
        }
    }

    pub fn end(&self) -> GroupPosition {
        self.position(self.log.len())
    }

    pub fn is_primary(&self) -> bool {
        self.primary_term == Some(self.promised)
    }

    /// Returns whether the log contains the write at this position.
    pub fn has(&self, position: GroupPosition, write: usize) -> bool {
        let record = ModelRecord {
            term: position.term,
            write,
        };
        self.log.get(position.position.0 as usize - 1) == Some(&record)
    }

    pub fn report(&self) -> TargetReport {
        let mut history = TermHistory::default();
        for (i, record) in self.log.iter().enumerate() {
            if history.last_term() != Some(record.term) {
                history.push(record.term, LogPosition(i as u64 + 1));
            }
        }
        TargetReport {
            promised: self.promised,
            end: self.end(),
            applied: self.end(),
            history,
            is_primary: self.is_primary(),
            primary_silent_for: None,
            is_leaving: false,
        }
    }

    pub fn fence(&mut self, term: TermNumber, candidate: &CandidateId) -> FenceAnswer {
        if term > self.promised {
            self.promised = term;
            self.promised_to = Some(candidate.clone());
        }
        let is_accepted = term == self.promised && self.promised_to.as_ref() == Some(candidate);
        FenceAnswer {
            is_accepted,
            promised: self.promised,
            end: self.end(),
            is_leaving: false,
        }
    }

    pub fn promote(&mut self, term: TermNumber, candidate: &CandidateId) -> PromoteAnswer {
        let is_accepted = term == self.promised && self.promised_to.as_ref() == Some(candidate);
        if is_accepted {
            self.primary_term = Some(term);
        }
        PromoteAnswer {
            is_accepted,
            promised: Some(self.promised),
        }
    }

    pub fn follow(&mut self, term: TermNumber) {
        if term > self.promised {
            self.promised = term;
            self.promised_to = None;
        }
        if self.primary_term < Some(term) {
            self.primary_term = None;
        }
    }

    /// Appends a write and returns its position, or `None` if the target does not act as primary.
    pub fn write(&mut self, write: usize) -> Option<GroupPosition> {
        let term = self.primary_term.filter(|_| self.is_primary())?;
        self.log.push(ModelRecord { term, write });
        Some(self.end())
    }
}

/// Replicates up to `count` records from a current or former primary to another target. A former
/// primary that has not noticed its replacement continues to send records.
pub fn replicate(targets: &mut [ModelTarget], from: usize, to: usize, count: usize) {
    let source = targets[from].log.clone();
    let Some(term) = targets[from].primary_term else {
        return;
    };
    let target = &mut targets[to];
    if from == to || term < target.promised {
        return;
    }
    target.follow(term);
    let pairs = source.iter().zip(&target.log);
    let shared = pairs.take_while(|(a, b)| a == b).count();
    let end = (shared + count).min(source.len());
    // A log that already contains these records is not truncated.
    if shared < target.log.len() || end > shared {
        target.log.truncate(shared);
        target.log.extend_from_slice(&source[shared..end]);
    }
}

/// Returns a group whose first target is the primary of term 1.
pub fn new_group(size: usize) -> Vec<ModelTarget> {
    let mut targets = vec![ModelTarget::default(); size];
    for target in &mut targets {
        target.promised = TermNumber(1);
    }
    targets[0].primary_term = Some(TermNumber(1));
    targets
}
