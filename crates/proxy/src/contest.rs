//! Detects that another instance uses the same permit.
//!
//! A target closes the older connection of a permit when a newer one names it. Two instances that both
//! take a permit for theirs would close each other's connections without end; one that finds its
//! connections closed early again and again leaves the permit to the other for a while.

use std::time::Duration;

use heatherhollow_types::MonoTime;
use heatherhollow_types::PermitNumber;

/// Age up to which a connection that the other end closes counts as taken over.
const EARLY_END_SPAN: Duration = Duration::from_secs(2);

/// Early ends in a row after which a permit is left to whoever else uses it. A single one may come from
/// a target that restarts.
const MAX_EARLY_ENDS: u32 = 2;

struct PermitHistory {
    permit: PermitNumber,
    opened_at: MonoTime,
    early_ends: u32,
}

/// Ends of the connections of a lane's permits.
#[derive(Default)]
pub(crate) struct PermitContest {
    histories: Vec<PermitHistory>,
    lost: Vec<PermitNumber>,
}

impl PermitContest {
    /// A connection was opened.
    pub(crate) fn note_open(&mut self, permit: PermitNumber, now: MonoTime) {
        match self
            .histories
            .iter_mut()
            .find(|history| history.permit == permit)
        {
            Some(history) => history.opened_at = now,
            None => {
                let history = PermitHistory {
                    permit,
                    opened_at: now,
                    early_ends: 0,
                };
                self.histories.push(history);
            }
        }
    }

    /// A connection was closed by the other end.
    pub(crate) fn note_end(&mut self, permit: PermitNumber, now: MonoTime) {
        let found = self
            .histories
            .iter_mut()
            .find(|history| history.permit == permit);
        let Some(history) = found else { return };
        if now.since(history.opened_at) > EARLY_END_SPAN {
            history.early_ends = 0;
            return;
        }
        history.early_ends += 1;
        if history.early_ends >= MAX_EARLY_ENDS {
            history.early_ends = 0;
            self.lost.push(permit);
        }
    }

    /// Permits that are used by another instance; each is returned once.
    pub(crate) fn take_lost(&mut self) -> Vec<PermitNumber> {
        std::mem::take(&mut self.lost)
    }
}
