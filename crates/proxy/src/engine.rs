//! The engine of one instance: takes callers' requests, hands calls to the instances that coordinate
//! and run them, and serves the calls of its peers.
//!
//! Lock order: view, then permits, then lanes or groups, then a group's state, then a lane's state. No
//! lock is held across an await.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::OnceLock;
use std::sync::RwLock;
use std::sync::Weak;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use heatherhollow_control::GroupSettings;
use heatherhollow_control::PermitTable;
use heatherhollow_control::TargetSettings;
use heatherhollow_limits::RetryBudget;
use heatherhollow_limits::RetrySettings;
use heatherhollow_ports::AnswerStream;
use heatherhollow_ports::ClockPort;
use heatherhollow_ports::PeerPort;
use heatherhollow_ports::StorePort;
use heatherhollow_ports::TargetPort;
use heatherhollow_routing::RoutePolicy;
use heatherhollow_session::TokenCodec;
use heatherhollow_types::CandidateId;
use heatherhollow_types::DataCentre;
use heatherhollow_types::GroupName;
use heatherhollow_types::Incarnation;
use heatherhollow_types::InstanceName;
use heatherhollow_types::RefusalReason;
use heatherhollow_types::RegionName;
use heatherhollow_types::RetryReason;
use heatherhollow_types::TermNumber;

use crate::call::CallAction;
use crate::call::ServiceCall;
use crate::execute::EndedStream;
use crate::execute::REFUSED_RETRY;
use crate::group::GroupParts;
use crate::group::GroupRunner;
use crate::metrics::ProxyMetrics;
use crate::news::NodeNews;
use crate::peering::EngineHost;
use crate::settings::SettingsKeeper;
use crate::shares::LaneEntry;
use crate::shares::PermitState;
use crate::table::DeclaredGroup;
use crate::table::ServiceTable;
use crate::timing::GroupTiming;
use crate::timing::LaneSettings;
use crate::transactions::TransactionTable;
use crate::view::ClusterView;
use crate::view::MemberView;

/// Settings of a [`ProxyEngine`].
#[derive(Debug, Clone)]
pub struct EngineSettings {
    /// The instance.
    pub instance: InstanceName,
    /// Its run; higher than in any earlier run.
    pub incarnation: Incarnation,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Region of that data centre.
    pub region: RegionName,
    /// Whether it may hold connections to targets.
    pub can_hold: bool,
    /// Connections and queues.
    pub lane: LaneSettings,
    /// Observation of groups.
    pub group: GroupTiming,
    /// Routes of reads.
    pub policy: RoutePolicy,
    /// Retries.
    pub retry: RetrySettings,
    /// Longest wait for a primary.
    pub primary_wait: Duration,
    /// Longest time that a caller may leave an answer without taking a row.
    pub stall_limit: Duration,
    /// Interval of announcements and housekeeping.
    pub tick_interval: Duration,
    /// Most answers on their way at once.
    pub max_streams: usize,
    /// Seed of all jitter; none takes one from the system.
    pub jitter_seed: Option<u64>,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            instance: "instance-1".parse().expect("a valid name"),
            incarnation: Incarnation(1),
            data_centre: "local".parse().expect("a valid name"),
            region: "local".parse().expect("a valid name"),
            can_hold: true,
            lane: LaneSettings::default(),
            group: GroupTiming::default(),
            policy: RoutePolicy::default(),
            retry: RetrySettings::default(),
            primary_wait: Duration::from_secs(5),
            stall_limit: Duration::from_secs(30),
            tick_interval: Duration::from_millis(100),
            max_streams: 20_000,
            jitter_seed: None,
        }
    }
}

/// Gives access to targets.
pub trait TargetDirectory: Send + Sync {
    /// Access to a target, if there is any from this instance.
    fn target(&self, group: &GroupSettings, target: &TargetSettings)
    -> Option<Arc<dyn TargetPort>>;
}

/// Parts from which a [`ProxyEngine`] is made.
pub struct EngineParts {
    /// Settings.
    pub settings: EngineSettings,
    /// The clock.
    pub clock: Arc<dyn ClockPort>,
    /// Access to targets.
    pub targets: Arc<dyn TargetDirectory>,
    /// Keys of session tokens.
    pub codec: TokenCodec,
    /// Counters.
    pub metrics: Arc<ProxyMetrics>,
    /// The key-value service; without it settings come from peers or [`ProxyEngine::set_table`].
    pub store: Option<Arc<dyn StorePort>>,
}

