//! Reads of a session in random interleavings of writes, replication, promotions, routing decisions
//! and delayed observations.

mod support;

use std::time::Duration;

use heatherhollow_routing::AnswerCheck;
use heatherhollow_routing::AnswerHead;
use heatherhollow_routing::RouteChoice;
use heatherhollow_routing::RoutePolicy;
use heatherhollow_routing::RouteQuery;
use heatherhollow_routing::TargetView;
use heatherhollow_routing::check_answer;
use heatherhollow_routing::choose_route;
use heatherhollow_session::ReadRequirement;
use heatherhollow_session::SessionToken;
use heatherhollow_types::GroupName;
use heatherhollow_types::GroupPosition;
use heatherhollow_types::TermNumber;

use support::assert_caught;
use support::assert_holds;
use support::group::CorrectObserver;
use support::group::SimGroup;
use support::group::WriteRecord;
use support::ms;
use support::view;

/// Rules of the read path; faulty variants override some of them.
trait ReadRule {
    const RECORDS_UNKNOWN: bool = true;
    const SETTLES_CONFIRMED_ONLY: bool = true;
    fn check(
        group: &SimGroup,
        head: &AnswerHead,
        need: ReadRequirement,
        max_age: Duration,
    ) -> AnswerCheck {
        check_answer(head, need, max_age, &group.tracker, group.now)
    }
}

struct CorrectRead;

impl ReadRule for CorrectRead {}

/// Faulty: checks only the age of an answer and not the position of the session.
struct ChecksAgeOnly;

impl ReadRule for ChecksAgeOnly {
    fn check(
        group: &SimGroup,
        head: &AnswerHead,
        _: ReadRequirement,
        max_age: Duration,
    ) -> AnswerCheck {
        check_answer(
            head,
            ReadRequirement::None,
            max_age,
            &group.tracker,
            group.now,
        )
    }
}

/// Faulty: accepts the answer of any target that was a primary as the current state.
struct TrustsAnyPrimary;

impl ReadRule for TrustsAnyPrimary {
    fn check(
        group: &SimGroup,
        head: &AnswerHead,
        need: ReadRequirement,
        max_age: Duration,
    ) -> AnswerCheck {
        if head.primary_term.is_some() {
            return AnswerCheck::Acceptable { age_bound: ms(0) };
        }
        check_answer(head, need, max_age, &group.tracker, group.now)
    }
}

/// Faulty: does not record writes with an unknown outcome in the session.
struct DropsUnknown;

impl ReadRule for DropsUnknown {
    const RECORDS_UNKNOWN: bool = false;
}

/// Faulty: settles unknown writes by positions that are not confirmed and can be lost.
struct SettlesUnconfirmed;

impl ReadRule for SettlesUnconfirmed {
    const SETTLES_CONFIRMED_ONLY: bool = false;
}

/// Read in progress.
struct OpenRead {
    target: usize,
    head: AnswerHead,
    need: ReadRequirement,
    max_age: Duration,
    /// Acknowledged writes of the session, which the answer must reflect.
    acknowledged: Vec<WriteRecord>,
    /// Writes of unknown outcome that the primary had; the answer must reflect those that are not
    /// lost.
    unknown: Vec<WriteRecord>,
    returned: Option<Vec<WriteRecord>>,
}

struct SimSession {
    name: GroupName,
    token: SessionToken,
    /// Writes that have no outcome yet, with their positions.
    pending: Vec<(WriteRecord, GroupPosition)>,
    /// Acknowledged writes.
    acknowledged: Vec<WriteRecord>,
    /// Writes whose outcome was reported as unknown.
    unknown: Vec<WriteRecord>,
    reads: Vec<OpenRead>,
}

impl SimSession {
    fn write(&mut self, group: &mut SimGroup) {
        let target = group.known_primary.0;
        if let Some(record) = group.write(target) {
            self.pending
                .push((record, group.targets[target].position()));
        }
    }

    fn apply_outcomes(&mut self, group: &SimGroup) {
        for (record, position) in std::mem::take(&mut self.pending) {
            if group.committed[record.1].is_some() {
                self.token.record_write(&self.name, position);
                self.acknowledged.push(record);
            } else {
                self.pending.push((record, position));
            }
        }
    }

    fn expire_pending<R: ReadRule>(&mut self) {
        for (record, _) in self.pending.drain(..) {
            if R::RECORDS_UNKNOWN {
                self.token.record_unknown(&self.name, TermNumber(record.0));
            }
            self.unknown.push(record);
        }
    }

    fn read(&mut self, group: &SimGroup, max_age: Duration) {
        let (primary, term) = group.known_primary;
        let views = (0..3)
            .map(|i| TargetView {
                is_primary: usize::from(i) == primary,
                ..view(i)
            })
            .collect::<Vec<_>>();
        let query = RouteQuery {
            requirement: self.token.requirement(&self.name),
            max_age,
            max_wait: ms(250),
            deadline: group.now + ms(1_000),
        };
        let policy = RoutePolicy::default();
        let target = match choose_route(&query, &views, &group.tracker, &policy, group.now) {
            RouteChoice::SendTo(target) | RouteChoice::WaitFor { target, .. } => target.as_usize(),
            RouteChoice::Refuse { .. } => return,
        };
        let primary_log = &group.targets[group.true_primary()].log;
        let mut unknown = self.unknown.clone();
        unknown.retain(|record| primary_log.contains(record));
        self.reads.push(OpenRead {
            target,
            head: AnswerHead {
                position: GroupPosition::default(),
                asked_at: group.now,
                primary_term: (target == primary).then_some(TermNumber(term)),
            },
            need: query.requirement,
            max_age,
            acknowledged: self.acknowledged.clone(),
            unknown,
            returned: None,
        });
    }

