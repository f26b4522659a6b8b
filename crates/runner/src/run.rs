//! The main loop of an instance.
//!
//! Tasks for clients, targets, links, the store and the promotion duty send events to one channel.
//! The loop passes them to the gateway, which does no I/O, and performs the actions that it
//! returns. After a signal to stop, the loop closes idle sessions until none is left or the grace
//! period is over.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use displaydoc::Display;
use log::info;
use tokio::net::TcpListener;
use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::sync::mpsc::Sender;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::mpsc::error::TrySendError;
use tokio::sync::mpsc::unbounded_channel;
use tokio::sync::watch;
use tokio::time::sleep;

use heatherhollow_gateway::ClientId;
use heatherhollow_gateway::ConnectionId;
use heatherhollow_gateway::GatewayAction;
use heatherhollow_gateway::GatewayEvent;
use heatherhollow_gateway::GatewaySettings;
use heatherhollow_gateway::SessionGateway;
use heatherhollow_gateway::StatusFormat;
use heatherhollow_gateway::TargetEntry;
use heatherhollow_ports::StorePort;
use heatherhollow_types::MonoTime;

use crate::client_limiter::ClientLimiter;
use crate::client_limiter::CloseReason;
use crate::client_output::ANSWER_OVERHEAD;
use crate::clients::ClientIdGenerator;
use crate::clients::ClientParts;
use crate::clients::RunnerEvent;
use crate::clients::accept_clients;
use crate::clock;
use crate::duty::PromotionDuty;
use crate::event_queue::EventReceivers;
use crate::event_queue::MAX_EVENT_BATCH;
use crate::formats::CatalogFormat;
use crate::formats::PromotionPort;
use crate::formats::StoreValue;
use crate::formats::WireFormat;
use crate::group_sizes::store_size;
use crate::known_readers::KnownReaders;
use crate::link_table::LinkTable;
use crate::links::LinkId;
use crate::links::accept_links;
use crate::membership::MemberValue;
use crate::membership::maintain_entry;
use crate::metrics::MetricsRecorder;
use crate::metrics::RunnerMetrics;
use crate::mirror::StoreMirror;
use crate::readers::ReaderPlaces;
use crate::settings::InstanceSettings;
use crate::status::StatusPage;
use crate::status::serve_status;
use crate::targets::run_connection;
use crate::watch::StoreWatch;
use crate::watch::WatchParts;

/// The settings and platform interfaces of an instance.
pub struct RunnerParts {
    /// Settings of the instance.
    pub settings: InstanceSettings,
    /// Settings of the gateway.
    pub gateway: GatewaySettings,
    /// Line protocol of clients and targets.
    pub wire: Arc<dyn WireFormat>,
    /// Format of the store's values.
    pub catalog: Arc<dyn CatalogFormat>,
    /// Format of status rows.
    pub status: Arc<dyn StatusFormat>,
    /// The store.
    pub store: Arc<dyn StorePort>,
    /// The platform's interface for promotions.
    pub promotions: Arc<dyn PromotionPort>,
    /// Called when the settings file may have changed.
    pub on_reload: Box<dyn Fn()>,
}

/// Reasons why an instance cannot start.
#[derive(Debug, Display)]
pub enum RunError {
    /// cannot listen on {0}: {1}
    Listen(SocketAddr, io::Error),
    /// cannot install signal handlers: {0}
    Signals(io::Error),
}

impl std::error::Error for RunError {}

/// Interval at which idle sessions are closed during a stop.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Time before the end of the grace period at which the process ends even with open sessions, so
/// that the kernel can still send the answers that were written.
const EXIT_RESERVE: Duration = Duration::from_millis(600);

/// Number of times that events of waiting connections are collected before idle sessions are closed
/// during a stop. Clients that send without end must not delay the stop.
const MAX_STOP_PASSES: usize = 8;

/// A connected client.
struct ClientHandle {
    id: ClientId,
    answers: Sender<Bytes>,
    /// Whether the answer to the start of the session has been sent.
    is_started: bool,
}

/// A connection to a target.
struct TargetHandle {
    id: ConnectionId,
    calls: UnboundedSender<Bytes>,
}

