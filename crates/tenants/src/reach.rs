//! Reach of an instance: how many of the listed ones answer it, and the share of the rates that it
//! may grant.
//!
//! The parts of a partition use shares that add up to the whole rate. A part that reaches more than
//! half lowers its share once the answers of the others are 3 s old; other parts wait 4 s before
//! they use theirs.

use std::time::Duration;

use heatherhollow_types::MonoTime;

use crate::peer::JOIN_DELAY;

/// Divisor of the part of the instances that may be missing without a change of the share, so that
/// single failures change nothing. A part that is smaller than this uses only its emergency share,
/// since the rest uses the whole rate.
const SMALL_PART_DIVISOR: usize = 8;

/// Time for which at least half of the instances have been silent before a part uses its share; one
/// second longer than the others take to lower theirs.
pub(crate) const PART_DELAY: Duration = Duration::from_secs(4);

/// Time for which the word of another instance on a partition counts; it is repeated each second.
const REPORT_LIFETIME: Duration = Duration::from_millis(1_500);

/// What the answers of the last seconds tell about the listed instances.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PeerReach {
    pub listed: usize,
    /// Instances that answered, and this one.
    pub answering: usize,
    pub silent: usize,
    /// Time for which at least half of the listed instances have been silent.
    pub silence: Option<Duration>,
}

impl PeerReach {
    /// Counts the instances. `silences` are the times for which others have not answered.
    pub fn new(listed: usize, answering: usize, mut silences: Vec<Duration>) -> Self {
        let half = listed.div_ceil(2).max(1);
        silences.sort_unstable_by(|a, b| b.cmp(a));
        Self {
            listed,
            answering,
            silent: silences.len(),
            silence: silences.get(half - 1).copied(),
        }
    }

    /// Returns the number of instances that answered or were silent.
    pub fn asked(&self) -> usize {
        self.answering + self.silent
    }

    /// Returns whether at most half of the instances that were asked answer.
    pub fn is_cut_off(&self) -> bool {
        2 * self.answering <= self.asked()
    }

    /// Returns whether so many are silent that all have to be asked.
    pub fn is_divided(&self) -> bool {
        self.silent > 0 && SMALL_PART_DIVISOR * self.silent >= self.asked()
    }

    /// Returns whether too few answer for a share of the rates.
    pub fn is_small(&self) -> bool {
        SMALL_PART_DIVISOR * self.answering < self.listed
    }

    /// Returns the share of the rates that corresponds to the reach. Instances of which nothing is
    /// known count as silent where at most half answers, and in proportion elsewhere.
    pub fn share(&self) -> f64 {
        let total = match self.is_cut_off() {
            true => self.listed,
            false => self.asked(),
        };
        let is_whole = SMALL_PART_DIVISOR * self.answering > (SMALL_PART_DIVISOR - 1) * total;
        match is_whole {
            true => 1.0,
            false => self.answering as f64 / total as f64,
        }
    }
}

/// Share of the rates that this instance grants as a holder. It is raised only after a delay, as
/// for an instance that joins: until then, the holders of other parts still use theirs.
#[derive(Debug)]
pub(crate) struct RateShare {
    pub present: f64,
    /// Time since which a higher share is possible, and that share.
    higher: Option<(MonoTime, f64)>,
}

impl RateShare {
    pub fn new(present: f64) -> Self {
        Self {
            present,
            higher: None,
        }
    }

    /// Lowers the share at once, or raises it if the higher one was possible for long enough.
    pub fn update(&mut self, target: f64, now: MonoTime) {
        if target <= self.present {
            *self = Self::new(target);
            return;
        }
        let since = match self.higher {
            Some((since, known)) if target <= known => since,
            _ => now,
        };
        self.higher = Some((since, target));
        if now.since(since) >= JOIN_DELAY {
            *self = Self::new(target);
        }
    }
}

/// What another instance of the same part said about the partition.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PartReport {
    since: MonoTime,
    heard: MonoTime,
}

impl PartReport {
    /// Merges a report of a silence into a known one.
    pub fn merge(known: Option<Self>, silence: Duration, now: MonoTime) -> Self {
        let since = MonoTime::ZERO + now.since(MonoTime::ZERO + silence);
        let known = known.filter(|known| known.is_fresh(now));
        Self {
            since: known.map_or(since, |known| known.since.min(since)),
            heard: now,
        }
    }

    fn is_fresh(&self, now: MonoTime) -> bool {
        now.since(self.heard) < REPORT_LIFETIME
    }

    /// Returns the time since which the partition exists, zero if the report is too old.
    pub fn silence(&self, now: MonoTime) -> Duration {
        match self.is_fresh(now) {
            true => now.since(self.since),
            false => Duration::ZERO,
        }
    }
}
