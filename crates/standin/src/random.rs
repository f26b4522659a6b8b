//! A small seeded generator (SplitMix64).

use std::time::Duration;

#[derive(Debug)]
pub(crate) struct RandomSource {
    state: u64,
}

impl RandomSource {
    pub(crate) fn new(seed: u64) -> Self {
        Self { state: seed }
    }

    pub(crate) fn next(&mut self) -> u64 {
        self.state = self.state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.state;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    /// A span from zero up to and including `limit`.
    pub(crate) fn span_up_to(&mut self, limit: Duration) -> Duration {
        let micros = u64::try_from(limit.as_micros()).unwrap_or(u64::MAX - 1);
        Duration::from_micros(self.next() % (micros + 1))
    }
}