/// The state of the main loop.
struct MainLoop {
    parts: RunnerParts,
    gateway: SessionGateway,
    events: UnboundedSender<RunnerEvent>,
    /// Sorted by id.
    clients: Vec<ClientHandle>,
    /// Sorted by id.
    targets: Vec<TargetHandle>,
    limiter: Arc<ClientLimiter>,
    links: LinkTable,
    /// Set to true at the start of a stop, for the tasks that keep the instance's entries in the
    /// store.
    leaving: watch::Sender<bool>,
    duty: Arc<PromotionDuty>,
    page: Arc<StatusPage>,
    stop_started_at: Option<MonoTime>,
}

/// Runs an instance until a signal stops it.
///
/// Returns an error if an address cannot be bound or signal handlers cannot be installed.
pub async fn run(parts: RunnerParts) -> Result<(), RunError> {
    let mut signals = SignalSet::new().map_err(RunError::Signals)?;
    let clients = listen(parts.settings.client_listen).await?;
    let status = listen(parts.settings.status_listen).await?;
    let metrics = Arc::new(RunnerMetrics::default());
    let page = Arc::new(StatusPage {
        is_ready: AtomicBool::new(false),
        metrics: metrics.clone(),
        ready_path: parts.settings.ready_path.clone(),
        metrics_path: parts.settings.metrics_path.clone(),
    });
    let (mut incoming, client_events, events) = EventReceivers::new();
    let limiter = ClientLimiter::new(parts.settings.client_limits, metrics.clone());
    let limiter = Arc::new(limiter);
    let settings = &parts.settings;
    info!(
        "instance_started instance={} data_centre={} clients={} status={}",
        settings.identity.name,
        settings.identity.data_centre,
        settings.client_listen,
        settings.status_listen
    );
    tokio::spawn(serve_status(status, page.clone()));
    let ids = ClientIdGenerator::default();
    let client_parts = ClientParts {
        format: parts.wire.clone(),
        ids: ids.clone(),
        limiter: limiter.clone(),
        timeouts: settings.client_timeouts,
        events: client_events,
    };
    tokio::spawn(accept_clients(clients, client_parts));
    let links = listen(parts.settings.link_listen).await?;
    let link_address = links
        .local_addr()
        .map_err(|error| RunError::Listen(settings.link_listen, error))?;
    tokio::spawn(accept_links(links, events.clone()));
    let name = settings.identity.name.clone();
    let (leaving, is_leaving) = watch::channel(false);
    let mirror = Arc::new(StoreMirror::default());
    let reader = settings.reader_value(link_address);
    let known = Arc::new(KnownReaders::new(settings.place_scope(), reader));
    let watch = StoreWatch::new(WatchParts {
        store: parts.store.clone(),
        format: parts.catalog.clone(),
        events: events.clone(),
        places: ReaderPlaces {
            store: parts.store.clone(),
            known: known.clone(),
            lease: settings.reader_lease,
            is_leaving: is_leaving.clone(),
            mirror: mirror.clone(),
            revocation_limit: settings.revocation_limit,
        },
        known: known.clone(),
        mirror: mirror.clone(),
        wait: settings.watch_wait(),
        revocation_limit: settings.revocation_limit,
    });
    tokio::spawn(watch.run());
    let member = MemberValue {
        address: link_address,
        data_centre: settings.identity.data_centre.clone(),
        capacity: settings.capacity,
    };
    tokio::spawn(maintain_entry(
        parts.store.clone(),
        name.clone(),
        member,
        settings.member_lease,
        is_leaving,
    ));
    let holder = format!("{name} run {:016x}", rand::random::<u64>());
    let duty = PromotionDuty::new(parts.store.clone(), holder, settings.duty_lease);
    let gateway = SessionGateway::new(
        parts.gateway.clone(),
        settings.identity.clone(),
        parts.status.clone(),
        Box::new(MetricsRecorder(metrics)),
    );
    let shared_readers = parts.settings.revocation_limit.map(|_| known);
    let mut main = MainLoop {
        gateway,
        events,
        clients: Vec::new(),
        targets: Vec::new(),
        limiter,
        links: LinkTable::new(ids, mirror, shared_readers),
        leaving,
        duty: Arc::new(duty),
        page,
        stop_started_at: None,
        parts,
    };
    main.run(&mut incoming, &mut signals).await;
    info!("instance_stopped sessions={}", main.clients.len());
    Ok(())
}

