//! Measures what control costs an instance as the deployment grows.
//!
//! Membership, settings and group observation of all instances run in one process over a virtual
//! clock. Messages are encoded, carried by a queue with fixed delays and losses, and decoded. The
//! program prints a JSON line for each figure and a table, writes both to a file, and fails if a bound
//! of the plan (docs/design.md, section 1) is passed.
//!
//! Usage: `slopes FILE [SECONDS [NODES...]]`; SECONDS is the measured virtual time.

#[path = "slopes/plan.rs"]
mod slopes_plan;
#[path = "slopes/result.rs"]
mod slopes_result;
#[path = "slopes/run.rs"]
mod slopes_run;
#[path = "slopes/status.rs"]
mod slopes_status;

use std::fmt::Write as _;
use std::process::ExitCode;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;

use heatherhollow_control::ControlMessage;
use heatherhollow_control::LiveMember;
use heatherhollow_control::MemberProber;
use heatherhollow_control::MemberRecord;
use heatherhollow_control::PERMIT_HOLD_OFF;
use heatherhollow_control::PermitTable;
use heatherhollow_control::ServicePermits;
use heatherhollow_control::SettingsSpread;
use heatherhollow_control::centre_relays;
use heatherhollow_control::group_observer;
use heatherhollow_control::relays_by_uptime;
use heatherhollow_types::Incarnation;
use heatherhollow_types::MonoTime;
use heatherhollow_types::mix_bits;
use heatherhollow_types::stable_hash;

use slopes_plan::Deployment;
use slopes_plan::FAILURES_A_DAY;
use slopes_plan::RESTARTS_A_DAY;
use slopes_plan::THREE_BLOCKS;
use slopes_result::RunResult;
use slopes_run::FRAME_BYTES;
use slopes_run::run_deployment;

/// Bounds of the plan. They come from docs/design.md, never from a measured figure.
mod bounds {
    /// Share of a core, in percent.
    pub const CORE_PERCENT: f64 = 2.7;
    /// Memory in megabytes.
    pub const MEMORY_MB: f64 = 128.0;
    /// Bytes a second, in each direction.
    pub const BYTES_A_SECOND: f64 = 5_000.0;
    /// Writes to the store a second; "several hundred" in the plan.
    pub const STORE_WRITES: f64 = 300.0;
    /// Reads of the store a second.
    pub const STORE_READS: f64 = 2_000.0;
    /// Time until a change of settings is in force everywhere, in seconds.
    pub const SETTINGS_SECONDS: f64 = 7.0;
    /// Time until a change of primary is over, in seconds.
    pub const PROMOTION_SECONDS: f64 = 9.0;
}

/// Runs of promotion that an instance has at a time (case 6).
const PROMOTION_RUNS: usize = 8;

struct Report {
    lines: Vec<String>,
    failures: Vec<String>,
}

impl Report {
    fn line(&mut self, value: &Value) {
        let text = value.to_string();
        println!("{text}");
        self.lines.push(text);
    }

    fn text(&mut self, text: &str) {
        println!("{text}");
        self.lines.push(text.to_string());
    }

    fn check(&mut self, what: &str, value: f64, bound: f64) {
        let is_kept = value <= bound;
        self.line(&json!({"check": what, "value": value, "bound": bound, "kept": is_kept}));
        if !is_kept {
            self.failures
                .push(format!("{what}: {value} exceeds the bound of {bound}"));
        }
    }
}

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let Some(file) = arguments.next() else {
        eprintln!("usage: slopes FILE [SECONDS [NODES...]]");
        return ExitCode::FAILURE;
    };
    let seconds = arguments
        .next()
        .and_then(|text| text.parse().ok())
        .unwrap_or(240);
    let mut sizes: Vec<usize> = arguments.filter_map(|text| text.parse().ok()).collect();
    if sizes.is_empty() {
        sizes = vec![10, 100, 500, 2_000];
    }
    let mut report = Report {
        lines: Vec::new(),
        failures: Vec::new(),
    };
    let (memory, copies) = measure_documents(&mut report);
    let mut results = Vec::new();
    // Memory is measured as growth of the process, so nothing is freed before the last size is done.
    let mut kept = Vec::new();
    for &nodes in &sizes {
        let deployment = Deployment::new(nodes);
        let (result, nodes) = run_deployment(&deployment, seconds);
        report_run(&mut report, &result, memory);
        results.push(result);
        kept.push(nodes);
    }
    let nodes = sizes.iter().copied().max().unwrap_or(2_000);
    let (result, _) = run_deployment(&Deployment::with_connections(nodes, THREE_BLOCKS), seconds);
    drop((kept, copies));
    several_holders(&mut report, &result);
    report.text(&table(&results));
    report.text(&slopes(&results));
    let largest = Deployment::new(nodes);
    for &nodes in &sizes {
        full_mesh(&mut report, &Deployment::new(nodes));
    }
    for &nodes in &sizes {
        mass_start(&mut report, &Deployment::new(nodes));
    }
    relay_changes(&mut report, &largest);
    assign_permits(&mut report, &largest);
    promotions(&mut report, &largest);
    for failure in report.failures.clone() {
        report.text(&format!("BOUND EXCEEDED {failure}"));
    }
    let text = report.lines.join("\n") + "\n";
    if let Err(error) = std::fs::write(&file, text) {
        eprintln!("cannot write {file}: {error}");
        return ExitCode::FAILURE;
    }
    if report.failures.is_empty() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

