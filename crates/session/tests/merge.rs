//! Algebraic laws of the merge of session tokens.

mod support;

use heatherhollow_session::ReadRequirement;
use heatherhollow_session::SessionToken;
use heatherhollow_types::GroupName;

use support::TokenOps;
use support::assert_caught;
use support::assert_holds;
use support::group;
use support::rebuild;
use support::token_of;

trait MergeRule {
    fn merge(left: &SessionToken, right: &SessionToken) -> SessionToken;
}

struct RealMerge;

impl MergeRule for RealMerge {
    fn merge(left: &SessionToken, right: &SessionToken) -> SessionToken {
        let mut merged = left.clone();
        merged.merge(right);
        merged
    }
}

/// Broken: a group's entry of the right token replaces that of the left one.
struct RightWins;

impl MergeRule for RightWins {
    fn merge(left: &SessionToken, right: &SessionToken) -> SessionToken {
        let is_new = |name: &GroupName| right.entries().iter().all(|entry| entry.group != *name);
        let kept = left.entries().iter().filter(|entry| is_new(&entry.group));
        rebuild(
            kept.chain(right.entries())
                .map(|entry| (&entry.group, entry.position, entry.uncertain)),
        )
    }
}

/// Broken: an entry without a mark in one branch removes the mark of the other branch.
struct CertainWins;

impl MergeRule for CertainWins {
    fn merge(left: &SessionToken, right: &SessionToken) -> SessionToken {
        let mut merged = RealMerge::merge(left, right);
        for entry in left.entries().iter().chain(right.entries()) {
            if entry.uncertain.is_none() {
                merged.clear_unknown(&entry.group, entry.position);
            }
        }
        merged
    }
}

/// Broken: keeps the entries with the highest positions and does not set the overflow flag.
struct HighestStay;

impl MergeRule for HighestStay {
    fn merge(left: &SessionToken, right: &SessionToken) -> SessionToken {
        let mut entries = left
            .entries()
            .iter()
            .chain(right.entries())
            .collect::<Vec<_>>();
        entries.sort_by_key(|entry| std::cmp::Reverse(entry.position));
        entries.truncate(16);
        rebuild(
            entries
                .iter()
                .map(|entry| (&entry.group, entry.position, entry.uncertain)),
        )
    }
}

/// Broken: doubles positions, like a sum instead of a maximum.
struct AddsUp;

impl MergeRule for AddsUp {
    fn merge(left: &SessionToken, right: &SessionToken) -> SessionToken {
        let mut merged = RealMerge::merge(left, right);
        for entry in left.entries() {
            let mut position = entry.position;
            position.position.0 *= 2;
            merged.record_write(&entry.group, position);
        }
        merged
    }
}

fn is_commutative<M: MergeRule>(a: TokenOps, b: TokenOps) -> bool {
    let (a, b) = (token_of(&a), token_of(&b));
    M::merge(&a, &b) == M::merge(&b, &a)
}

fn is_associative<M: MergeRule>(a: TokenOps, b: TokenOps, c: TokenOps) -> bool {
    let (a, b, c) = (token_of(&a), token_of(&b), token_of(&c));
    M::merge(&M::merge(&a, &b), &c) == M::merge(&a, &M::merge(&b, &c))
}

fn is_idempotent<M: MergeRule>(a: TokenOps, b: TokenOps) -> bool {
    let (a, b) = (token_of(&a), token_of(&b));
    let merged = M::merge(&a, &b);
    M::merge(&a, &a) == a && M::merge(&merged, &b) == merged
}

/// Returns whether each state that satisfies the requirement of `merged` also satisfies that of
/// `token`.
fn is_at_least(merged: &SessionToken, token: &SessionToken, name: &GroupName) -> bool {
    match (merged.requirement(name), token.requirement(name)) {
        (ReadRequirement::Primary, _) | (_, ReadRequirement::None) => true,
        (ReadRequirement::AtLeast(more), ReadRequirement::AtLeast(less)) => more >= less,
        // A position of a later term replaces a mark, but not a dropped entry.
        (ReadRequirement::AtLeast(more), ReadRequirement::Primary) => {
            let entry = token.entries().iter().find(|entry| entry.group == *name);
            match entry.and_then(|entry| entry.uncertain) {
                Some(mark) => more.term > mark,
                None => was_never_dropped(token, name),
            }
        }
        (ReadRequirement::None, _) => false,
    }
}

/// Returns whether the group sorts before the last entry, so that its entry cannot have been
/// dropped.
fn was_never_dropped(token: &SessionToken, name: &GroupName) -> bool {
    token
        .entries()
        .last()
        .is_some_and(|last| *name < last.group)
}

fn keeps_requirements<M: MergeRule>(a: TokenOps, b: TokenOps) -> bool {
    let (a, b) = (token_of(&a), token_of(&b));
    let merged = M::merge(&a, &b);
    (0..24)
        .map(group)
        .all(|name| is_at_least(&merged, &a, &name) && is_at_least(&merged, &b, &name))
}

/// Guards against tokens that depend on which of two parallel answers arrives first.
#[test]
fn merge_is_commutative() {
    assert_holds(is_commutative::<RealMerge> as fn(_, _) -> _);
    assert_caught(is_commutative::<RightWins> as fn(_, _) -> _);
}

/// Guards against tokens that depend on the order in which more than two answers are merged.
#[test]
fn merge_is_associative() {
    assert_holds(is_associative::<RealMerge> as fn(_, _, _) -> _);
    assert_caught(is_associative::<HighestStay> as fn(_, _, _) -> _);
}

/// Guards against a token that changes when the same answer is merged twice.
#[test]
fn merge_is_idempotent() {
    assert_holds(is_idempotent::<RealMerge> as fn(_, _) -> _);
    assert_caught(is_idempotent::<AddsUp> as fn(_, _) -> _);
}

/// Guards against a merge after which a session can miss one of its writes.
#[test]
fn merge_keeps_the_requirements_of_both() {
    assert_holds(keeps_requirements::<RealMerge> as fn(_, _) -> _);
    assert_caught(keeps_requirements::<CertainWins> as fn(_, _) -> _);
    assert_caught(keeps_requirements::<HighestStay> as fn(_, _) -> _);
}

/// Plays writes of one session in order, with removals of undeclared groups in between.
fn keeps_writes<const IS_FLAG_KEPT: bool>(ops: TokenOps) -> bool {
    let mut token = SessionToken::default();
    let mut newest = [0; 24];
    for (i, &(number, op, _, _)) in ops.iter().enumerate() {
        let name = group(number);
        if op % 8 == 0 {
            token.retain_groups(|other| *other != name);
            newest[usize::from(number % 24)] = 0;
            continue;
        }
        let position = heatherhollow_types::GroupPosition::new(1, i as u64 + 1);
        newest[usize::from(number % 24)] = position.position.0;
        token.record_write(&name, position);
        if !IS_FLAG_KEPT {
            let entries = token.entries().iter();
            token = rebuild(entries.map(|entry| (&entry.group, entry.position, entry.uncertain)));
        }
    }
    (0..24).all(|number| match token.requirement(&group(number)) {
        ReadRequirement::None => newest[usize::from(number)] == 0,
        ReadRequirement::AtLeast(need) => need.position.0 >= newest[usize::from(number)],
        ReadRequirement::Primary => true,
    })
}

/// Guards against a write that is lost when the token has too many groups.
#[test]
fn no_write_is_forgotten_when_the_token_overflows() {
    assert_holds(keeps_writes::<true> as fn(_) -> _);
    assert_caught(keeps_writes::<false> as fn(_) -> _);
}