async fn listen(address: SocketAddr) -> Result<TcpListener, RunError> {
    TcpListener::bind(address)
        .await
        .map_err(|error| RunError::Listen(address, error))
}

/// The signals that the main loop handles.
struct SignalSet {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl SignalSet {
    fn new() -> io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hangup: signal(SignalKind::hangup())?,
        })
    }
}

impl MainLoop {
    async fn run(&mut self, incoming: &mut EventReceivers, signals: &mut SignalSet) {
        let mut batch = Vec::with_capacity(2 * MAX_EVENT_BATCH);
        let mut next_tick = clock::now();
        loop {
            let now = clock::now();
            if now >= next_tick {
                self.handle_gateway_event(GatewayEvent::Tick, now);
                self.update_status();
                next_tick = self.gateway.next_tick(now);
                if self.stop_started_at.is_some() {
                    next_tick = next_tick.min(now + STOP_POLL_INTERVAL);
                    // A query in the channel makes its session busy, so these events come before
                    // the idle sessions are closed.
                    self.handle_waiting_events(incoming, &mut batch, now).await;
                    if self.continue_stop(now) {
                        return;
                    }
                }
            }
            // An event since the last tick may have scheduled work before `next_tick`.
            let wait = next_tick
                .min(self.gateway.next_tick(now))
                .since(clock::now());
            tokio::select! {
                biased;
                _ = signals.terminate.recv() => self.begin_stop(),
                _ = signals.interrupt.recv() => self.begin_stop(),
                _ = signals.hangup.recv() => {
                    info!("reload_requested");
                    (self.parts.on_reload)();
                }
                _ = sleep(wait) => next_tick = next_tick.min(clock::now()),
                () = incoming.receive(&mut batch) => {
                    if batch.is_empty() {
                        return;
                    }
                    let now = clock::now();
                    for event in batch.drain(..) {
                        self.handle_runner_event(event, now);
                    }
                    if self.may_close_sessions(now) {
                        // Ticks after every batch: a session with a steady flow of queries is idle
                        // only between an answer and the next query, and would otherwise stay open
                        // until the end of the grace period cuts it off.
                        next_tick = now;
                    }
                }
            }
        }
    }

    /// Handles the events in the channels, and those of connections that wait because the channel
    /// of clients is full.
    async fn handle_waiting_events(
        &mut self,
        incoming: &mut EventReceivers,
        batch: &mut Vec<RunnerEvent>,
        now: MonoTime,
    ) {
        for _ in 0..MAX_STOP_PASSES {
            let is_full = incoming.is_full();
            incoming.add_waiting(batch);
            while !batch.is_empty() {
                for event in batch.drain(..) {
                    self.handle_runner_event(event, now);
                }
                incoming.add_waiting(batch);
            }
            if !is_full {
                return;
            }
            tokio::task::yield_now().await;
        }
    }

    fn handle_runner_event(&mut self, event: RunnerEvent, now: MonoTime) {
        match event {
            RunnerEvent::ClientConnected(id, answers) => {
                self.clients.push(ClientHandle {
                    id,
                    answers,
                    is_started: false,
                });
                self.handle_gateway_event(GatewayEvent::ClientOpened(id), now);
            }
            RunnerEvent::Link(event) => {
                let wire = self.parts.wire.clone();
                for event in self.links.handle_event(event, &*wire) {
                    self.handle_gateway_event(event, now);
                }
            }
            RunnerEvent::ReadersWanted(instances) => {
                self.links.request_readers(instances, &self.events);
            }
            RunnerEvent::Gateway(event) => {
                let mut ended_client = None;
                match &event {
                    GatewayEvent::ClientClosed(id) => {
                        self.remove_client(*id);
                        ended_client = Some(*id);
                    }
                    GatewayEvent::TargetClosed { connection, .. } => {
                        self.remove_target(*connection);
                    }
                    _ => {}
                }
                self.handle_gateway_event(event, now);
                // Only now does the gateway hold none of the client's statements.
                if let Some(client) = ended_client {
                    self.limiter.remove(client);
                }
            }
        }
    }