/// The engine of one instance.
pub struct ProxyEngine {
    pub(crate) settings: EngineSettings,
    pub(crate) own: CandidateId,
    pub(crate) clock: Arc<dyn ClockPort>,
    pub(crate) targets: Arc<dyn TargetDirectory>,
    pub(crate) codec: TokenCodec,
    pub(crate) metrics: Arc<ProxyMetrics>,
    pub(crate) peers: OnceLock<Arc<dyn PeerPort>>,
    pub(crate) table: RwLock<Option<Arc<ServiceTable>>>,
    pub(crate) view: RwLock<ClusterView>,
    pub(crate) permits: Mutex<PermitState>,
    pub(crate) lanes: Mutex<Vec<LaneEntry>>,
    pub(crate) groups: Mutex<Vec<Arc<GroupRunner>>>,
    pub(crate) transactions: Arc<TransactionTable>,
    pub(crate) budget: Mutex<RetryBudget>,
    jitter: Mutex<SmallRng>,
    /// Highest term seen of each group, sorted by group; taken alone.
    pub(crate) terms: Mutex<Vec<(GroupName, TermNumber)>>,
    pub(crate) active_runs: AtomicUsize,
    pub(crate) streams: AtomicUsize,
    /// Calls of peers whose answers are on their way.
    pub(crate) served: AtomicUsize,
    pub(crate) is_draining: AtomicBool,
    pub(crate) keeper: SettingsKeeper,
    pub(crate) itself: Weak<Self>,
}

impl ProxyEngine {
    /// An engine without services and peers.
    pub fn new(parts: EngineParts) -> Arc<Self> {
        let EngineParts {
            settings,
            clock,
            targets,
            codec,
            metrics,
            store,
        } = parts;
        let own = CandidateId {
            instance: settings.instance.clone(),
            incarnation: settings.incarnation,
        };
        let member = MemberView {
            instance: settings.instance.clone(),
            incarnation: settings.incarnation,
            data_centre: settings.data_centre.clone(),
            region: settings.region.clone(),
            can_hold: settings.can_hold,
            is_leaving: false,
            is_connected: true,
        };
        let permits = PermitState {
            table: PermitTable::new(settings.instance.clone()),
            previous: None,
            in_use: Vec::new(),
        };
        Arc::new_cyclic(|itself| Self {
            transactions: Arc::new(TransactionTable::new(own.clone())),
            budget: Mutex::new(RetryBudget::new(settings.retry.clone())),
            terms: Mutex::new(Vec::new()),
            jitter: Mutex::new(match settings.jitter_seed {
                Some(seed) => SmallRng::seed_from_u64(seed),
                None => SmallRng::seed_from_u64(rand::random()),
            }),
            own,
            clock,
            targets,
            codec,
            metrics,
            peers: OnceLock::new(),
            table: RwLock::new(None),
            view: RwLock::new(ClusterView::new(member)),
            permits: Mutex::new(permits),
            lanes: Mutex::new(Vec::new()),
            groups: Mutex::new(Vec::new()),
            active_runs: AtomicUsize::new(0),
            streams: AtomicUsize::new(0),
            served: AtomicUsize::new(0),
            is_draining: AtomicBool::new(false),
            keeper: SettingsKeeper::new(&settings.instance, &settings.data_centre, store),
            itself: itself.clone(),
            settings,
        })
    }

    /// Sets the links to other instances; called once, before [`Self::start`].
    pub fn connect_peers(&self, peers: Arc<dyn PeerPort>) {
        assert!(self.peers.set(peers).is_ok(), "peers are set once");
    }

    /// Starts the housekeeping of the engine.
    pub fn start(self: &Arc<Self>) -> tokio::task::AbortHandle {
        self.keeper.start(self);
        let engine = Arc::downgrade(self);
        let clock = self.clock.clone();
        let interval = self.settings.tick_interval;
        let task = tokio::spawn(async move {
            let mut round = 0_u64;
            loop {
                clock.sleep(interval).await;
                let Some(engine) = engine.upgrade() else {
                    return;
                };
                engine.tick(round).await;
                round += 1;
            }
        });
        task.abort_handle()
    }

    /// Puts a table of services in force.
    pub fn set_table(self: &Arc<Self>, table: ServiceTable) {
        let table = Arc::new(table);
        *self
            .table
            .write()
            .expect("no holder of the table lock panics") = Some(table.clone());
        self.announce();
        self.drop_changed_groups(&table);
        self.assign_permits();
        self.start_observers();
    }

    /// The table in force.
    pub fn table(&self) -> Option<Arc<ServiceTable>> {
        self.table
            .read()
            .expect("no holder of the table lock panics")
            .clone()
    }

    /// Whether the instance can serve, or why not.
    pub fn readiness(&self) -> Result<(), RefusalReason> {
        if self.is_draining() {
            return Err(RefusalReason::Draining);
        }
        self.table()
            .map(|_| ())
            .ok_or(RefusalReason::SettingsUnavailable)
    }

