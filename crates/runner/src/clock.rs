//! Time for decisions.

use rustix::time::ClockId;
use rustix::time::clock_gettime;

use heatherhollow_types::MonoTime;

/// Time since the start of the machine, suspensions included.
///
/// The steady clock stands still while a machine is suspended, and would let leases and samples look
/// younger than they are; the time of day jumps.
pub fn now() -> MonoTime {
    let time = clock_gettime(ClockId::Boottime);
    let micros = time.tv_sec * 1_000_000 + time.tv_nsec / 1_000;
    MonoTime::from_micros(u64::try_from(micros).unwrap_or(0))
}
