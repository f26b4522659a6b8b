//! Malformed input to each port of an instance that runs as a process, and odd entries in its store.

mod cluster;

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use heatherhollow_soak::SoakFault;
use heatherhollow_soak::odd_entries;

use cluster::Cluster;
use cluster::WAIT_LIMIT;
use cluster::run;

/// Number of random inputs that each port receives.
const RANDOM_INPUTS: usize = 30;

/// Time that a connection is kept open to read an answer.
const READ_TIMEOUT: Duration = Duration::from_millis(50);

/// Sends bytes on a new connection and waits briefly for an answer. The instance may close the
/// connection at any time.
async fn send_input(address: SocketAddr, bytes: &[u8]) {
    let mut stream = TcpStream::connect(address).await.unwrap();
    // The instance may reset the connection while the bytes are sent.
    let _is_sent = stream.write_all(bytes).await.is_ok();
    let mut answer = [0; 1024];
    let read = tokio::time::timeout(READ_TIMEOUT, stream.read(&mut answer));
    let _is_answered = read.await.is_ok();
}

/// Returns malformed inputs that have caused faults or are likely to, in addition to the random
/// inputs.
fn known_inputs() -> Vec<Vec<u8>> {
    let line = |text: &str| format!("{text}\r\n").into_bytes();
    vec![
        line(""),
        line("START"),
        line("START db-present\r\nQUERY"),
        line("START db-present\r\nQUERY q1"),
        line("START db-present\r\nQUERY q1 EXECUTE none"),
        // The targets check that each statement that reaches them runs with the values of its
        // session.
        line("START db-present\r\nQUERY set SET owner q1\r\nQUERY q1 READ x\nQUERY - STATUS"),
        line("START db-present\r\nQUERY q1 COMMIT"),
        line("START db-present\r\nSTART db-present"),
        vec![0xff; 4096],
        vec![b'a'; 3 << 20],
        // A frame whose length exceeds the limit of a link, and a frame that is shorter than its
        // length.
        [&[0xff; 4][..], &[0; 64]].concat(),
        [&[0, 0, 0, 9][..], &[8]].concat(),
        line("GET / HTTP/1.1\r\nContent-Length: 99999999999"),
    ]
}

/// Guards against malformed input that ends the process or affects other connections. The seed is
/// fixed, so that a failure can be reproduced.
#[test]
fn malformed_input_ends_no_process() {
    run(async {
        let mut cluster = Cluster::start("malformed", 2).await;
        cluster.wait_until_served(&[0, 1], "db-present").await;
        let instance = cluster.world.instance(0);
        let ports = [instance.front, instance.links, instance.status];
        let mut random = SmallRng::seed_from_u64(1);
        let mut inputs = known_inputs();
        for _ in 0..RANDOM_INPUTS {
            let length = random.random_range(1..600);
            let mut bytes = vec![0; length];
            random.fill(&mut bytes[..]);
            inputs.push(bytes);
        }
        for address in ports {
            for input in &inputs {
                send_input(address, input).await;
            }
        }
        cluster.wait_until_served(&[0, 1], "db-present").await;
        assert_eq!(cluster.count_events(0, "instance_started"), 1);
        cluster.stop().await;
    });
}

/// Guards against instances that end, or stop following the store, because of an odd entry among
/// those of the targets, and against a promotion that counts it. The entries come while instances
/// run, and are there when one starts.
#[test]
fn odd_entries_of_targets_stop_no_instance() {
    run(async {
        let mut cluster = Cluster::start("entries", 3).await;
        let all = [0, 1, 2];
        cluster.wait_until_served(&all, "db-present").await;
        for (i, value) in odd_entries().into_iter().enumerate() {
            let path = format!("servers/odd-{i}");
            let store = cluster.world.store();
            store.put(&path, Some(value.into_bytes()));
        }
        let kill = SoakFault::Kill(0);
        cluster.world.apply(kill, true).unwrap();
        // The process has to end before it can be started again.
        tokio::time::sleep(Duration::from_millis(500)).await;
        cluster.world.apply(kill, false).unwrap();
        cluster.world.add_database("db-new");
        cluster.wait_until_served(&all, "db-new").await;
        let primary = cluster.world.primary().unwrap();
        cluster
            .world
            .apply(SoakFault::Crash(primary), true)
            .unwrap();
        let started_at = Instant::now();
        while cluster.world.primary().is_none_or(|i| i == primary) {
            assert!(started_at.elapsed() < WAIT_LIMIT, "no target is promoted");
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        let starts = all.map(|i| cluster.count_events(i, "instance_started"));
        assert_eq!(starts, [2, 1, 1]);
        cluster.stop().await;
    });
}
