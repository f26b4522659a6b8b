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

use async_trait::async_trait;
use bytes::Bytes;
use prost::Message;

use heatherhollow_control::GroupSettings;
use heatherhollow_control::LiveView;
use heatherhollow_control::PermitAction;
use heatherhollow_control::PermitKey;
use heatherhollow_control::PermitTable;
use heatherhollow_control::TargetSettings;
use heatherhollow_control::permit_holder;
use heatherhollow_failover::rank_of;
use heatherhollow_limits::QueueSettings;
use heatherhollow_limits::RetryBudget;
use heatherhollow_limits::RetrySettings;
use heatherhollow_ports::AnswerPart;
use heatherhollow_ports::AnswerStream;
use heatherhollow_ports::CallStep;
use heatherhollow_ports::ClockPort;
use heatherhollow_ports::PeerCall;
use heatherhollow_ports::PeerError;
use heatherhollow_ports::PeerHandler;
use heatherhollow_ports::PeerPort;
use heatherhollow_ports::StorePort;
use heatherhollow_ports::TargetPort;
use heatherhollow_routing::RoutePolicy;
use heatherhollow_session::TokenCodec;
use heatherhollow_types::CandidateId;
use heatherhollow_types::DataCentre;
use heatherhollow_types::FailureReason;
use heatherhollow_types::GroupName;
use heatherhollow_types::Incarnation;
use heatherhollow_types::InstanceName;
use heatherhollow_types::PermitNumber;
use heatherhollow_types::RefusalReason;
use heatherhollow_types::RegionName;
use heatherhollow_types::RequestOutcome;
use heatherhollow_types::RetryReason;
use heatherhollow_types::ServiceName;
use heatherhollow_types::TargetIndex;
use heatherhollow_types::TeamName;
use heatherhollow_types::UnknownReason;

use crate::call::CallAction;
use crate::call::EndNote;
use crate::call::ExecuteCall;
use crate::call::ForwardedCall;
use crate::call::ServiceCall;
use crate::execute::EndedStream;
use crate::execute::REFUSED_RETRY;
use crate::execute::run_in_lane;
use crate::group::GroupHost;
use crate::group::GroupNews;
use crate::group::GroupParts;
use crate::group::GroupRunner;
use crate::group::GroupTiming;
use crate::lane::LaneSettings;
use crate::lane::LaneWatcher;
use crate::lane::TargetLane;
use crate::metrics::ProxyMetrics;
use crate::news::NodeNews;
use crate::settings::SettingsKeeper;
use crate::table::DeclaredGroup;
use crate::table::DeclaredService;
use crate::table::ServiceTable;
use crate::transactions::OpenTransaction;
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

struct LaneEntry {
    team: TeamName,
    service: ServiceName,
    target: TargetIndex,
    lane: Arc<TargetLane>,
}

struct PermitState {
    table: PermitTable,
    previous: Option<LiveView>,
    /// Permits with a connection of this instance, also those that are lost while it is in use.
    in_use: Vec<PermitKey>,
}

/// The engine of one instance.
pub struct ProxyEngine {
    settings: EngineSettings,
    own: CandidateId,
    clock: Arc<dyn ClockPort>,
    targets: Arc<dyn TargetDirectory>,
    pub(crate) codec: TokenCodec,
    metrics: Arc<ProxyMetrics>,
    peers: OnceLock<Arc<dyn PeerPort>>,
    pub(crate) table: RwLock<Option<Arc<ServiceTable>>>,
    view: RwLock<ClusterView>,
    permits: Mutex<PermitState>,
    lanes: Mutex<Vec<LaneEntry>>,
    groups: Mutex<Vec<Arc<GroupRunner>>>,
    transactions: Arc<TransactionTable>,
    budget: Mutex<RetryBudget>,
    active_runs: AtomicUsize,
    pub(crate) streams: AtomicUsize,
    is_draining: AtomicBool,
    keeper: SettingsKeeper,
    itself: Weak<Self>,
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
        (
            self.streams.load(Ordering::Relaxed),
            self.transactions.count(),
        )
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

    fn announcement(&self) -> NodeNews {
        NodeNews::Announce(self.view().own().clone(), self.keeper.digest())
    }

