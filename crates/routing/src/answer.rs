//! Validation of an answer by its head, before its first row is returned to the caller.

use std::time::Duration;

use heatherhollow_session::ReadRequirement;
use heatherhollow_types::GroupPosition;
use heatherhollow_types::MonoTime;
use heatherhollow_types::TermNumber;

use crate::tracker::FreshnessTracker;

/// Head of an answer, which arrives before its rows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AnswerHead {
    /// Log position of the state that the answer reflects.
    pub position: GroupPosition,
    /// When the call was sent.
    pub asked_at: MonoTime,
    /// Term of the target if it was the group's primary when the call was sent, otherwise `None`.
    pub primary_term: Option<TermNumber>,
}

/// Result of [`check_answer`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerCheck {
    /// The answer may be returned to the caller.
    Acceptable {
        /// Upper bound of the age of the answer.
        age_bound: Duration,
    },
    /// The answer is older than allowed, or its age is unknown.
    TooOld,
    /// The answer does not reflect the position of the session yet.
    Behind,
    /// The position of the session was lost in a promotion.
    Lost,
}

/// Checks by its head whether an answer may be returned.
///
/// With a `max_age` of zero or [`ReadRequirement::Primary`], the answer must reflect every write
/// that was committed before the call was sent. For this, the caller starts a term check after
/// sending the read, records its result in the tracker, and then calls this function.
/// [`AnswerCheck::TooOld`] can therefore become [`AnswerCheck::Acceptable`] after another term
/// check. A `max_age` above zero limits the age at `now` for every requirement.
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
    // The term check can take longer than the age that the kind of read allows.
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