    fn serve(&mut self, group: &SimGroup) {
        for read in &mut self.reads {
            let target = &group.targets[read.target];
            if read.returned.is_none() {
                read.returned = Some(target.log.clone());
                read.head.position = target.position();
            }
        }
    }

    /// Checks the answers that have arrived; returns whether the accepted ones are correct.
    fn check_answers<R: ReadRule>(&mut self, group: &SimGroup) -> bool {
        let mut is_right = true;
        for read in std::mem::take(&mut self.reads) {
            let Some(returned) = &read.returned else {
                self.reads.push(read);
                continue;
            };
            match R::check(group, &read.head, read.need, read.max_age) {
                AnswerCheck::Acceptable { age_bound } => {
                    let log = &group.targets[group.true_primary()].log;
                    let kept = read.unknown.iter().filter(|&record| log.contains(record));
                    let mut wanted = read.acknowledged.iter().chain(kept);
                    is_right &= wanted.all(|record| returned.contains(record));
                    let max_age = if read.max_age.is_zero() {
                        group.now - read.head.asked_at
                    } else {
                        read.max_age
                    };
                    let limit = age_bound.min(max_age);
                    is_right &= group
                        .first_missing(returned)
                        .is_none_or(|time| group.now - time <= limit);
                    let last = returned.last().map(|record| group.committed[record.1]);
                    if !R::SETTLES_CONFIRMED_ONLY || last.flatten().is_some() {
                        self.token.settle_unknown(&self.name, read.head.position);
                    }
                }
                AnswerCheck::Lost => {
                    if let ReadRequirement::AtLeast(lost) = read.need {
                        self.token.record_lost_position(&self.name, lost);
                    }
                }
                // The caller checks the answer again after another term check.
                AnswerCheck::TooOld => self.reads.push(read),
                AnswerCheck::Behind => {}
            }
        }
        is_right
    }
}

fn session_sees_its_writes<R: ReadRule>(steps: Vec<(u8, u8)>) -> bool {
    let mut group = SimGroup::new();
    let mut session = SimSession {
        name: "willow-ledger".parse().unwrap(),
        token: SessionToken::default(),
        pending: Vec::new(),
        acknowledged: Vec::new(),
        unknown: Vec::new(),
        reads: Vec::new(),
    };
    steps.into_iter().all(|(kind, pick)| {
        // A promotion takes time, so a term check and a read on its two sides never have equal
        // times.
        group.now = group.now + Duration::from_micros(1);
        match kind {
            0..=23 => session.write(&mut group),
            24..=31 => session.expire_pending::<R>(),
            32..=63 => session.read(&group, ms([0, 20, 1_000, 1_000][usize::from(pick) % 4])),
            64..=95 => session.serve(&group),
            96..=119 => return session.check_answers::<R>(&group),
            120..=127 => group.observe_all::<CorrectObserver>(),
            _ => group.step::<CorrectObserver>(kind, pick),
        }
        session.apply_outcomes(&group);
        true
    })
}

/// Guards against an answer that lacks a write of its session, or that is older than its age bound
/// or the maximum age of its kind of read.
#[test]
fn session_reads_its_own_writes() {
    assert_holds(session_sees_its_writes::<CorrectRead> as fn(_) -> _);
    assert_caught(session_sees_its_writes::<ChecksAgeOnly> as fn(_) -> _);
    assert_caught(session_sees_its_writes::<TrustsAnyPrimary> as fn(_) -> _);
    assert_caught(session_sees_its_writes::<DropsUnknown> as fn(_) -> _);
}

/// Guards against an unknown write that was settled by an unconfirmed record of a later term, and
/// that reappears when this record is lost with its primary. Random steps rarely reach this state,
/// so the steps are fixed; they were found by a long random run.
#[test]
fn unknown_write_is_settled_by_a_confirmed_position() {
    let steps = vec![
        (0, 0),   // a write, which target 1 receives
        (141, 1), //
        (0, 0),   // a write that only target 0 has and whose outcome is unknown
        (24, 0),
        (219, 0), // target 0 is cut off, target 1 is promoted and read after another write
        (120, 0),
        (32, 0),
        (0, 0),
        (64, 0),
        (155, 0),
        (120, 0),
        (96, 0),
        (155, 1), // target 1 is cut off, target 0 is promoted; a read goes to target 1
        (32, 1),
        (64, 0),
        (96, 0),
    ];
    assert!(session_sees_its_writes::<CorrectRead>(steps.clone()));
    assert!(!session_sees_its_writes::<SettlesUnconfirmed>(steps));
}