    fn handle_gateway_event(&mut self, event: GatewayEvent, now: MonoTime) {
        let actions = self.gateway.handle(event, now);
        for action in actions {
            self.perform_action(action);
        }
    }

    fn perform_action(&mut self, action: GatewayAction) {
        match action {
            GatewayAction::AnswerClient { client, answer } if self.links.is_forwarded(client) => {
                self.links.send_answer(client, answer);
            }
            GatewayAction::SendHome {
                home,
                address,
                client,
                message,
            } => {
                let events = &self.events;
                self.links
                    .send_to_home(home, address, client, message, events);
            }
            GatewayAction::ProbeHome { home, address } => {
                self.links.ping_home(home, address, &self.events);
            }
            GatewayAction::RequestQuota {
                instance,
                address,
                request,
            } => {
                let events = &self.events;
                self.links
                    .request_quota(instance, address, &request, events);
            }
            GatewayAction::AnswerQuota {
                link,
                number,
                tenant,
                grant,
            } => self
                .links
                .answer_quota(LinkId(link), number, &tenant, grant),
            GatewayAction::AnswerClient { client, answer } => {
                let wire = self.parts.wire.clone();
                let limiter = self.limiter.clone();
                let session_bytes = self.gateway.session_bytes(client);
                let Some(handle) = self.client(client) else {
                    return;
                };
                let mut out = String::new();
                if handle.is_started {
                    wire.encode_answer(&answer, &mut out);
                } else {
                    handle.is_started = true;
                    limiter.mark_started(client);
                    wire.encode_ready(&mut out);
                }
                let cost = out.len() + ANSWER_OVERHEAD;
                if limiter.reserve_answer(client, cost, session_bytes) {
                    let sent = handle.answers.try_send(Bytes::from(out));
                    // Sending also fails if the connection has ended; its task reports that.
                    if let Err(TrySendError::Full(_)) = sent {
                        limiter.close(client, CloseReason::Memory);
                    }
                }
            }
            GatewayAction::RejectClient { client, error } => {
                let mut out = String::new();
                self.parts.wire.encode_rejection(&error, &mut out);
                if let Some(handle) = self.client(client) {
                    // Sending fails if the connection has ended.
                    let _is_received = handle.answers.try_send(Bytes::from(out)).is_ok();
                }
                self.remove_client(client);
            }
            GatewayAction::CloseClient(client) => self.remove_client(client),
            GatewayAction::OpenTarget {
                connection,
                address,
                timeout,
            } => {
                let (calls, outgoing) = unbounded_channel();
                self.targets.push(TargetHandle {
                    id: connection,
                    calls,
                });
                tokio::spawn(run_connection(
                    connection,
                    address,
                    timeout,
                    self.parts.wire.clone(),
                    outgoing,
                    self.events.clone(),
                ));
            }
            GatewayAction::CallTarget { connection, call } => {
                let mut out = String::new();
                self.parts.wire.encode_call(&call, &mut out);
                let found = self
                    .targets
                    .binary_search_by_key(&connection, |handle| handle.id);
                if let Ok(i) = found {
                    send_text(&self.targets[i].calls, out);
                }
            }
            GatewayAction::CloseTarget(connection) => self.remove_target(connection),
            GatewayAction::StoreGroupSize {
                group,
                previous,
                size,
            } => {
                let store = self.parts.store.clone();
                tokio::spawn(store_size(store, group, previous, size));
            }
            GatewayAction::AcquireDuty => {
                let duty = self.duty.clone();
                let events = self.events.clone();
                tokio::spawn(async move {
                    let answer = duty.acquire().await;
                    send_event(&events, GatewayEvent::DutyAnswered(answer));
                });
            }
            GatewayAction::ListTargets => {
                let store = self.parts.store.clone();
                let format = self.parts.catalog.clone();
                let events = self.events.clone();
                tokio::spawn(async move {
                    let asked_at = clock::now();
                    let entries = list_targets(&*store, &*format).await;
                    send_event(&events, GatewayEvent::TargetsListed { asked_at, entries });
                });
            }
            GatewayAction::ReleaseDuty => {
                let duty = self.duty.clone();
                tokio::spawn(async move { duty.release().await });
            }
            GatewayAction::OrderPromotion {
                group,
                target,
                token,
            } => {
                let duty = self.duty.clone();
                let promotions = self.parts.promotions.clone();
                let events = self.events.clone();
                tokio::spawn(async move {
                    let reply = duty.order(&*promotions, &group, &target, token).await;
                    send_event(&events, GatewayEvent::PromotionOrdered { group, reply });
                });
            }
        }
    }