/// Memory of one instance for all documents of the plan, in megabytes.
fn measure_documents(report: &mut Report) -> (f64, Vec<SettingsSpread>) {
    const COPIES: usize = 20;
    let deployment = Deployment::new(2_000);
    let documents = deployment.documents();
    let bytes: usize = documents.iter().map(|(_, bytes)| bytes.len()).sum();
    let before = slopes_run::resident_bytes();
    let started = Instant::now();
    let view = deployment.view();
    let copies: Vec<_> = (0..COPIES)
        .map(|i| {
            let (name, centre) = deployment.nodes[i].clone();
            let mut spread = SettingsSpread::new(name, centre);
            let list = documents.iter().enumerate();
            let list = list.map(|(i, (path, bytes))| (path.as_str(), i as u64 + 1, &bytes[..]));
            spread.on_store_list(list, &view);
            spread
        })
        .collect();
    let elapsed = started.elapsed().as_secs_f64();
    let used = slopes_run::resident_bytes().saturating_sub(before) as f64;
    let memory = used / COPIES as f64 / 1e6;
    report.line(&json!({
        "measure": "documents", "documents": documents.len(), "bytes": bytes,
        "memory_mb": memory, "read_ms": elapsed * 1e3 / COPIES as f64,
        "ready": copies.iter().all(|copy| copy.table().is_ready()),
    }));
    (memory, copies)
}

fn report_run(report: &mut Report, result: &RunResult, documents_mb: f64) {
    report.line(&result.as_json());
    let nodes = result.nodes;
    let name = |what: &str| format!("{what}, {nodes} nodes");
    report.check(
        &name("core percent, mean"),
        result.cpu.mean * 100.0,
        bounds::CORE_PERCENT,
    );
    report.check(
        &name("core percent, highest node"),
        result.cpu.highest * 100.0,
        bounds::CORE_PERCENT,
    );
    let memory = result.memory_mb + documents_mb;
    report.check(
        &name("memory mb with all documents"),
        memory,
        bounds::MEMORY_MB,
    );
    let bytes = bounds::BYTES_A_SECOND;
    report.check(&name("bytes sent a second, mean"), result.sent.mean, bytes);
    report.check(
        &name("bytes received a second, mean"),
        result.received.mean,
        bytes,
    );
    report.check(
        &name("bytes sent a second, highest node"),
        result.sent.highest,
        bytes,
    );
    report.check(
        &name("bytes received a second, highest node"),
        result.received.highest,
        bytes,
    );
    report.check(
        &name("store reads a second"),
        result.store_reads,
        bounds::STORE_READS,
    );
    report.check(
        &name("store reads a second at a mass start"),
        result.start_reads,
        bounds::STORE_READS,
    );
    report.check(
        &name("store writes a second"),
        result.store_writes,
        bounds::STORE_WRITES,
    );
    report.check(
        &name("seconds until settings are in force everywhere"),
        result.settings_seconds,
        bounds::SETTINGS_SECONDS,
    );
}

fn table(results: &[RunResult]) -> String {
    let mut text = String::from(
        "nodes  groups  msg/s sent  B/s sent mean  B/s sent max  B/s recv mean  B/s recv max  \
         core% mean  core% max  MB/node  settings s  gone s  store r/s",
    );
    for r in results {
        let _ = write!(
            text,
            "\n{:5}  {:6}  {:10.2}  {:13.0}  {:12.0}  {:13.0}  {:12.0}  {:10.4}  {:9.4}  {:7.2}  \
             {:10.2}  {:6.2}  {:9.3}",
            r.nodes,
            r.groups,
            r.messages,
            r.sent.mean,
            r.sent.highest,
            r.received.mean,
            r.received.highest,
            r.cpu.mean * 100.0,
            r.cpu.highest * 100.0,
            r.memory_mb,
            r.settings_seconds,
            r.gone_seconds,
            r.store_reads,
        );
    }
    text
}

