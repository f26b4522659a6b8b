//! Callers: sessions that use another instance for every request, as behind a balancer.
//!
//! Each write adds 1 to a key of its own, so that the rows at the end show how often it took effect.
//! Reads are checked against what is known when they start.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::sleep;

use heatherhollow_proxy::CallAction;
use heatherhollow_proxy::CallerEnd;
use heatherhollow_proxy::CallerPart;
use heatherhollow_proxy::CallerRequest;
use heatherhollow_proxy::ProxyEngine;
use heatherhollow_proxy::TransactionStep;
use heatherhollow_types::RequestId;
use heatherhollow_types::RequestOutcome;
use heatherhollow_types::ServiceName;
use heatherhollow_types::TeamName;

use crate::deployment::Deployment;
use crate::history::History;
use crate::history::WriteFate;

/// Key that a writer of its own raises all the time; reads of it show the age of their answers.
pub const TICKER_KEY: &str = "ticker";

/// Times that a caller asks again after an unknown outcome.
const MAX_REPEATS: usize = 3;

/// Settings of the callers.
#[derive(Debug, Clone)]
pub struct WorkloadSettings {
    /// Sessions.
    pub sessions: usize,
    /// Mean pause between two requests of a session.
    pub pause: Duration,
    /// Permille of the writes that are transactions.
    pub transactions_permille: u32,
    /// Longest wait that a request names.
    pub patience: Duration,
    /// Seed.
    pub seed: u64,
}

impl Default for WorkloadSettings {
    fn default() -> Self {
        Self {
            sessions: 60,
            pause: Duration::from_millis(80),
            transactions_permille: 100,
            patience: Duration::from_secs(5),
            seed: 1,
        }
    }
}

/// An instance as callers see it.
#[derive(Clone)]
pub struct CallerTarget {
    /// Its engine.
    pub engine: Arc<ProxyEngine>,
    /// How far it is.
    pub phase: watch::Receiver<InstancePhase>,
}

/// Whether an instance runs, as far as its callers are concerned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InstancePhase {
    /// It runs.
    Running,
    /// It was killed.
    Killed,
    /// It ended as planned.
    Stopped,
}

/// The instances that the balancer knows; shared with the fault script.
pub type Balancer = Arc<Mutex<Vec<CallerTarget>>>;

/// One answer as its caller got it.
struct CallerAnswer {
    rows: Vec<String>,
    /// None: the connection to the instance was lost.
    end: Option<CallerEnd>,
    /// Whether it was lost to a planned stop.
    is_cut: bool,
}

/// A session.
pub struct SessionCaller {
    id: usize,
    team: TeamName,
    deployment: Arc<Deployment>,
    settings: WorkloadSettings,
    balancer: Balancer,
    history: Arc<History>,
    random: SmallRng,
    token: String,
    writes: u64,
    /// Keys of acknowledged writes.
    acknowledged: BTreeMap<String, ()>,
}

impl SessionCaller {
    /// A session that has made no request.
    pub fn new(
        id: usize,
        deployment: Arc<Deployment>,
        settings: WorkloadSettings,
        balancer: Balancer,
        history: Arc<History>,
    ) -> Self {
        let seed = settings
            .seed
            .wrapping_mul(1_000_003)
            .wrapping_add(id as u64);
        Self {
            id,
            team: deployment.team.team.clone(),
            deployment,
            settings,
            balancer,
            history,
            random: SmallRng::seed_from_u64(seed),
            token: String::new(),
            writes: 0,
            acknowledged: BTreeMap::new(),
        }
    }

    /// Makes requests until `end`.
    pub async fn run(mut self, end: Instant) {
        while Instant::now() < end {
            let pause = self
                .settings
                .pause
                .mul_f64(self.random.random_range(0.2..1.8));
            sleep(pause).await;
            let (service, kind) = self.pick_request();
            if !kind.is_empty() {
                self.read(service, kind).await;
            } else if self.random.random_range(0..1_000) < self.settings.transactions_permille {
                self.transaction(service).await;
            } else {
                self.write(service).await;
            }
        }
    }

