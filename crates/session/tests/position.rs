//! Comparison of `check_position` with a model that stores all log records.

mod support;

use heatherhollow_session::PositionCheck;
use heatherhollow_session::ReadRequirement;
use heatherhollow_session::check_position;
use heatherhollow_types::GroupPosition;
use heatherhollow_types::LogPosition;
use heatherhollow_types::TermHistory;
use heatherhollow_types::TermNumber;

use support::assert_caught;
use support::assert_holds;

type PositionRule = fn(&TermHistory, GroupPosition, ReadRequirement) -> PositionCheck;

/// Broken: ignores the terms of positions.
fn ignores_terms(_: &TermHistory, applied: GroupPosition, need: ReadRequirement) -> PositionCheck {
    match need {
        ReadRequirement::AtLeast(need) if applied.position < need.position => PositionCheck::Behind,
        _ => PositionCheck::Satisfied,
    }
}

/// Compares the check with a model for all written positions. Each element of `terms` has the
/// number of records that are written in a term, and how many of these are lost in the next
/// promotion; `log` is the log of the last primary.
fn agrees_with_log(check: PositionRule, terms: &[(u8, u8)], applied: u8) -> bool {
    let mut log = Vec::new();
    let mut written = Vec::new();
    let mut history = TermHistory::default();
    for (i, &(count, lost)) in terms.iter().enumerate() {
        let term = i as u64 + 1;
        history.push(TermNumber(term), LogPosition(log.len() as u64 + 1));
        for _ in 0..count % 8 {
            let record = GroupPosition::new(term, log.len() as u64 + 1);
            log.push(record);
            written.push(record);
        }
        if i + 1 < terms.len() {
            log.truncate(log.len() - usize::from(lost.min(count % 8) % 8));
            history.truncate(LogPosition(log.len() as u64));
        }
    }
    let count = usize::from(applied) % (log.len() + 1);
    let applied = count.checked_sub(1).map(|i| log[i]).unwrap_or_default();
    written.iter().all(|&need| {
        let wanted = if log[..count].contains(&need) {
            PositionCheck::Satisfied
        } else if log.contains(&need) {
            PositionCheck::Behind
        } else {
            PositionCheck::Lost
        };
        check(&history, applied, ReadRequirement::AtLeast(need)) == wanted
    })
}

fn real_check(terms: Vec<(u8, u8)>, applied: u8) -> bool {
    agrees_with_log(check_position, &terms, applied)
}

fn broken_check(terms: Vec<(u8, u8)>, applied: u8) -> bool {
    agrees_with_log(ignores_terms, &terms, applied)
}

/// Guards against a read that misses a write which was lost in a promotion, or waits for it for
/// ever.
#[test]
fn check_detects_positions_lost_in_a_promotion() {
    assert_holds(real_check as fn(_, _) -> _);
    assert_caught(broken_check as fn(_, _) -> _);
}