    /// Counters.
    pub fn metrics(&self) -> &ProxyMetrics {
        &self.metrics
    }

    /// What this instance knows of the others.
    pub fn view(&self) -> ClusterView {
        self.view
            .read()
            .expect("no holder of the view lock panics")
            .clone()
    }

    pub(crate) fn keeper(&self) -> &SettingsKeeper {
        &self.keeper
    }

    pub(crate) fn clock(&self) -> &Arc<dyn ClockPort> {
        &self.clock
    }

    pub(crate) fn transactions(&self) -> &Arc<TransactionTable> {
        &self.transactions
    }

    pub(crate) fn policy(&self) -> &RoutePolicy {
        &self.settings.policy
    }

    pub(crate) fn primary_wait(&self) -> Duration {
        self.settings.primary_wait
    }

    pub(crate) fn stall_limit(&self) -> Duration {
        self.settings.stall_limit
    }

    pub(crate) fn max_streams(&self) -> usize {
        self.settings.max_streams
    }

    /// Counts a first try, which earns a part of a retry.
    pub(crate) fn record_request(&self) {
        self.budget
            .lock()
            .expect("no holder of the budget lock panics")
            .record_request();
    }

    /// Takes a retry from the budget.
    pub(crate) fn allow_retry(&self, reason: RetryReason) -> bool {
        let is_allowed = self
            .budget
            .lock()
            .expect("no holder of the budget lock panics")
            .try_retry();
        if is_allowed {
            self.metrics.record_retry(reason);
        } else {
            self.metrics.retries_denied.inc();
        }
        is_allowed
    }

    /// A random number, for jitter.
    pub(crate) fn random(&self) -> u64 {
        self.jitter
            .lock()
            .expect("no holder of the jitter lock panics")
            .next_u64()
    }

    /// Whether the instance is about to stop.
    pub fn is_draining(&self) -> bool {
        self.is_draining.load(Ordering::Relaxed)
    }

    /// Starts to stop: announces it and takes no new sessions.
    pub fn begin_drain(self: &Arc<Self>) {
        if self.is_draining.swap(true, Ordering::Relaxed) {
            return;
        }
        log::info!("drain_started instance={}", self.own.instance);
        self.view
            .write()
            .expect("no holder of the view lock panics")
            .set_leaving();
        self.announce();
        self.assign_permits();
    }

    /// Answers and transactions that a stop still waits for.
    pub fn open_work(&self) -> (usize, usize) {
        let own = self.streams.load(Ordering::Relaxed);
        let served = self.served.load(Ordering::Relaxed);
        (own + served, self.transactions.count())
    }

    /// Rolls back what is still open; returns the number of transactions.
    pub fn cut_transactions(&self) -> usize {
        self.transactions.remove_idle(self.clock.now(), true).len()
    }

    /// Stops everything at once, as the death of the process does.
    pub fn halt(&self) {
        for runner in self
            .groups
            .lock()
            .expect("no holder of the group list panics")
            .drain(..)
        {
            runner.stop();
        }
        self.lock_lanes().clear();
        self.cut_transactions();
    }

    async fn tick(self: &Arc<Self>, round: u64) {
        let now = self.clock.now();
        let idle = self.transactions.remove_idle(now, false);
        for transaction in &idle {
            log::info!(
                "transaction_rolled_back team={} service={} reason=idle",
                transaction.team,
                transaction.service
            );
        }
        drop(idle);
        self.metrics
            .transactions
            .set(self.transactions.count() as i64);
        self.metrics
            .streams
            .set(self.streams.load(Ordering::Relaxed) as i64);
        let actions = self.lock_permits().table.tick(now);
        if !actions.is_empty() {
            self.apply_permit_actions(actions);
        }
        self.leave_contested();
        self.finish_releases();
        if round.is_multiple_of(10) {
            self.announce();
            let lanes = self
                .lock_lanes()
                .iter()
                .map(|entry| entry.lane.clone())
                .collect::<Vec<_>>();
            for lane in lanes {
                tokio::spawn(async move { lane.check_idle().await });
            }
        }
    }

    fn announce(&self) {
        let Some(peers) = self.peers.get() else {
            return;
        };
        let message = self.announcement().encode();
        for peer in peers.connected() {
            peers.send_control(&peer, message.clone());
        }
    }

    pub(crate) fn announcement(&self) -> NodeNews {
        let mut member = self.view().own().clone();
        // Others must not hand calls to an instance that has no settings yet.
        member.can_hold &= self.table().is_some();
        NodeNews::Announce(member, self.keeper.digest())
    }