    /// Raises the ticker until `end`.
    pub async fn run_ticker(mut self, end: Instant) {
        let service = self.deployment.mix[0].0;
        let mut value = 0_u64;
        while Instant::now() < end {
            sleep(Duration::from_millis(20)).await;
            value += 1;
            let statement = format!("put {TICKER_KEY} {value}");
            let id = self.request_id(&format!("tick-{value}"));
            let answer = self
                .ask(service, CallAction::Write, &statement, Some(id))
                .await;
            if answer.outcome() == Some(RequestOutcome::Done) {
                self.history.record_tick(Instant::now(), value);
            }
        }
    }

    fn pick_request(&mut self) -> (&'static str, &'static str) {
        let mut point = self.random.random_range(0..1_000);
        for &(service, kind, share) in self.deployment.mix {
            if point < share {
                return (service, kind);
            }
            point -= share;
        }
        let &(service, kind, _) = self.deployment.mix.last().expect("a mix has entries");
        (service, kind)
    }

    fn request_id(&self, text: &str) -> RequestId {
        format!("s{}-{text}", self.id).parse().expect("a valid id")
    }

    async fn write(&mut self, service: &str) {
        self.writes += 1;
        let key = format!("w:{}:{}", self.id, self.writes);
        let id = self.request_id(&self.writes.to_string());
        let statement = format!("add {key} 1");
        let mut fate = WriteFate::default();
        for attempt in 0..=MAX_REPEATS {
            let answer = self
                .ask(service, CallAction::Write, &statement, Some(id.clone()))
                .await;
            self.history
                .record_write_answer(Instant::now(), answer.outcome());
            fate.add(answer.outcome());
            match answer.outcome() {
                Some(RequestOutcome::Done) => {
                    self.history.check_write_rows(&answer.rows, &key);
                    self.acknowledged.insert(key.clone(), ());
                    break;
                }
                Some(RequestOutcome::NotRun { retry_after, .. }) if attempt < MAX_REPEATS => {
                    sleep(retry_after.max(Duration::from_millis(20))).await;
                }
                Some(RequestOutcome::Unknown(_)) | None if attempt < MAX_REPEATS => {
                    sleep(Duration::from_millis(100)).await;
                }
                _ => break,
            }
        }
        self.history.record_write(vec![key], fate);
    }

    async fn transaction(&mut self, service: &str) {
        self.writes += 1;
        let keys = ["a", "b"].map(|part| format!("t:{}:{}:{part}", self.id, self.writes));
        let answer = self.ask(service, CallAction::Begin, "", None).await;
        let Some(id) = answer.end.as_ref().and_then(|end| end.transaction.clone()) else {
            self.history.record_other(answer.outcome());
            return;
        };
        let mut fate = WriteFate::default();
        for key in &keys {
            let action = CallAction::Step(id.clone(), TransactionStep::Within);
            let answer = self
                .ask(service, action, &format!("add {key} 1"), None)
                .await;
            if answer.outcome() != Some(RequestOutcome::Done) {
                self.history.record_other(answer.outcome());
                let action = CallAction::Step(id, TransactionStep::Rollback);
                self.ask(service, action, "", None).await;
                // Without a commit nothing may have taken effect.
                fate.add(Some(RequestOutcome::not_run(
                    heatherhollow_types::RefusalReason::TransactionLost,
                    Duration::ZERO,
                )));
                self.history.record_write(keys.to_vec(), fate);
                return;
            }
        }
        let request = self.request_id(&format!("c{}", self.writes));
        let action = CallAction::Step(id, TransactionStep::Commit);
        let answer = self.ask(service, action, "", Some(request)).await;
        self.history
            .record_write_answer(Instant::now(), answer.outcome());
        fate.add(answer.outcome());
        if answer.outcome() == Some(RequestOutcome::Done) {
            self.acknowledged.extend(keys.clone().map(|key| (key, ())));
        }
        self.history.record_write(keys.to_vec(), fate);
    }

