//! Planned stop of an instance, run as a process, under load.

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
use cluster::WAIT_LIMIT;
use cluster::run;

/// Number of sessions that write during the stop.
const SESSIONS: usize = 12;

/// Time for which the sessions write before the stop.
const WARM_UP: Duration = Duration::from_millis(800);

/// Longest time that a request cut by a planned stop may have waited, by the operators' bound. A
/// request that waited longer was certainly read by its instance.
const MAX_CUT_WAIT: Duration = Duration::from_millis(200);

/// The answered and unanswered writes of a session that the stop ended.
struct SessionWrites {
    /// Ids of acknowledged writes, each with the time of its acknowledgement.
    acknowledged: Vec<(String, Instant)>,
    /// Id of the last write, if it was not answered, and the time that it had waited.
    cut: Option<(String, Duration)>,
}

/// Writes in a new session until the instance ends the session.
async fn write_until_cut(front: SocketAddr, number: usize) -> SessionWrites {
    let (reader, mut writer) = TcpStream::connect(front).await.unwrap().into_split();
    let mut lines = BufReader::new(reader).lines();
    writer.write_all(b"START db-present\r\n").await.unwrap();
    // The targets check that each statement runs with the values of its session.
    let owner = format!("QUERY set SET owner s{number}\r\n");
    writer.write_all(owner.as_bytes()).await.unwrap();
    for _ in ["READY", "COMPLETE", "READY"] {
        assert!(lines.next_line().await.unwrap().is_some());
    }
    let mut acknowledged = Vec::new();
    for count in 0.. {
        let id = format!("s{number}-{count}");
        let query = format!("QUERY {id} WRITE item data\r\n");
        let sent_at = Instant::now();
        let mut is_answered = false;
        if writer.write_all(query.as_bytes()).await.is_ok() {
            while let Ok(Some(line)) = lines.next_line().await {
                is_answered = line.starts_with("READY");
                if line.starts_with("COMPLETE") {
                    acknowledged.push((id.clone(), Instant::now()));
                }
                if is_answered {
                    break;
                }
            }
        }
        if !is_answered {
            let cut = Some((id, sent_at.elapsed()));
            return SessionWrites { acknowledged, cut };
        }
        // A third of the sessions pause between writes, as real sessions do.
        if number.is_multiple_of(3) {
            tokio::time::sleep(Duration::from_millis(7)).await;
        }
    }
    unreachable!("the instance stops")
}

/// Guards against unanswered writes that have run. Requests that were accepted just before the
/// stop, or after it on open sessions, must be answered, since a client cannot safely repeat a cut
/// write.
#[test]
fn stop_answers_accepted_requests() {
    run(async {
        let mut cluster = Cluster::start("stopping", 2).await;
        cluster.wait_until_served(&[0, 1], "db-present").await;
        let front = cluster.world.instance(0).front;
        let sessions = (0..SESSIONS).map(|number| tokio::spawn(write_until_cut(front, number)));
        let sessions = sessions.collect::<Vec<_>>();
        tokio::time::sleep(WARM_UP).await;
        let stopped_at = Instant::now();
        let stop = SoakFault::Terminate(0);
        cluster.world.apply(stop, true).unwrap();
        assert!(cluster.world.instance(0).wait(WAIT_LIMIT).await);
        let mut ends = Vec::new();
        for session in sessions {
            ends.push(session.await.unwrap());
        }
        let written = cluster.world.written();
        let mut after_stop = 0;
        for end in &ends {
            let late = end.acknowledged.iter().filter(|(_, at)| *at > stopped_at);
            after_stop += late.count();
            if let Some((id, waited)) = &end.cut {
                assert!(!written.contains(id), "{id} has run and was not answered");
                assert!(*waited < MAX_CUT_WAIT, "{id} was cut after {waited:?}");
            }
        }
        assert!(after_stop > 0, "open sessions are served during a stop");
        cluster.stop().await;
    });
}
