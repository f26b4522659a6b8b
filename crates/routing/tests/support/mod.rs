//! Helpers for the property tests: case sizes, times, and views of targets.
#![allow(dead_code)] // each test program uses a part

pub mod group;

use std::time::Duration;

use quickcheck::Testable;

use heatherhollow_routing::TargetView;
use heatherhollow_types::MonoTime;
use heatherhollow_types::TargetIndex;

pub fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

pub fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Size parameter of the generated cases.
const SIZE: usize = 400;

/// Panics with the seed if the property does not hold.
pub fn assert_holds(property: impl Testable) {
    heatherhollow_properties::assert_holds(SIZE, property);
}

/// Panics if the property holds for a faulty variant.
pub fn assert_caught(property: impl Testable) {
    heatherhollow_properties::assert_caught(SIZE, property);
}

/// Returns an idle target in the region of the caller; index 0 is the primary.
pub fn view(index: u16) -> TargetView {
    TargetView {
        target: TargetIndex(index),
        is_primary: index == 0,
        is_leaving: false,
        is_suspected: false,
        is_remote: false,
        round_trip: ms(1),
        in_flight: 0,
        reads_in_flight: 0,
        slots: 3,
        statement_time: ms(2),
    }
}
