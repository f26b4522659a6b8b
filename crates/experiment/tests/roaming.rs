//! A session that uses another instance for every request.

use std::sync::Arc;
use std::time::Duration;

use heatherhollow_experiment::Cluster;
use heatherhollow_experiment::ClusterSettings;
use heatherhollow_experiment::Deployment;
use heatherhollow_proxy::CallAction;
use heatherhollow_proxy::CallerEnd;
use heatherhollow_proxy::CallerPart;
use heatherhollow_proxy::CallerRequest;
use heatherhollow_proxy::ProxyEngine;
use heatherhollow_proxy::TransactionStep;
use heatherhollow_types::FailureReason;
use heatherhollow_types::RequestOutcome;

async fn ask(
    engine: &Arc<ProxyEngine>,
    service: &str,
    action: CallAction,
    statement: &str,
    session: &str,
) -> (Vec<String>, CallerEnd) {
    let request = CallerRequest {
        team: "willow".parse().expect("a valid name"),
        service: service.parse().expect("a valid name"),
        action,
        statement: statement.to_string(),
        session: Some(session.to_string()),
        request: None,
        patience: None,
        is_repeatable: false,
    };
    let mut stream = engine.handle(request).await;
    let mut rows = Vec::new();
    loop {
        match stream.next_part().await.expect("an answer has an end") {
            CallerPart::Row(row) => rows.push(String::from_utf8_lossy(&row).into_owned()),
            CallerPart::End(end) => return (rows, end),
        }
    }
}

// Guards against a session that does not see its own write through another instance.
#[tokio::test(start_paused = true)]
async fn session_reads_its_writes_through_any_instance() {
    let settings = ClusterSettings {
        lag: Duration::from_millis(150),
        ..ClusterSettings::default()
    };
    let cluster = Cluster::start(Deployment::tarai_willow(), settings).await;
    let mut session = String::new();
    let mut replica_reads = 0;
    for round in 0..60 {
        let writer = &cluster.nodes[round % 9].engine;
        let statement = format!("put entry:7 {round}");
        let (_, end) = ask(
            writer,
            "cleft-intake",
            CallAction::Write,
            &statement,
            &session,
        )
        .await;
        assert_eq!(end.outcome, RequestOutcome::Done, "round {round}: {end:?}");
        session = end.session;
        let reader = &cluster.nodes[(round * 4 + 1) % 9].engine;
        let kind = CallAction::Read("entries".parse().expect("a valid name"));
        let (rows, end) = ask(reader, "cleft-intake", kind, "get entry:7", &session).await;
        assert_eq!(end.outcome, RequestOutcome::Done, "round {round}: {end:?}");
        assert!(
            rows[0].contains(&format!("\"{round}\"")),
            "round {round}: {rows:?}"
        );
        replica_reads += u32::from(end.is_replica);
    }
    assert!(
        replica_reads > 30,
        "only {replica_reads} of 60 reads were served by replicas"
    );
}

/// Opens a transaction and scans all rows in it.
async fn scan_in_transaction(cluster: &Cluster, prefix: &str) -> (Vec<String>, CallerEnd) {
    let engine = &cluster.nodes[0].engine;
    let (_, end) = ask(engine, "cleft-intake", CallAction::Begin, "", "").await;
    let id = end.transaction.expect("a transaction");
    let action = CallAction::Step(id, TransactionStep::Within);
    ask(
        engine,
        "cleft-intake",
        action,
        &format!("scan {prefix}"),
        "",
    )
    .await
}

async fn put_rows(cluster: &Cluster, prefix: &str, count: usize, value: &str) {
    for i in 0..count {
        let engine = &cluster.nodes[i % 9].engine;
        let statement = format!("put {prefix}{i} {value}");
        let (_, end) = ask(engine, "cleft-intake", CallAction::Write, &statement, "").await;
        assert_eq!(end.outcome, RequestOutcome::Done, "{end:?}");
    }
}

// Guards against a long answer of a transaction's statement that is cut and still ends as done.
#[tokio::test(start_paused = true)]
async fn long_answer_in_a_transaction_is_whole() {
    let cluster = Cluster::start(Deployment::tarai_willow(), ClusterSettings::default()).await;
    put_rows(&cluster, "long:", 1_500, "x").await;
    let (rows, end) = scan_in_transaction(&cluster, "long:").await;
    assert_eq!((end.outcome, rows.len()), (RequestOutcome::Done, 1_500));
}

// Guards against an answer above the memory bound that is passed on in part as if it were whole.
#[tokio::test(start_paused = true)]
async fn answer_above_the_bound_is_never_done() {
    let cluster = Cluster::start(Deployment::tarai_willow(), ClusterSettings::default()).await;
    put_rows(&cluster, "big:", 160, &"x".repeat(30_000)).await;
    let (_, end) = scan_in_transaction(&cluster, "big:").await;
    let rolled_back = RequestOutcome::Failed(FailureReason::RolledBack);
    assert_eq!(end.outcome, rolled_back, "{}", end.detail);
}