    fn lock_permits(&self) -> std::sync::MutexGuard<'_, PermitState> {
        self.permits
            .lock()
            .expect("no holder of the permit lock panics")
    }

    fn lock_lanes(&self) -> std::sync::MutexGuard<'_, Vec<LaneEntry>> {
        self.lanes
            .lock()
            .expect("no holder of the lane list panics")
    }

    /// Works out anew which permits this instance holds.
    fn assign_permits(self: &Arc<Self>) {
        let Some(table) = self.table() else { return };
        let live = self.view().live();
        let permits = table
            .services()
            .iter()
            .map(|s| s.permits.clone())
            .collect::<Vec<_>>();
        let now = self.clock.now();
        let actions = {
            let mut state = self.lock_permits();
            let previous = state.previous.take();
            let topology = &table.topology;
            let actions = state
                .table
                .assign(&permits, &live, previous.as_ref(), topology, now);
            state.previous = Some(live);
            actions
        };
        self.apply_permit_actions(actions);
        self.update_lanes();
    }

    fn apply_permit_actions(self: &Arc<Self>, actions: Vec<PermitAction>) {
        let is_change = actions
            .iter()
            .any(|action| matches!(action, PermitAction::Use(_) | PermitAction::Close(_)));
        for action in actions {
            match action {
                PermitAction::Ask(peer, key) => self.send(&peer, &NodeNews::AskPermit(key)),
                PermitAction::GiveBack(peer, key) => self.send(&peer, &NodeNews::GivePermit(key)),
                // The table takes a held permit for lent until its connection is really closed.
                PermitAction::Use(key) => {
                    let mut state = self.lock_permits();
                    state.table.lend(&key);
                    if !state.in_use.contains(&key) {
                        state.in_use.push(key);
                    }
                }
                PermitAction::Close(_) => {}
            }
        }
        if is_change {
            self.update_lanes();
        }
    }

    pub(crate) fn send(&self, peer: &InstanceName, news: &NodeNews) {
        if let Some(peers) = self.peers.get() {
            peers.send_control(peer, news.encode());
        }
    }

    /// Gives each lane the permits that are held for it.
    fn update_lanes(self: &Arc<Self>) {
        let Some(table) = self.table() else { return };
        let held = self
            .lock_permits()
            .table
            .held()
            .cloned()
            .collect::<Vec<_>>();
        for service in table.services() {
            for (i, target) in service.group.settings.targets.iter().enumerate() {
                let work = service.permits.count.work_range();
                let permits = held
                    .iter()
                    .filter(|key| {
                        key.team == service.team
                            && key.service == service.settings.name
                            && key.target == target.name
                            && work.contains(&key.permit.0)
                    })
                    .map(|key| key.permit)
                    .collect::<Vec<_>>();
                self.set_lane_permits(service, TargetIndex(i as u16), &permits);
            }
        }
    }

    fn set_lane_permits(
        self: &Arc<Self>,
        service: &Arc<DeclaredService>,
        target: TargetIndex,
        permits: &[PermitNumber],
    ) {
        let found = self.find_lane(service, target);
        let lane = match found {
            Some(lane) => lane,
            None if permits.is_empty() => return,
            None => match self.make_lane(service, target) {
                Some(lane) => lane,
                None => return,
            },
        };
        lane.set_permits(permits);
    }

    fn find_lane(&self, service: &DeclaredService, target: TargetIndex) -> Option<Arc<TargetLane>> {
        let lanes = self.lock_lanes();
        let found = lanes.iter().find(|entry| {
            entry.target == target
                && entry.team == service.team
                && entry.service == service.settings.name
        });
        found.map(|entry| entry.lane.clone())
    }

    fn make_lane(
        self: &Arc<Self>,
        service: &Arc<DeclaredService>,
        target: TargetIndex,
    ) -> Option<Arc<TargetLane>> {
        let runner = self.runner(&service.group)?;
        let port = runner.target_port(target).clone();
        let weak = Arc::downgrade(&runner);
        let watcher: Weak<dyn LaneWatcher> = weak;
        let parallelism = usize::from(service.settings.slots_per_target.max(1));
        let queue = QueueSettings {
            parallelism,
            ..self.settings.lane.queue.clone()
        };
        let settings = LaneSettings {
            queue,
            ..self.settings.lane.clone()
        };
        let lane = TargetLane::new(
            service.settings.name.clone(),
            self.own.instance.clone(),
            port,
            self.clock.clone(),
            watcher,
            settings,
        );
        let entry = LaneEntry {
            team: service.team.clone(),
            service: service.settings.name.clone(),
            target,
            lane: lane.clone(),
        };
        self.lock_lanes().push(entry);
        Some(lane)
    }

    /// Gives back lost permits whose connection has been closed.
    fn finish_releases(self: &Arc<Self>) {
        let lost = {
            let state = self.lock_permits();
            let lost = state.in_use.iter().filter(|key| !state.table.is_held(key));
            lost.cloned().collect::<Vec<_>>()
        };
        let Some(table) = self.table() else { return };
        for key in lost {
            if self.is_permit_used(&table, &key) {
                continue;
            }
            let actions = {
                let mut state = self.lock_permits();
                state.in_use.retain(|other| *other != key);
                state.table.give_back(&key)
            };
            self.apply_permit_actions(actions);
        }
    }

    fn is_permit_used(&self, table: &ServiceTable, key: &PermitKey) -> bool {
        let Some(service) = table.service(&key.team, &key.service) else {
            return false;
        };
        let Some(target) = service.group.settings.target_index(&key.target) else {
            return false;
        };
        self.find_lane(service, target)
            .is_some_and(|lane| lane.uses_permit(key.permit))
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

    /// Stops the runners of groups that are not declared as they were.
    fn drop_changed_groups(&self, table: &ServiceTable) {
        let mut groups = self
            .groups
            .lock()
            .expect("no holder of the group list panics");
        groups.retain(|runner| {
            let declared = table.group(runner.name());
            let is_same =
                declared.is_some_and(|group| group.settings.targets == runner.settings().targets);
            if !is_same {
                runner.stop();
            }
            is_same
        });
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

    fn view_changed(self: &Arc<Self>) {
        self.assign_permits();
        self.start_observers();
    }

    /// Runs a call at a target: here if this instance holds connections to it, else at a holder.
    pub(crate) async fn execute(
        self: &Arc<Self>,
        service: &Arc<DeclaredService>,
        runner: &Arc<GroupRunner>,
        call: ExecuteCall,
    ) -> Box<dyn AnswerStream> {
        let is_read = call.call.is_read_only;
        let target = call.target;
        runner.load(target).call_started(is_read);
        let started = self.clock.now();
        let stream = self.execute_anywhere(service, call).await;
        Box::new(CountedStream {
            stream,
            runner: runner.clone(),
            target,
            is_read,
            started,
        })
    }

    async fn execute_anywhere(
        self: &Arc<Self>,
        service: &Arc<DeclaredService>,
        call: ExecuteCall,
    ) -> Box<dyn AnswerStream> {
        if self
            .find_lane(service, call.target)
            .is_some_and(|lane| lane.has_permits())
        {
            return self.execute_here(service, call).await;
        }
        let is_read = call.call.is_read_only;
        let deadline = call.deadline;
        let holders = self.holders(service, call.target);
        let body = ForwardedCall::Execute(call).encode();
        for holder in holders {
            match self.call_peer(&holder, body.clone(), deadline).await {
                Ok(stream) => return stream,
                Err(PeerError::NotSent) => self.metrics.record_retry(RetryReason::NotSent),
                Err(PeerError::LinkLost | PeerError::Timeout) if is_read => {
                    let outcome = RequestOutcome::Failed(FailureReason::Interrupted);
                    return EndedStream::boxed(outcome);
                }
                Err(PeerError::LinkLost | PeerError::Timeout) => {
                    let reason = UnknownReason::ConnectionLost;
                    return EndedStream::boxed(RequestOutcome::Unknown(reason));
                }
            }
        }
        EndedStream::refused(RefusalReason::Unreachable, REFUSED_RETRY)
    }

    /// Instances that hold permits for a target, by this instance's view.
    fn holders(&self, service: &DeclaredService, target: TargetIndex) -> Vec<InstanceName> {
        let Some(table) = self.table() else {
            return Vec::new();
        };
        let live = self.view().live();
        let mut holders = service
            .permits
            .count
            .work_range()
            .filter_map(|permit| {
                let permit = PermitNumber(permit);
                permit_holder(&service.permits, target, permit, &live, &table.topology).cloned()
            })
            .filter(|holder| *holder != self.own.instance)
            .collect::<Vec<_>>();
        holders.dedup();
        if !holders.is_empty() {
            // Spreads the calls over the holders.
            let shift = self.streams.load(Ordering::Relaxed) % holders.len();
            holders.rotate_left(shift);
        }
        holders
    }

    pub(crate) async fn call_peer(
        &self,
        peer: &InstanceName,
        body: Bytes,
        deadline: heatherhollow_types::MonoTime,
    ) -> Result<Box<dyn AnswerStream>, PeerError> {
        let peers = self.peers.get().ok_or(PeerError::NotSent)?;
        let time_left = deadline - self.clock.now();
        peers.call(peer, PeerCall { body, time_left }).await
    }

    /// Runs a call on a connection of this instance.
    async fn execute_here(
        self: &Arc<Self>,
        service: &Arc<DeclaredService>,
        call: ExecuteCall,
    ) -> Box<dyn AnswerStream> {
        let Some(lane) = self.find_lane(service, call.target) else {
            return EndedStream::refused(RefusalReason::Unreachable, REFUSED_RETRY);
        };
        let is_begin = call.call.step == CallStep::Begin;
        if is_begin && !self.may_open_transaction(service, call.target, &lane) {
            return EndedStream::refused(RefusalReason::TooMany, REFUSED_RETRY);
        }
        let (target, term) = (call.target, call.call.term.unwrap_or_default());
        let team = call.team.clone();
        match run_in_lane(&lane, call, self.clock.clone()).await {
            Err(outcome) => EndedStream::boxed(outcome),
            Ok(stream) if !is_begin => Box::new(stream),
            Ok(mut stream) => {
                let mut end = loop {
                    match stream.next_part().await {
                        Some(AnswerPart::End(end)) => break end,
                        Some(_) => {}
                        None => {
                            let reason = FailureReason::RolledBack;
                            return EndedStream::boxed(RequestOutcome::Failed(reason));
                        }
                    }
                };
                if end.outcome == RequestOutcome::Done
                    && let Some(mut lent) = stream.take_connection()
                {
                    lent.mark_clean(false);
                    let transaction = OpenTransaction {
                        team,
                        service: service.settings.name.clone(),
                        target,
                        term,
                        lent,
                        idle_limit: service.settings.idle_transaction_limit(),
                    };
                    let id = self.transactions.insert(transaction, self.clock.now());
                    let note = EndNote {
                        transaction: id.to_string(),
                        ..EndNote::default()
                    };
                    end.extra = note.encode_to_vec();
                }
                EndedStream::of(end)
            }
        }
    }

    /// Leaves at least one connection of a lane to single writes and reads, if it has two or more.
    fn may_open_transaction(
        &self,
        service: &DeclaredService,
        target: TargetIndex,
        lane: &TargetLane,
    ) -> bool {
        let permits = lane.counts().0.permits;
        let limit = permits.saturating_sub(1).max(1);
        self.transactions
            .count_at(&service.team, &service.settings.name, target)
            < limit
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

#[async_trait]
impl PeerHandler for ProxyEngine {
    async fn handle_call(&self, _from: &InstanceName, call: PeerCall) -> Box<dyn AnswerStream> {
        let Some(engine) = self.itself.upgrade() else {
            return EndedStream::refused(RefusalReason::Draining, Duration::ZERO);
        };
        let now = self.clock.now();
        match ForwardedCall::decode(&call.body, now, now + call.time_left) {
            Ok(ForwardedCall::Service(call)) => engine.coordinate(call).await,
            Ok(ForwardedCall::Execute(call)) => {
                let table = engine.table();
                let service = table.and_then(|t| t.service(&call.team, &call.service).cloned());
                match service {
                    Some(service) => engine.execute_here(&service, call).await,
                    None => EndedStream::refused(RefusalReason::UnknownService, Duration::ZERO),
                }
            }
            Err(error) => {
                log::warn!("peer_call_malformed error=\"{error}\"");
                EndedStream::refused(RefusalReason::BadRequest, Duration::ZERO)
            }
        }
    }

    fn handle_control(&self, from: &InstanceName, message: Bytes) {
        let Some(engine) = self.itself.upgrade() else {
            return;
        };
        match NodeNews::decode(&message) {
            Some(NodeNews::Announce(member, digest)) if member.instance == *from => {
                engine.keeper.take_digest(&engine, from, digest);
                let is_changed = self
                    .view
                    .write()
                    .expect("no holder of the view lock panics")
                    .announce(member);
                if is_changed {
                    engine.view_changed();
                }
            }
            Some(NodeNews::Group(group, news)) => engine.take_group_news(from, &group, &news),
            Some(NodeNews::AskPermit(key)) => {
                let actions = self.lock_permits().table.asked(from, &key);
                engine.apply_permit_actions(actions);
            }
            Some(NodeNews::GivePermit(key)) => {
                let actions = self.lock_permits().table.given_back(&key, self.clock.now());
                engine.apply_permit_actions(actions);
            }
            Some(NodeNews::Control(body)) => engine.keeper.take_message(&engine, from, &body),
            Some(NodeNews::Announce(..)) | None => {}
        }
    }

    fn link_changed(&self, peer: &InstanceName, is_up: bool) {
        let Some(engine) = self.itself.upgrade() else {
            return;
        };
        log::info!("peer_link_changed peer={peer} up={is_up}");
        if is_up {
            self.send(peer, &self.announcement());
            self.keeper.link_up(&engine, peer);
        }
        let is_changed = {
            let mut view = self
                .view
                .write()
                .expect("no holder of the view lock panics");
            view.set_connected(peer, is_up)
        };
        if is_changed {
            engine.view_changed();
        }
    }
}

impl ProxyEngine {
    fn take_group_news(self: &Arc<Self>, from: &InstanceName, name: &GroupName, news: &GroupNews) {
        let groups = self
            .groups
            .lock()
            .expect("no holder of the group list panics");
        let found = groups.binary_search_by(|runner| runner.name().cmp(name));
        let Ok(i) = found else { return };
        let runner = groups[i].clone();
        drop(groups);
        let view = self.view();
        if let Some(member) = view.member(from) {
            runner.take_news(from, &member.data_centre, news);
        }
    }
}

/// The engine as the runners of its groups see it; does not keep it alive.
struct EngineHost(Weak<ProxyEngine>);

impl EngineHost {
    fn observers(
        &self,
        engine: &ProxyEngine,
        group: &GroupName,
        centres: &[DataCentre],
    ) -> Vec<InstanceName> {
        let table = engine.table();
        let declared = table.as_ref().and_then(|table| table.group(group));
        declared.map_or_else(Vec::new, |declared| {
            engine
                .view()
                .observers(&declared.team, &declared.settings.name, centres)
        })
    }
}

impl GroupHost for EngineHost {
    fn observer_rank(&self, group: &GroupName, centres: &[DataCentre]) -> Option<usize> {
        let engine = self.0.upgrade()?;
        let observers = self.observers(&engine, group, centres);
        rank_of(group, &engine.own.instance, &observers)
    }

    fn tell_observers(&self, group: &GroupName, centres: &[DataCentre], news: GroupNews) {
        let Some(engine) = self.0.upgrade() else {
            return;
        };
        let news = NodeNews::Group(group.clone(), news);
        for observer in self.observers(&engine, group, centres) {
            if observer != engine.own.instance {
                engine.send(&observer, &news);
            }
        }
    }

    fn active_runs(&self) -> usize {
        self.0
            .upgrade()
            .map_or(0, |engine| engine.active_runs.load(Ordering::Relaxed))
    }

    fn run_started(&self) {
        if let Some(engine) = self.0.upgrade() {
            engine.active_runs.fetch_add(1, Ordering::Relaxed);
        }
    }

    fn run_ended(&self) {
        if let Some(engine) = self.0.upgrade() {
            engine.active_runs.fetch_sub(1, Ordering::Relaxed);
        }
    }

    fn target_lost(&self, group: &GroupName, target: TargetIndex) {
        let Some(engine) = self.0.upgrade() else {
            return;
        };
        let Some(table) = engine.table() else { return };
        for service in table.services() {
            if service.group.full_name == *group
                && let Some(lane) = engine.find_lane(service, target)
            {
                lane.refuse_waiting(RefusalReason::Unreachable);
            }
        }
    }
}

/// Counts a call as under way until its answer has ended.
struct CountedStream {
    stream: Box<dyn AnswerStream>,
    runner: Arc<GroupRunner>,
    target: TargetIndex,
    is_read: bool,
    started: heatherhollow_types::MonoTime,
}

#[async_trait]
impl AnswerStream for CountedStream {
    async fn next_part(&mut self) -> Option<AnswerPart> {
        self.stream.next_part().await
    }
}

impl Drop for CountedStream {
    fn drop(&mut self) {
        let took = self.runner.clock().now().since(self.started);
        self.runner.load(self.target).call_ended(self.is_read, took);
    }
}
