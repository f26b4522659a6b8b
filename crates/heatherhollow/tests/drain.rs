//! Drain of a target while a write runs.

mod support;

use std::thread;

use crate::support::ProxyProcess;

/// Guards against a drain that cuts a write. The write has reached the primary and waits for its
/// confirmation; the drained target is a replica.
#[test]
fn drain_of_a_target_cuts_no_write() {
    let proxy = ProxyProcess::start();
    let (status, end) = thread::scope(|scope| {
        let write = scope.spawn(|| proxy.call("write", "slow 1500 put lane-7 taken"));
        proxy.wait_for_status("the running write", |status| status["open"]["answers"] == 1);
        let drained = proxy.run_tool(&["drain", "target", "demo.bookings", "bookings-3"]);
        assert_eq!(drained.status.code(), 0, "{drained:?}");
        write.join().expect("no panic")
    });
    assert_eq!((status, &end["outcome"]), (200, &"done".into()), "{end}");
}