/// Increase of each figure for each further node, between the smallest and the largest size.
fn slopes(results: &[RunResult]) -> String {
    let (Some(first), Some(last)) = (results.first(), results.last()) else {
        return String::new();
    };
    let span = (last.nodes as f64 - first.nodes as f64).max(1.0);
    let slope = |f: fn(&RunResult) -> f64| (f(last) - f(first)) / span;
    json!({
        "measure": "slopes", "from_nodes": first.nodes, "to_nodes": last.nodes,
        "sent_bytes_a_node": slope(|r| r.sent.mean),
        "member_bytes_a_node": slope(|r| r.member_bytes),
        "status_bytes_a_node": slope(|r| r.status_bytes),
        "core_percent_a_node": slope(|r| r.cpu.mean * 100.0),
        "memory_kb_a_node": slope(|r| r.memory_mb * 1e3),
        "store_reads_a_node": slope(|r| r.store_reads),
    })
    .to_string()
}

/// Start of all instances at once, which the plan does not bound.
fn mass_start(report: &mut Report, deployment: &Deployment) {
    let result = slopes_run::run_mass_start(deployment);
    report.line(&json!({
        "measure": "start of all instances within 5 s", "nodes": deployment.nodes.len(),
        "seconds_until_all_are_known": result.seconds,
        "sent_bytes_mean": result.sent.mean, "sent_bytes_highest": result.sent.highest,
        "bytes_between_regions": result.far_bytes,
    }));
}

/// Bytes with three holders a target, whom observers send positions twice a second.
///
/// The plan does not state the connections of a service, so this is reported but is not a failure.
fn several_holders(report: &mut Report, result: &RunResult) {
    let highest = result.sent.highest.max(result.received.highest);
    report.line(&json!({
        "measure": "services with 40 connections", "nodes": result.nodes,
        "sent_bytes_mean": result.sent.mean, "sent_bytes_highest": result.sent.highest,
        "received_bytes_mean": result.received.mean,
        "received_bytes_highest": result.received.highest,
        "sent_bytes_mean_busy": result.sent_busy.mean,
        "sent_bytes_highest_busy": result.sent_busy.highest,
        "within_bound": highest <= bounds::BYTES_A_SECOND,
    }));
}

/// Bytes of heartbeats between all pairs once a second, as the alternative to SWIM.
fn full_mesh(report: &mut Report, deployment: &Deployment) {
    let mut bytes = 0_usize;
    let started = Instant::now();
    let own = MemberRecord::new(
        deployment.nodes[0].0.clone(),
        deployment.nodes[0].1.clone(),
        Incarnation(1),
    );
    // All senders have the same size of message, so one sender's second is enough.
    let prober = MemberProber::new(own, Default::default(), MonoTime::ZERO);
    for (i, _) in deployment.nodes.iter().enumerate().skip(1) {
        let message = slopes_run::bare_probe(&prober, i as u32);
        bytes += message.len() + FRAME_BYTES;
        let decoded = ControlMessage::decode_bytes(&message);
        assert!(decoded.is_ok(), "own messages decode");
    }
    let core = started.elapsed().as_secs_f64() * 100.0;
    report.line(&json!({
        "measure": "full mesh", "nodes": deployment.nodes.len(), "sent_bytes_a_second": bytes,
        "core_percent": core, "within_bound": bytes as f64 <= bounds::BYTES_A_SECOND,
    }));
}

/// Changes of relays a day with either choice, for restarts in random order and oldest first.
fn relay_changes(report: &mut Report, deployment: &Deployment) {
    const DAYS: usize = 20;
    for is_rolling in [false, true] {
        let mut changes = [0_usize; 2];
        let mut started: Vec<u64> = (0..deployment.nodes.len() as u64)
            .map(|i| mix_bits(i + 1) >> 24)
            .collect();
        let mut clock = u64::MAX >> 16;
        for event in 0..DAYS * (RESTARTS_A_DAY + FAILURES_A_DAY) {
            clock += 1;
            let oldest = || (0..started.len()).min_by_key(|&i| started[i]).unwrap_or(0);
            let random = mix_bits(event as u64 ^ 0x5eed) as usize % started.len();
            let is_failure = event % (RESTARTS_A_DAY + FAILURES_A_DAY) >= RESTARTS_A_DAY;
            let node = if is_rolling && !is_failure {
                oldest()
            } else {
                random
            };
            let (name, centre) = &deployment.nodes[node];
            let before = deployment.centre_view(centre, &started);
            let down = before.without(centre, name);
            started[node] = clock;
            let after = deployment.centre_view(centre, &started);
            for pair in [(&before, &down), (&down, &after)] {
                changes[0] += relays_lost(
                    &centre_relays(pair.0, centre),
                    &centre_relays(pair.1, centre),
                );
                changes[1] += relays_lost(
                    &relays_by_uptime(pair.0, centre),
                    &relays_by_uptime(pair.1, centre),
                );
            }
        }
        report.line(&json!({
            "measure": "relay changes a day", "nodes": deployment.nodes.len(),
            "restarts": if is_rolling { "oldest first" } else { "random order" },
            "by_rank": changes[0] as f64 / DAYS as f64,
            "by_uptime": changes[1] as f64 / DAYS as f64,
        }));
    }
}