    fn client(&mut self, id: ClientId) -> Option<&mut ClientHandle> {
        let found = self.clients.binary_search_by_key(&id, |handle| handle.id);
        found.ok().map(|i| &mut self.clients[i])
    }

    /// Drops the sender of a client. Its connection closes after the pending answers are written.
    fn remove_client(&mut self, id: ClientId) {
        if let Ok(i) = self.clients.binary_search_by_key(&id, |handle| handle.id) {
            self.clients.remove(i);
        }
    }

    fn remove_target(&mut self, id: ConnectionId) {
        if let Ok(i) = self.targets.binary_search_by_key(&id, |handle| handle.id) {
            self.targets.remove(i);
        }
    }

    fn update_status(&mut self) {
        let is_ready = self.gateway.is_ready();
        if self.page.is_ready.swap(is_ready, Ordering::Relaxed) != is_ready {
            info!("readiness_changed is_ready={is_ready}");
        }
        let sessions = i64::try_from(self.clients.len()).unwrap_or(i64::MAX);
        self.page.metrics.sessions.set(sessions);
        if let Some(age) = self.gateway.catalog_proof_age(clock::now()) {
            self.page.metrics.set_proof_age(age);
        }
        self.limiter.update_metrics();
    }

    fn begin_stop(&mut self) {
        if self.stop_started_at.is_none() {
            let now = clock::now();
            self.stop_started_at = Some(now);
            self.handle_gateway_event(GatewayEvent::StopRequested, now);
            self.update_status();
            self.links.send_leaving();
            // Sending fails only if the tasks that keep the entries have ended.
            let _is_received = self.leaving.send(true).is_ok();
        }
    }

    /// Returns whether a stop has begun and the platform and other instances have had time to
    /// notice.
    fn may_close_sessions(&self, now: MonoTime) -> bool {
        let grace = self.parts.settings.stop_grace;
        let notice = self.parts.settings.stop_notice.min(grace.mul_f64(0.4));
        self.stop_started_at
            .is_some_and(|start| now.since(start) >= notice)
    }

    /// Closes idle sessions; returns true once the process may end.
    fn continue_stop(&mut self, now: MonoTime) -> bool {
        let Some(start) = self
            .stop_started_at
            .filter(|_| self.may_close_sessions(now))
        else {
            return false;
        };
        let grace = self.parts.settings.stop_grace;
        let elapsed = now.since(start);
        let actions = self.gateway.close_idle_sessions(elapsed >= grace / 2);
        for action in actions {
            self.perform_action(action);
        }
        let is_over = elapsed + EXIT_RESERVE >= grace;
        (self.gateway.is_quiescent() && self.clients.is_empty()) || is_over
    }
}

/// Reads the entries of all targets; `None` if the store does not answer.
async fn list_targets(
    store: &dyn StorePort,
    format: &dyn CatalogFormat,
) -> Option<Vec<TargetEntry>> {
    let listed = store.list(format.targets_prefix()).await;
    let (entries, _) = listed
        .inspect_err(|error| info!("targets_not_listed error={:?}", error.to_string()))
        .ok()?;
    let targets =
        entries.iter().filter_map(
            |entry| match format.decode(&entry.path, Some(&entry.value)) {
                StoreValue::Target(target) => Some(target),
                _ => None,
            },
        );
    Some(targets.collect())
}

fn send_text(sender: &UnboundedSender<Bytes>, text: String) {
    // Sending fails if the connection has ended; its task reports that as an event.
    let _is_received = sender.send(Bytes::from(text)).is_ok();
}

fn send_event(events: &UnboundedSender<RunnerEvent>, event: GatewayEvent) {
    // Sending fails if the main loop has ended.
    let _is_received = events.send(RunnerEvent::Gateway(event)).is_ok();
}
