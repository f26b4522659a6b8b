//! Malformed input from outside on each port of an instance, as processes.

mod cluster;

use std::net::SocketAddr;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use cluster::Cluster;
use cluster::run;

/// Connections with random input to each port.
const CONNECTIONS: usize = 30;

/// Time that a connection is left open for an answer.
const READ_TIME: Duration = Duration::from_millis(50);

/// Sends bytes and reads what comes for a moment; the instance may close the connection at any time.
async fn send(address: SocketAddr, bytes: &[u8]) {
    let mut stream = TcpStream::connect(address).await.unwrap();
    // A reset while the bytes are sent is an answer as good as any.
    let _is_sent = stream.write_all(bytes).await.is_ok();
    let mut answer = [0; 1024];
    let read = tokio::time::timeout(READ_TIME, stream.read(&mut answer));
    let _is_answered = read.await.is_ok();
}

/// Inputs that once were or could be a fault of their own, beside random ones.
fn known_inputs() -> Vec<Vec<u8>> {
    let line = |text: &str| format!("{text}\r\n").into_bytes();
    vec![
        line(""),
        line("START"),
        line("START db-present\r\nQUERY"),
        line("START db-present\r\nQUERY q1"),
        line("START db-present\r\nQUERY q1 EXECUTE none"),
        // The targets check that a statement that does reach them runs with the values of its session.
        line("START db-present\r\nQUERY set SET owner q1\r\nQUERY q1 READ x\nQUERY - STATUS"),
        line("START db-present\r\nQUERY q1 COMMIT"),
        line("START db-present\r\nSTART db-present"),
        vec![0xff; 4096],
        vec![b'a'; 3 << 20],
        // A frame that claims more than a link takes, and one that ends early.
        [&[0xff; 4][..], &[0; 64]].concat(),
        [&[0, 0, 0, 9][..], &[8]].concat(),
        line("GET / HTTP/1.1\r\nContent-Length: 99999999999"),
    ]
}

/// One malformed message must cost at most its own connection. The seed is fixed, so that a failure repeats.
#[test]
fn malformed_input_ends_no_process() {
    run(async {
        let mut cluster = Cluster::start("malformed", 2).await;
        cluster.wait_for(&[0, 1], "db-present").await;
        let instance = cluster.world.instance(0);
        let ports = [instance.front, instance.links, instance.status];
        let mut random = SmallRng::seed_from_u64(1);
        let mut inputs = known_inputs();
        for _ in 0..CONNECTIONS {
            let length = random.random_range(1..600);
            let mut bytes = vec![0; length];
            random.fill(&mut bytes[..]);
            inputs.push(bytes);
        }
        for address in ports {
            for input in &inputs {
                send(address, input).await;
            }
        }
        cluster.wait_for(&[0, 1], "db-present").await;
        assert_eq!(cluster.count(0, "instance_started"), 1);
        cluster.stop().await;
    });
}
