//! A planned stop of an instance under load, as processes.

mod cluster;

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use tokio::io::AsyncBufReadExt;
use tokio::io::AsyncWriteExt;
use tokio::io::BufReader;
use tokio::net::TcpStream;

use heatherhollow_soak::SoakFault;

use cluster::Cluster;
use cluster::PATIENCE;
use cluster::run;

/// Sessions that write without a pause.
const SESSIONS: usize = 12;

/// Time before the stop.
const WARM_TIME: Duration = Duration::from_millis(800);

/// Time after which a request has certainly been read by its instance; the operators' bound for requests
/// that a planned stop cuts.
const READ_SLACK: Duration = Duration::from_millis(200);

/// What a session saw.
struct SessionEnd {
    /// Ids of acknowledged writes, each with the time of its answer.
    served: Vec<(String, Instant)>,
    /// The write without an answer at the end, with the time for which it had waited.
    cut: Option<(String, Duration)>,
}

/// Writes until the session ends.
async fn write_on(front: SocketAddr, number: usize) -> SessionEnd {
    let (reader, mut writer) = TcpStream::connect(front).await.unwrap().into_split();
    let mut lines = BufReader::new(reader).lines();
    writer.write_all(b"START db-present\r\n").await.unwrap();
    // The targets check that each statement runs with the values of its session.
    let owner = format!("QUERY set SET owner s{number}\r\n");
    writer.write_all(owner.as_bytes()).await.unwrap();
    for _ in ["READY", "COMPLETE", "READY"] {
        assert!(lines.next_line().await.unwrap().is_some());
    }
    let mut served = Vec::new();
    for count in 0.. {
        let id = format!("s{number}-{count}");
        let query = format!("QUERY {id} WRITE item data\r\n");
        let sent_at = Instant::now();
        let mut is_answered = false;
        if writer.write_all(query.as_bytes()).await.is_ok() {
            while let Ok(Some(line)) = lines.next_line().await {
                is_answered = line.starts_with("READY");
                if line.starts_with("COMPLETE") {
                    served.push((id.clone(), Instant::now()));
                }
                if is_answered {
                    break;
                }
            }
        }
        if !is_answered {
            let cut = Some((id, sent_at.elapsed()));
            return SessionEnd { served, cut };
        }
        // Some sessions rest for a moment, as most sessions do.
        if number.is_multiple_of(3) {
            tokio::time::sleep(Duration::from_millis(7)).await;
        }
    }
    unreachable!("the instance stops")
}

/// Requests that were accepted just before the stop, or on open sessions after it, must be answered: a cut
/// write may have run, so its client cannot repeat it.
#[test]
fn stop_answers_what_was_accepted() {
    run(async {
        let mut cluster = Cluster::start("stopping", 2).await;
        cluster.wait_for(&[0, 1], "db-present").await;
        let front = cluster.world.instance(0).front;
        let sessions = (0..SESSIONS).map(|number| tokio::spawn(write_on(front, number)));
        let sessions = sessions.collect::<Vec<_>>();
        tokio::time::sleep(WARM_TIME).await;
        let stopped_at = Instant::now();
        let stop = SoakFault::Terminate(0);
        cluster.world.apply(stop, true).unwrap();
        assert!(cluster.world.instance(0).wait(PATIENCE).await);
        let mut ends = Vec::new();
        for session in sessions {
            ends.push(session.await.unwrap());
        }
        let written = cluster.world.written();
        let mut after_stop = 0;
        for end in &ends {
            let late = end.served.iter().filter(|(_, at)| *at > stopped_at);
            after_stop += late.count();
            if let Some((id, waited)) = &end.cut {
                assert!(!written.contains(id), "{id} has run and was not answered");
                assert!(*waited < READ_SLACK, "{id} was cut after {waited:?}");
            }
        }
        assert!(after_stop > 0, "open sessions are served during a stop");
        cluster.stop().await;
    });
}
