//! Bounded list of the log positions that primaries reported.

use std::time::Duration;

use heatherhollow_types::GroupPosition;
use heatherhollow_types::MonoTime;
use heatherhollow_types::TermNumber;

/// Maximum number of retained samples.
pub const MAX_SAMPLES: usize = 256;

/// Maximum time between the oldest and the newest sample.
pub const MAX_SAMPLE_SPAN: Duration = Duration::from_secs(120);

/// Log end that the primary of a term reported in an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct PositionSample {
    /// When the call was started.
    pub asked_at: MonoTime,
    /// Start of the earliest call that returned the same position in this term.
    pub first_asked_at: MonoTime,
    /// Term in which the target was primary; the term of its last record may be lower.
    pub term: TermNumber,
    /// Position of the last record of its log.
    pub position: GroupPosition,
}

impl PositionSample {
    /// Returns whether this sample proves at least the freshness that `other` proves, for every
    /// log.
    fn supersedes(&self, other: &Self) -> bool {
        self.term == other.term
            && self.asked_at >= other.asked_at
            && self.position <= other.position
    }
}

/// List of samples, sorted by the start of their calls.
///
/// A sample that proves nothing beyond another one is dropped, so an idle group takes one entry.
/// Removing a sample can only increase the age bound of a position, because the next older sample
/// then determines the bound.
#[derive(Debug, Clone, Default)]
pub(crate) struct SampleList {
    samples: Vec<PositionSample>,
}

impl SampleList {
    pub(crate) fn as_slice(&self) -> &[PositionSample] {
        &self.samples
    }

    pub(crate) fn retain(&mut self, is_kept: impl Fn(&PositionSample) -> bool) {
        self.samples.retain(is_kept);
    }

    pub(crate) fn insert(&mut self, mut sample: PositionSample) {
        if self.samples.iter().any(|old| old.supersedes(&sample)) {
            return;
        }
        let same =
            |old: &&PositionSample| old.term == sample.term && old.position == sample.position;
        if let Some(old) = self.samples.iter().find(same) {
            sample.first_asked_at = sample.first_asked_at.min(old.first_asked_at);
        }
        self.samples.retain(|old| !sample.supersedes(old));
        let i = self
            .samples
            .partition_point(|old| old.asked_at <= sample.asked_at);
        self.samples.insert(i, sample);
        if let Some(newest) = self.samples.last().map(|last| last.asked_at) {
            self.samples
                .retain(|old| newest - old.asked_at <= MAX_SAMPLE_SPAN);
        }
        if self.samples.len() > MAX_SAMPLES {
            self.evict_one();
        }
    }

    /// Removes the sample with the smallest ratio of the gap between its neighbours to its age.
    ///
    /// This keeps the error of an age below a fixed fraction of the age over the whole span.
    fn evict_one(&mut self) {
        let newest = self.samples[self.samples.len() - 1].asked_at;
        let relative_gap = |i: usize| {
            let gap = self.samples[i + 1].asked_at - self.samples[i - 1].asked_at;
            let age = newest - self.samples[i].asked_at + Duration::from_micros(1);
            gap.as_secs_f64() / age.as_secs_f64()
        };
        let smallest = (1..self.samples.len() - 1)
            .map(|i| (i, relative_gap(i)))
            .min_by(|a, b| a.1.total_cmp(&b.1));
        if let Some((i, _)) = smallest {
            self.samples.remove(i);
        }
    }
}
