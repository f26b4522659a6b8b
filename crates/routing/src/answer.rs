//! Check of an answer whose head has arrived, before its first row is passed on.

use std::time::Duration;

use heatherhollow_session::ReadRequirement;
use heatherhollow_types::GroupPosition;
use heatherhollow_types::MonoTime;
use heatherhollow_types::TermNumber;

use crate::tracker::FreshnessTracker;

/// Head of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AnswerHead {
    /// Position of the state that the answer shows.
    pub position: GroupPosition,
    /// When the call was sent.
    pub asked_at: MonoTime,
    /// If the target was the group's primary when it was asked: its term.
    pub primary_term: Option<TermNumber>,
}

/// Whether an answer may be passed on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerCheck {
    /// It may.
    Acceptable {
        /// Greatest age of the answer.
        age_bound: Duration,
    },
    /// It is older than allowed, or its age is not known.
    TooOld,
    /// It does not show the position of the session yet.
    Behind,
    /// The position of the session was lost in a promotion.
    Lost,
}

/// Checks the head of an answer.
///
/// With a `max_age` of zero or [`ReadRequirement::Primary`], the answer has to show every write that
/// was committed before the call was sent. The caller of this function begins a term check after
/// sending the read, records its result in the tracker, and then checks the answer. `TooOld` can
/// therefore become `Acceptable` after another term check. A `max_age` above zero limits the age at `now`
/// in any case.
pub fn check_answer(
    head: &AnswerHead,
    requirement: ReadRequirement,
    max_age: Duration,
    tracker: &FreshnessTracker,
    now: MonoTime,
) -> AnswerCheck {
    if let ReadRequirement::AtLeast(need) = requirement {
        if tracker.is_lost(need) {
            return AnswerCheck::Lost;
        }
        if !tracker.holds(head.position, need) {
            return AnswerCheck::Behind;
        }
    }
    let Some(complete_until) = complete_until(head, tracker) else {
        return AnswerCheck::TooOld;
    };
    let is_current = complete_until >= head.asked_at;
    let must_be_current = requirement == ReadRequirement::Primary || max_age.is_zero();
    let age_bound = now - complete_until;
    // A check of the primary's leadership can take longer than the age that the kind allows.
    let is_within_max_age = max_age.is_zero() || age_bound <= max_age;
    if is_within_max_age && (is_current || !must_be_current) {
        AnswerCheck::Acceptable { age_bound }
    } else {
        AnswerCheck::TooOld
    }
}

fn complete_until(head: &AnswerHead, tracker: &FreshnessTracker) -> Option<MonoTime> {
    if !tracker.is_in_history(head.position) {
        return None;
    }
    let by_check = head
        .primary_term
        .and_then(|term| tracker.last_term_check(term))
        .map(|check| check.min(head.asked_at));
    tracker.complete_until(head.position).max(by_check)
}
