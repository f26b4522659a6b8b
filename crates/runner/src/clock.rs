//! The clock for ticks, leases and ages of samples.

use rustix::time::ClockId;
use rustix::time::clock_gettime;

use heatherhollow_types::MonoTime;

/// Returns the time since the machine booted, including time in which it was suspended.
///
/// `CLOCK_MONOTONIC` stops while a machine is suspended, which would make leases and samples look
/// younger than they are; the time of day can jump.
pub fn now() -> MonoTime {
    let time = clock_gettime(ClockId::Boottime);
    let micros = time.tv_sec * 1_000_000 + time.tv_nsec / 1_000;
    MonoTime::from_micros(u64::try_from(micros).unwrap_or(0))
}