fn relays_lost(before: &[&LiveMember], after: &[&LiveMember]) -> usize {
    let kept = |name| after.iter().any(|m| m.name == name);
    before.iter().filter(|m| !kept(m.name.clone())).count()
}

/// Time that one instance needs to assign all permits after a change of members.
fn assign_permits(report: &mut Report, deployment: &Deployment) {
    let services: Vec<ServicePermits> = deployment
        .teams
        .iter()
        .flat_map(|team| {
            team.services
                .iter()
                .map(move |s| ServicePermits::new(team, s))
        })
        .flatten()
        .collect();
    let view = deployment.view();
    let (name, centre) = &deployment.nodes[1];
    let mut permits = PermitTable::new(deployment.nodes[0].0.clone());
    let now = MonoTime::ZERO;
    permits.assign(&services, &view, None, &deployment.topology, now);
    permits.tick(now + PERMIT_HOLD_OFF);
    let held = permits.held().count();
    let without = view.without(centre, name);
    let started = Instant::now();
    const ROUNDS: u32 = 10;
    for round in 0..ROUNDS {
        let (new, old) = if round % 2 == 0 {
            (&without, &view)
        } else {
            (&view, &without)
        };
        permits.assign(&services, new, Some(old), &deployment.topology, now);
    }
    let each = started.elapsed().as_secs_f64() / f64::from(ROUNDS);
    let changes = 2.0 * (RESTARTS_A_DAY + FAILURES_A_DAY) as f64 / 86_400.0;
    report.line(&json!({
        "measure": "assignment of permits", "services": services.len(), "permits_held": held,
        "milliseconds_a_change": each * 1e3, "changes_a_second": changes,
        "core_percent": each * changes * 100.0,
    }));
}

/// Arithmetic of promotions when a data centre fails: who runs how many, and for how long.
fn promotions(report: &mut Report, deployment: &Deployment) {
    // Suspicion, the rank delay of the third observer, and in each run one call that times out after
    // 1 s besides three round trips between regions and a new connection.
    const SUSPECT_SECONDS: f64 = 1.2;
    const RANK_SECONDS: f64 = 0.3;
    const RUN_SECONDS: f64 = 1.0 + 3.0 * 0.016 + 0.010;
    let view = deployment.view();
    let mut worst = (0_usize, 0_usize);
    for (_, centre) in deployment.topology.data_centres() {
        let mut counts = vec![0_usize; deployment.nodes.len()];
        let mut groups = 0;
        for (team, group) in deployment.groups() {
            if &group.targets[0].data_centre != centre {
                continue;
            }
            groups += 1;
            let others = group.data_centres().into_iter().filter(|c| c != centre);
            let observers =
                others.filter_map(|c| group_observer(&team.team, &group.name, &c, &view));
            let key = stable_hash(&["promotion", group.name.as_str()]);
            let first = observers.max_by_key(|name| mix_bits(key ^ stable_hash(&[name.as_str()])));
            let at = first.and_then(|name| deployment.nodes.iter().position(|n| &n.0 == name));
            counts[at.unwrap_or(0)] += 1;
        }
        let most = counts.into_iter().max().unwrap_or(0);
        worst = worst.max((most, groups));
    }
    let (most, groups) = worst;
    let waves = most.div_ceil(PROMOTION_RUNS);
    let seconds = SUSPECT_SECONDS + RANK_SECONDS + waves as f64 * RUN_SECONDS;
    report.line(&json!({
        "measure": "promotions at the loss of a data centre (arithmetic)", "groups": groups,
        "runs_of_busiest_instance": most, "waves": waves, "seconds": seconds,
    }));
    report.check(
        "seconds of promotions at the loss of a data centre",
        seconds,
        bounds::PROMOTION_SECONDS,
    );
}
