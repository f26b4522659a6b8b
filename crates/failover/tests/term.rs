//! Tracking of the highest terms of a group.

mod common;

use common::assert_caught;
use common::assert_holds;
use heatherhollow_failover::HighestTerm;
use heatherhollow_types::TermNumber;

/// Established (`true`) and promised (`false`) terms that are reported to each of two instances.
type ReportedTerms = (Vec<(bool, u8)>, Vec<(bool, u8)>);

fn highest_of<'a>(reported: impl IntoIterator<Item = &'a (bool, u8)>) -> HighestTerm {
    let mut highest = HighestTerm::default();
    for &(is_established, term) in reported {
        let term = TermNumber(u64::from(term));
        if is_established {
            highest.observe_established(term);
        } else {
            highest.observe_promised(term);
        }
    }
    highest
}

fn merge_keeps_both((left, right): ReportedTerms, is_faulty: bool) -> Result<(), String> {
    let all = highest_of(left.iter().chain(&right));
    let (left, right) = (highest_of(&left), highest_of(&right));
    let mut merged = left;
    if is_faulty {
        merged = left.keep_higher_promised(right);
    } else {
        merged.merge(&right);
        merged.merge(&left);
    }
    let is_equal = merged.established() == all.established() && merged.promised() == all.promised();
    is_equal
        .then_some(())
        .ok_or_else(|| format!("lost a term: {merged:?}, {all:?}"))
}

trait FaultyMerge {
    /// Returns the side with the higher promised term and drops the other one.
    fn keep_higher_promised(self, other: Self) -> Self;
}

impl FaultyMerge for HighestTerm {
    fn keep_higher_promised(self, other: Self) -> Self {
        if self.promised() >= other.promised() {
            self
        } else {
            other
        }
    }
}

// Guards against a merge that loses the established term of one side, after which writes of a
// replaced primary would be acknowledged.
#[test]
fn merge_loses_no_term() {
    assert_holds(20, 500, |reported| merge_keeps_both(reported, false));
    assert_caught(20, 500, "lost a term", |reported| {
        merge_keeps_both(reported, true)
    });
}

// Guards against two runs of one instance in the same term, which could choose different targets.
#[test]
fn new_terms_are_never_repeated() {
    assert_holds(20, 500, |reported: Vec<(bool, u8)>| {
        let mut highest = HighestTerm::default();
        let mut last = TermNumber(0);
        for step in &reported {
            highest.merge(&highest_of([step]));
            let next = highest.allocate_term();
            if next <= last || next.0 <= u64::from(step.1) {
                return Err(format!("term {next} after {last} and {step:?}"));
            }
            last = next;
        }
        Ok(())
    });
}
