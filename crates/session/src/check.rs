//! Comparison of a read's requirement with the log of a target.

use heatherhollow_types::GroupPosition;
use heatherhollow_types::LogPosition;
use heatherhollow_types::TermHistory;

use crate::token::ReadRequirement;

/// Result of comparing the position that a read requires with the log of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PositionCheck {
    /// The log contains the position.
    Satisfied,
    /// The log does not contain the position yet.
    Behind,
    /// The log has reached the same or a later term and will never contain the position.
    Lost,
}

/// Compares a requirement with a target's term history and the position it has applied.
///
/// Returns [`PositionCheck::Behind`] for [`ReadRequirement::Primary`], which no position satisfies.
///
/// The result `Lost` reflects the log of one target only. The former primary of a term whose writes
/// never reached a majority can cause it wrongly, so a session continues with
/// [`SessionToken::record_lost_position`], which sends its next reads to the primary.
///
/// [`SessionToken::record_lost_position`]: crate::SessionToken::record_lost_position
///
/// ```
/// use heatherhollow_session::{PositionCheck, ReadRequirement, check_position};
/// use heatherhollow_types::{GroupPosition, LogPosition, TermHistory, TermNumber};
/// let mut history = TermHistory::default();
/// history.push(TermNumber(1), LogPosition(1));
/// history.push(TermNumber(2), LogPosition(96));
/// let applied = GroupPosition::new(2, 120);
/// let check = |term, position| {
///     let need = ReadRequirement::AtLeast(GroupPosition::new(term, position));
///     check_position(&history, applied, need)
/// };
/// assert_eq!(check(1, 95), PositionCheck::Satisfied);
/// assert_eq!(check(1, 96), PositionCheck::Lost);
/// assert_eq!(check(2, 121), PositionCheck::Behind);
/// assert_eq!(check(3, 121), PositionCheck::Behind);
/// ```
pub fn check_position(
    history: &TermHistory,
    applied: GroupPosition,
    requirement: ReadRequirement,
) -> PositionCheck {
    let need = match requirement {
        ReadRequirement::None => return PositionCheck::Satisfied,
        ReadRequirement::Primary => return PositionCheck::Behind,
        ReadRequirement::AtLeast(need) => need,
    };
    if need.position == LogPosition(0) {
        return PositionCheck::Satisfied;
    }
    if history.contains(need) {
        return if applied >= need {
            PositionCheck::Satisfied
        } else {
            PositionCheck::Behind
        };
    }
    match history.last_term() {
        Some(last) if last >= need.term => PositionCheck::Lost,
        _ => PositionCheck::Behind,
    }
}
