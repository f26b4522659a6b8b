//! An instance as a possible holder: whether it is listed, answers, or is excluded.

use std::sync::Arc;
use std::time::Duration;

use heatherhollow_types::MonoTime;

/// Time without an answer after which an instance is not a holder, and after which answers no
/// longer show that an instance can be reached.
pub(crate) const SILENCE_LIMIT: Duration = Duration::from_secs(3);

/// Time after which an instance that is new, or answers again, becomes a holder. Within it, all
/// instances get to know the instance, so that they change the holder at about the same time.
pub(crate) const JOIN_DELAY: Duration = Duration::from_secs(3);

/// Time within which an answer is expected.
const ANSWER_LIMIT: Duration = Duration::from_millis(300);

/// Time without an answer after which an instance counts as one that does not answer; long enough
/// that one lost request, which is repeated, does not suffice.
const NO_CONTACT_LIMIT: Duration = Duration::from_secs(1);

/// Time between questions to an instance that does not answer.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Time between questions to an instance that answers but has yet to join, with few instances. It
/// may join earlier than it said, and until this is known, there are two holders.
const MIN_JOIN_INTERVAL: Duration = Duration::from_millis(100);

/// Time for which answers to requests do not end the exclusion of an instance that is leaving, as
/// it may answer meanwhile; about the time that it takes to stop and restart.
const LEAVING_TIME: Duration = Duration::from_secs(4);

/// Whether a peer answers the requests of the last seconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PeerContact {
    /// Not asked, or only just now.
    Unknown,
    /// It answered.
    Answers,
    /// It did not answer.
    Silent,
}

/// A listed instance.
#[derive(Debug)]
pub(crate) struct QuotaPeer {
    pub instance: Arc<str>,
    pub capacity: u32,
    /// Time from which the instance may be a holder.
    pub joins_at: MonoTime,
    /// Time since which the instance has not been listed; `None` while it is listed.
    pub unlisted_since: Option<MonoTime>,
    /// Whether the instance may be a holder, as of the last refresh of the table.
    pub is_eligible: bool,
    /// Time before which an answer to a request for tokens does not end the exclusion; `None` if
    /// not excluded.
    excluded_until: Option<MonoTime>,
    /// Time before which the instance is not asked again.
    retry_at: MonoTime,
    last_request: Option<MonoTime>,
    last_answer: Option<MonoTime>,
    /// Time of the first request since the last answer.
    unanswered_since: Option<MonoTime>,
}

impl QuotaPeer {
    pub fn new(instance: String, capacity: u32, joins_at: MonoTime) -> Self {
        Self {
            instance: instance.into(),
            capacity,
            joins_at,
            unlisted_since: None,
            is_eligible: false,
            excluded_until: None,
            retry_at: MonoTime::ZERO,
            last_request: None,
            last_answer: None,
            unanswered_since: None,
        }
    }

    /// Returns whether the instance has ended or is leaving.
    pub fn is_excluded(&self) -> bool {
        self.excluded_until.is_some()
    }

    /// Returns whether the instance has left requests unanswered for [`SILENCE_LIMIT`].
    pub fn is_silent(&self, now: MonoTime) -> bool {
        self.unanswered_since
            .is_some_and(|since| now.since(since) >= SILENCE_LIMIT)
    }

    /// Returns whether the instance answers, if neither ended nor leaving.
    pub fn is_available(&self, now: MonoTime) -> bool {
        !self.is_excluded() && !self.is_silent(now)
    }

    /// Returns what the requests of the last seconds tell about the instance. With `is_strict`,
    /// earlier answers do not count against a request that was not answered.
    pub fn contact(&self, is_strict: bool, now: MonoTime) -> PeerContact {
        let is_recent = |time: &MonoTime| now.since(*time) < SILENCE_LIMIT;
        if !self.last_request.as_ref().is_some_and(is_recent) {
            return PeerContact::Unknown;
        }
        let answers = self.last_answer.as_ref().is_some_and(is_recent);
        let is_unanswered =
            self.unanswered_since.is_some() && self.silence(now) >= NO_CONTACT_LIMIT;
        match (answers, is_unanswered) {
            (false, true) => PeerContact::Silent,
            (true, true) if is_strict => PeerContact::Silent,
            (true, _) => PeerContact::Answers,
            (false, false) => PeerContact::Unknown,
        }
    }

