//! Proofs that the catalog is the newest: times at which the store had no newer version of it.
//!
//! A reader of the store gets a proof from each list and each watch response. A follower asks its
//! reader for the next proof and adds the time from the arrival of the request to the proof, the
//! lead, to the time at which it sent the request. No clocks are compared, and a frame that is
//! delayed only makes the follower's proof older.

use std::time::Duration;

use heatherhollow_gateway::REVOCATION_MARGIN;
use heatherhollow_types::MonoTime;

use crate::frames::FrameBody;
use crate::frames::ProofFrame;

/// Fraction of the revocation limit for which a watch waits at most, so that one late response does
/// not make the newest proof too old.
const WATCH_WAIT_FRACTION: f64 = 0.3;

/// Fraction of the revocation limit that the newest proof shall not exceed; 0.5 s before it is too
/// old at a limit of 5 s.
const TARGET_AGE_FRACTION: f64 = 0.6;

/// Fraction of the revocation limit for which a follower waits for an answer in any case: the wait
/// of a watch, and 0.3 s for the calls at a limit of 5 s.
const ANSWER_WAIT_FRACTION: f64 = 0.36;

/// Fraction of the revocation limit that the newest proof may be old while a reader is searched for.
/// At a limit of 5 s, 0.6 s are left then for two calls to the store, a list of the reader places and
/// a watch, also where the store takes 250 ms for each.
const SEARCH_AGE_FRACTION: f64 = 0.66;

/// Returns how long another reader may be searched for with a newest proof of this age; `None` if
/// that is too old.
pub fn search_time(limit: Duration, proof_age: Duration) -> Option<Duration> {
    let left = limit.mul_f64(SEARCH_AGE_FRACTION).saturating_sub(proof_age);
    (left > Duration::ZERO).then_some(left)
}

/// Returns whether the store has to be read now, as the newest proof is too old soon and no other
/// reader was found. Once it is too old, there is no hurry: others may have lost the store as well,
/// and must not all read it when it is back.
pub fn is_read_due(limit: Duration, proof_age: Duration) -> bool {
    let max_age = limit.saturating_sub(REVOCATION_MARGIN);
    proof_age >= limit.mul_f64(TARGET_AGE_FRACTION) && proof_age <= max_age
}

/// Returns the longest time for which a watch waits with this revocation limit.
pub fn max_watch_wait(limit: Duration) -> Duration {
    limit.mul_f64(WATCH_WAIT_FRACTION)
}

/// Shortest wait of a watch that is sent for a proof.
///
/// The store answers it about as fast as other calls.
const MIN_WATCH_WAIT: Duration = Duration::from_millis(50);

/// Returns how long the next watch of a reader waits, so that its proof comes before the newest one
/// is too old: the newest one may be older than a watch if changes came late, or there may be none,
/// as entries were only copied. `call_time` is how long a call takes beside its wait.
pub fn next_watch_wait(
    usual_wait: Duration,
    limit: Duration,
    proof_age: Option<Duration>,
    call_time: Duration,
) -> Duration {
    let left = match proof_age {
        Some(age) => limit.mul_f64(TARGET_AGE_FRACTION).saturating_sub(age),
        None => Duration::ZERO,
    };
    let wait = left.saturating_sub(call_time);
    // The store takes whole milliseconds, and a watch has to wait as long as its proof assumes.
    let wait = Duration::from_millis(u64::try_from(wait.as_millis()).unwrap_or(u64::MAX));
    wait.max(MIN_WATCH_WAIT).min(usual_wait)
}

/// Returns the time that the response to a watch proves.
///
/// The store sent what it had when the request arrived. Without events after the whole wait, it also
/// had nothing newer at the end of the wait.
pub fn watch_proof(
    sent_at: MonoTime,
    received_at: MonoTime,
    wait: Duration,
    has_events: bool,
) -> MonoTime {
    if has_events || received_at.since(sent_at) < wait {
        sent_at
    } else {
        sent_at + wait
    }
}

/// Returns the answer of a reader to a request that arrived at a time.
pub fn proof_frame(number: u64, arrived_at: MonoTime, proved_at: MonoTime) -> ProofFrame {
    let lead = proved_at.as_micros().wrapping_sub(arrived_at.as_micros());
    ProofFrame {
        number,
        lead_micros: lead.cast_signed(),
    }
}

/// A follower's request for the next proof of its reader; one is in progress at a time.
#[derive(Debug)]
pub struct ProofRequest {
    number: u64,
    sent_at: MonoTime,
    limit: Duration,
    /// Time at which the reader counts as lost without an answer; `None` until it sent entries.
    due_at: Option<MonoTime>,
}

impl ProofRequest {
    /// Creates the first request on a link.
    pub fn new(limit: Duration, now: MonoTime) -> Self {
        Self {
            number: 1,
            sent_at: now,
            limit,
            due_at: None,
        }
    }

    /// Returns the frame of the request.
    pub fn frame(&self) -> FrameBody {
        FrameBody::ProofRequest(self.number)
    }

    /// Records that the reader has entries, so that proofs are expected from now on.
    pub fn expect_answer(&mut self, now: MonoTime) {
        let due_at = now + self.limit.mul_f64(ANSWER_WAIT_FRACTION);
        self.due_at.get_or_insert(due_at);
    }

    /// Returns the time that an answer proves, and makes the next request the one in progress;
    /// `None` if the answer belongs to another request.
    pub fn handle_answer(&mut self, answer: &ProofFrame, now: MonoTime) -> Option<MonoTime> {
        if answer.number != self.number {
            return None;
        }
        let micros = self.sent_at.as_micros();
        let proved_at = MonoTime::from_micros(micros.saturating_add_signed(answer.lead_micros));
        let proved_at = proved_at.min(now);
        self.number += 1;
        self.sent_at = now;
        let leave_at = proved_at + self.limit.mul_f64(TARGET_AGE_FRACTION);
        self.due_at = Some(leave_at.max(now + self.limit.mul_f64(ANSWER_WAIT_FRACTION)));
        Some(proved_at)
    }

    /// Returns the time until an answer is overdue; `None` if none is expected yet.
    pub fn time_left(&self, now: MonoTime) -> Option<Duration> {
        self.due_at.map(|due_at| due_at.since(now))
    }
}