    pub(crate) fn send(&self, peer: &InstanceName, news: &NodeNews) {
        if let Some(peers) = self.peers.get() {
            peers.send_control(peer, news.encode());
        }
    }

    /// The runner of a group, started if it was not there; `None` if a target cannot be reached from
    /// this instance.
    pub(crate) fn runner(self: &Arc<Self>, group: &DeclaredGroup) -> Option<Arc<GroupRunner>> {
        let mut groups = self
            .groups
            .lock()
            .expect("no holder of the group list panics");
        let found = groups.binary_search_by(|runner| runner.name().cmp(&group.full_name));
        let at = match found {
            Ok(i) => return Some(groups[i].clone()),
            Err(i) => i,
        };
        let targets = &group.settings.targets;
        let ports = targets
            .iter()
            .map(|target| self.targets.target(&group.settings, target));
        let ports = ports.collect::<Option<Vec<_>>>()?;
        let table = self.table()?;
        let centre = &self.settings.data_centre;
        let is_near = targets
            .iter()
            .map(|t| t.data_centre == *centre || table.topology.same_region(&t.data_centre, centre))
            .collect();
        let mut settings = GroupSettings::clone(&group.settings);
        settings.name = group.full_name.clone();
        let runner = GroupRunner::new(GroupParts {
            settings: Arc::new(settings),
            own: self.own.clone(),
            own_centre: centre.clone(),
            ports,
            is_near,
            clock: self.clock.clone(),
            timing: self.settings.group.clone(),
            metrics: self.metrics.clone(),
            host: Arc::new(EngineHost(self.itself.clone())),
        });
        runner.start();
        groups.insert(at, runner.clone());
        Some(runner)
    }

    /// Stops the runners of groups whose targets are not declared as they were, and closes their
    /// connections. A target that is only marked as leaving changes nothing for calls under way.
    fn drop_changed_groups(&self, table: &ServiceTable) {
        let mut dropped = Vec::new();
        let mut groups = self
            .groups
            .lock()
            .expect("no holder of the group list panics");
        groups.retain(|runner| {
            let declared = table.group(runner.name());
            let is_same =
                declared.is_some_and(|group| has_same_targets(&group.settings, runner.settings()));
            match declared {
                Some(group) if is_same => runner.set_leaving(&group.settings),
                _ => {
                    runner.stop();
                    dropped.push(runner.name().clone());
                }
            }
            is_same
        });
        drop(groups);
        self.lock_lanes()
            .retain(|entry| !dropped.contains(&entry.group));
    }

    /// Starts to observe the groups that this instance is an observer of.
    fn start_observers(self: &Arc<Self>) {
        let Some(table) = self.table() else { return };
        let view = self.view();
        for group in table.groups() {
            let centres = group.settings.data_centres();
            let observers = view.observers(&group.team, &group.settings.name, &centres);
            if observers.contains(&self.own.instance) {
                self.runner(group);
            }
        }
    }

    pub(crate) fn view_changed(self: &Arc<Self>) {
        self.assign_permits();
        self.start_observers();
    }

    /// Coordinates a call to a service.
    pub(crate) async fn coordinate(self: &Arc<Self>, call: ServiceCall) -> Box<dyn AnswerStream> {
        let Some(table) = self.table() else {
            let retry_after = Duration::from_secs(1);
            return EndedStream::refused(RefusalReason::SettingsUnavailable, retry_after);
        };
        let Some(service) = table.service(&call.team, &call.service).cloned() else {
            return EndedStream::refused(RefusalReason::UnknownService, Duration::ZERO);
        };
        let Some(runner) = self.runner(&service.group) else {
            return EndedStream::refused(RefusalReason::Unreachable, REFUSED_RETRY);
        };
        runner.touch();
        match call.action.clone() {
            CallAction::Read(kind) => match service.settings.kind(&kind) {
                Some(kind) => self.coordinate_read(service.clone(), runner, call, kind.read_kind()),
                None => EndedStream::refused(RefusalReason::UnknownKind, Duration::ZERO),
            },
            CallAction::Write => self.coordinate_write(service, runner, call).await,
            CallAction::Begin => self.coordinate_begin(service, runner, call).await,
            CallAction::Step(id, step) => self.run_step(service, runner, call, &id, step).await,
        }
    }
}

/// Whether two declarations of a group have the same targets, apart from who is leaving.
fn has_same_targets(new: &GroupSettings, old: &GroupSettings) -> bool {
    let key = |target: &TargetSettings| {
        (
            target.name.clone(),
            target.data_centre.clone(),
            target.address,
        )
    };
    new.targets.iter().map(key).eq(old.targets.iter().map(key))
}