    /// Returns the time since the first request without an answer.
    pub fn silence(&self, now: MonoTime) -> Duration {
        let since = self.unanswered_since;
        since.map_or(Duration::ZERO, |since| now.since(since))
    }

    pub fn last_request(&self) -> Option<MonoTime> {
        self.last_request
    }

    /// Returns whether the instance was asked within a span.
    pub fn was_asked_within(&self, span: Duration, now: MonoTime) -> bool {
        self.last_request.is_some_and(|last| now.since(last) < span)
    }

    /// Returns whether the instance does not answer, or has yet to join, and is to be asked again.
    /// `count` is the number of instances, which all ask. An instance that has just started
    /// (`is_new`) asks more often: after restarts of all, instances differ most in whom they take
    /// for ended.
    pub fn is_retry_due(&self, count: usize, is_new: bool, now: MonoTime) -> bool {
        let is_overdue = |since: MonoTime| now.since(since) >= RETRY_INTERVAL;
        let is_suspect = self.is_excluded() || self.unanswered_since.is_some_and(is_overdue);
        let join_interval = Duration::from_millis(count as u64);
        let interval = match is_suspect && !is_new {
            true => RETRY_INTERVAL,
            false => join_interval.clamp(MIN_JOIN_INTERVAL, RETRY_INTERVAL),
        };
        (is_suspect || now < self.joins_at)
            && now >= self.retry_at
            && !self.was_asked_within(interval, now)
    }

    /// Returns whether the instance has left a request unanswered for longer than it should take.
    pub fn is_suspect(&self, now: MonoTime) -> bool {
        let since = self.unanswered_since;
        since.is_some_and(|since| now.since(since) >= ANSWER_LIMIT)
    }

    /// Counts the silence of the instance anew, and ends its exclusion: it was this instance that
    /// was cut off, and others kept using the instance as a holder, or use it again.
    pub fn restart_silence(&mut self, now: MonoTime) {
        if self.is_silent(now) {
            self.unanswered_since = Some(now);
        }
        self.excluded_until = self.excluded_until.filter(|until| now < *until);
    }

    pub fn record_request(&mut self, now: MonoTime) {
        self.last_request = Some(now);
        self.unanswered_since.get_or_insert(now);
    }

    /// Records an answer. An instance that was excluded or silent joins again after
    /// [`JOIN_DELAY`], or in `joins_in` as it says itself. Returns whether the time at which it joins changed.
    pub fn record_answer(&mut self, joins_in: Option<Duration>, now: MonoTime) -> bool {
        if joins_in.is_none() && self.excluded_until.is_some_and(|until| now < until) {
            return false;
        }
        let was_away = !self.is_available(now);
        let is_joining = was_away || now < self.joins_at;
        match joins_in {
            // An instance that is cut off from most others says so with such a time.
            Some(joins_in) if is_joining || !joins_in.is_zero() => self.joins_at = now + joins_in,
            None if was_away => self.joins_at = now + JOIN_DELAY,
            _ => {}
        }
        self.excluded_until = None;
        self.unanswered_since = None;
        self.last_answer = Some(now);
        is_joining || now < self.joins_at
    }

    /// Excludes an instance whose process is gone. This shows that its machine can be reached, so
    /// it no longer counts as a peer that does not answer.
    pub fn record_refused(&mut self, now: MonoTime) {
        self.exclude(RETRY_INTERVAL, now);
    }

    pub fn record_leaving(&mut self, now: MonoTime) {
        self.exclude(LEAVING_TIME, now);
    }

    fn exclude(&mut self, span: Duration, now: MonoTime) {
        let until = self.excluded_until.get_or_insert(now);
        *until = (*until).max(now + span);
        self.retry_at = now + RETRY_INTERVAL;
        self.forget_contact();
    }

    fn forget_contact(&mut self) {
        self.last_request = None;
        self.last_answer = None;
        self.unanswered_since = None;
    }
}
