//! Bounded list of positions that a primary reported.

use std::time::Duration;

use heatherhollow_types::GroupPosition;
use heatherhollow_types::MonoTime;
use heatherhollow_types::TermNumber;

/// Greatest number of samples that are kept.
pub const MAX_SAMPLES: usize = 256;

/// Greatest time between the oldest and the newest sample.
pub const MAX_SAMPLE_SPAN: Duration = Duration::from_secs(120);

/// Position that the primary of a term reported in an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct PositionSample {
    /// When it was asked.
    pub asked_at: MonoTime,
    /// When the same position was first reported in this term.
    pub first_asked_at: MonoTime,
    /// Term in which it was primary; the term of its last record may be lower.
    pub term: TermNumber,
    /// The end of its log.
    pub position: GroupPosition,
}

impl PositionSample {
    /// Whether every log with the position of `other` is shown to be at least as fresh by this one.
    fn supersedes(&self, other: &Self) -> bool {
        self.term == other.term
            && self.asked_at >= other.asked_at
            && self.position <= other.position
    }
}

/// Samples in the order in which they were asked for.
///
/// Samples that prove nothing beyond another one are not kept, so an idle group takes one entry. A
/// removed sample can only make a position look older, as the next older sample takes its place.
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

    /// Removes the sample whose gap is smallest in proportion to its age.
    ///
    /// This keeps the error of an age below a fixed part of the age, over the whole span.
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