    async fn read(&mut self, service: &str, kind: &str) {
        let declared = service.parse::<ServiceName>().expect("a valid name");
        let declared = self
            .deployment
            .team
            .service(&declared)
            .expect("a declared service");
        let max_age = declared
            .kind(&kind.parse().expect("a valid name"))
            .expect("declared");
        let max_age = Duration::from_millis(max_age.max_age_ms);
        let action = CallAction::Read(kind.parse().expect("a valid name"));
        let started = Instant::now();
        if self.random.random_bool(0.5) {
            let answer = self
                .ask(service, action, &format!("get {TICKER_KEY}"), None)
                .await;
            if self.record_read(kind, max_age, started, &answer) {
                let shown = answer.rows.first().map_or(0, |row| row_number(row));
                self.history.check_tick(started, max_age, shown, kind);
            }
            return;
        }
        let prefix = format!("w:{}:", self.id);
        let answer = self
            .ask(service, action, &format!("scan {prefix}"), None)
            .await;
        if self.record_read(kind, max_age, started, &answer) {
            let keys = self.acknowledged.keys().map(String::as_str);
            let target = answer.end.as_ref().and_then(|end| end.target.as_ref());
            self.history
                .check_own_rows(&prefix, keys, &answer.rows, target);
        }
    }

    fn record_read(
        &self,
        kind: &str,
        max_age: Duration,
        started: Instant,
        answer: &CallerAnswer,
    ) -> bool {
        let Some(end) = &answer.end else {
            self.history.record_other(None);
            return false;
        };
        self.history
            .record_read(kind, max_age, end, started.elapsed());
        if end.outcome == RequestOutcome::Done {
            self.history.check_age(kind, max_age, end.age);
        }
        end.outcome == RequestOutcome::Done
    }

    /// Sends one request through a random instance.
    async fn ask(
        &mut self,
        service: &str,
        action: CallAction,
        statement: &str,
        request: Option<RequestId>,
    ) -> CallerAnswer {
        let target = {
            let targets = self
                .balancer
                .lock()
                .expect("no holder of the balancer panics");
            let i = self.random.random_range(0..targets.len());
            targets[i].clone()
        };
        let delay = self.deployment.topology.caller_delay();
        sleep(delay).await;
        let request = CallerRequest {
            team: self.team.clone(),
            service: service.parse().expect("a valid name"),
            action,
            statement: statement.to_string(),
            session: Some(self.token.clone()),
            request,
            patience: Some(self.settings.patience),
            is_repeatable: false,
        };
        let is_step = matches!(request.action, CallAction::Step(..));
        let started = Instant::now();
        let answer = exchange(target, request).await;
        let what = || format!("{service} {statement:?}");
        if answer.is_cut {
            self.history.record_cut(&what());
        }
        if !is_step && let Some(target) = answer.end.as_ref().and_then(|end| end.target.as_ref()) {
            self.history.check_target(started, target, &what());
        }
        sleep(delay).await;
        if let Some(end) = &answer.end
            && !end.session.is_empty()
        {
            self.token.clone_from(&end.session);
        }
        answer
    }
}

async fn exchange(mut target: CallerTarget, request: CallerRequest) -> CallerAnswer {
    let mut rows = Vec::new();
    let engine = target.engine;
    let rows_of = &mut rows;
    let work = async move {
        let mut stream = engine.handle(request).await;
        while let Some(part) = stream.next_part().await {
            match part {
                CallerPart::Row(row) => {
                    rows_of.push(String::from_utf8_lossy(&row).into_owned());
                }
                CallerPart::End(end) => return Some(end),
            }
        }
        None
    };
    let end = tokio::select! {
        biased;
        end = work => end,
        _ = target.phase.wait_for(|phase| *phase != InstancePhase::Running) => None,
    };
    let is_cut = end.is_none() && *target.phase.borrow() == InstancePhase::Stopped;
    CallerAnswer { rows, end, is_cut }
}

impl CallerAnswer {
    fn outcome(&self) -> Option<RequestOutcome> {
        self.end.as_ref().map(|end| end.outcome)
    }
}

fn row_number(row: &str) -> u64 {
    let value = row
        .split("\"value\":\"")
        .nth(1)
        .and_then(|rest| rest.split('"').next());
    value.and_then(|value| value.parse().ok()).unwrap_or(0)
}
