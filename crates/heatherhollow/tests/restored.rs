//! Instances, run as processes, whose store comes back from a copy.
//!
//! Guards against what an instance takes for granted of the store from before: its own entries, the
//! leases under which it holds them, and the order of revisions.

mod cluster;

use std::time::Duration;
use std::time::Instant;

use heatherhollow_soak::SoakFault;

use cluster::Cluster;
use cluster::WAIT_LIMIT;
use cluster::run;

/// Entry of the only instance.
const MEMBER_PATH: &str = "heatherhollow/instances/instance-0";

/// Waits until a condition holds; panics with `failure` after [`WAIT_LIMIT`].
async fn wait_until(failure: &str, mut is_met: impl FnMut() -> bool) {
    let started_at = Instant::now();
    while !is_met() {
        assert!(started_at.elapsed() < WAIT_LIMIT, "{failure}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Guards against an instance that renews a lease which the copy contains, although the entry that
/// the lease was for was written after the copy was made. Others then never see the instance.
#[test]
fn lost_entry_is_written_again_though_its_lease_is_kept() {
    run(async {
        let cluster = Cluster::start("lease", 1).await;
        let store = cluster.world.store();
        let is_written_since =
            |start: Instant| store.renewed_at(MEMBER_PATH).is_some_and(|at| at >= start);
        let started_at = Instant::now();
        wait_until("the instance has no entry", || is_written_since(started_at)).await;
        let copy = store.copy().without(MEMBER_PATH);
        let restored_at = Instant::now();
        store.restore(&copy);
        wait_until("the entry is not written again", || {
            is_written_since(restored_at)
        })
        .await;
        cluster.stop().await;
    });
}

/// Guards against an instance that starts without the sizes of the groups, which would then take
/// its list of targets for whole groups. The size outlasts a copy of the store that lacks it.
#[test]
fn instance_that_starts_reads_the_stored_size() {
    run(async {
        let mut cluster = Cluster::start("size", 2).await;
        let copy = cluster.world.store().copy();
        let is_stored = |cluster: &Cluster, count: usize| {
            let stored = |i| cluster.count_events(i, "group_size_stored group=");
            stored(0) + stored(1) >= count
        };
        wait_until("no size is stored", || is_stored(&cluster, 1)).await;
        cluster.world.store().restore(&copy);
        wait_until("the size is not stored again", || is_stored(&cluster, 2)).await;
        let kill = SoakFault::Kill(0);
        cluster.world.apply(kill, true).unwrap();
        // The process has to end before it can be started again.
        tokio::time::sleep(Duration::from_millis(500)).await;
        cluster.world.apply(kill, false).unwrap();
        wait_until("the instance does not read the size", || {
            let log = cluster.world.log(0).unwrap();
            let started_at = log.rfind("event=instance_started").unwrap_or_default();
            log[started_at..].contains("sizes=1")
        })
        .await;
        cluster.stop().await;
    });
}

/// Guards against a promotion with a lower token than an earlier one, because the store has gone
/// back to lower revisions in between. The checker of the cluster compares the tokens.
#[test]
fn promotion_tokens_increase_over_a_restore() {
    run(async {
        let mut cluster = Cluster::start("token", 3).await;
        let present = [0, 1, 2];
        cluster.wait_until_served(&present, "db-present").await;
        tokio::time::sleep(Duration::from_millis(1_500)).await;
        let copy = cluster.world.store().copy();
        cluster.world.write_entries("lost", 100);
        for _ in 0..2 {
            let primary = cluster.world.primary().unwrap();
            let crash = SoakFault::Crash(primary);
            cluster.world.apply(crash, true).unwrap();
            wait_until("no target is promoted", || {
                cluster.world.primary().is_some_and(|i| i != primary)
            })
            .await;
            cluster.world.apply(crash, false).unwrap();
            tokio::time::sleep(Duration::from_millis(3_000)).await;
            cluster.world.store().restore(&copy);
        }
        cluster.stop().await;
    });
}
