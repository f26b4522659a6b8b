//! Links between the instances of one process.
//!
//! Every two instances that have joined are linked while the network lets messages through in both
//! directions. Like the real peer link, a link is checked every second and is down after three
//! checks without success; the peers of a killed instance learn of it after the network delay, if
//! they can be reached. The checks look at all pairs, which suits some dozens of instances.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::Weak;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::sleep_until;
use tokio::time::timeout;

use heatherhollow_ports::AnswerPart;
use heatherhollow_ports::AnswerStream;
use heatherhollow_ports::PeerCall;
use heatherhollow_ports::PeerError;
use heatherhollow_ports::PeerHandler;
use heatherhollow_ports::PeerPort;
use heatherhollow_types::DataCentre;
use heatherhollow_types::InstanceName;

use crate::network::CutDirection;
use crate::network::LinkEnd;
use crate::network::NetworkModel;
use crate::network::NetworkPoint;
use crate::sync::lock;

/// Time between two checks of a link (design page, decision 14).
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Checks without success after which a link is down (design page, decision 14).
const MAX_MISSED_CHECKS: u32 = 3;

/// Parts of an answer that are on their way; a caller that does not read them holds up the handler.
const ANSWER_WINDOW_PARTS: usize = 16;

/// Size of a message beside its text.
const MESSAGE_OVERHEAD_BYTES: usize = 32;

/// One run of an instance.
struct MemberRun {
    instance: InstanceName,
    point: NetworkPoint,
    handler: Arc<dyn PeerHandler>,
    is_killed: watch::Sender<bool>,
}

impl MemberRun {
    fn is_alive(&self) -> bool {
        !*self.is_killed.borrow()
    }

    async fn killed(&self) {
        let mut changes = self.is_killed.subscribe();
        // The sender lives as long as `self`, so waiting cannot fail.
        let _ = changes.wait_for(|is_killed| *is_killed).await;
    }
}

/// A link between two runs while it is up, or until its loss is noticed.
struct LinkSession {
    /// Both ends, sorted by instance.
    ends: [Arc<MemberRun>; 2],
    /// Control messages on their way to each end.
    control: [mpsc::UnboundedSender<(Instant, Bytes)>; 2],
    is_ended: watch::Sender<bool>,
}

impl LinkSession {
    fn connects(&self, one: &InstanceName, other: &InstanceName) -> bool {
        let [a, b] = &self.ends;
        (&a.instance, &b.instance) == (one, other) || (&b.instance, &a.instance) == (one, other)
    }

    fn has_run(&self, run: &Arc<MemberRun>) -> bool {
        self.ends.iter().any(|end| Arc::ptr_eq(end, run))
    }

    /// Index of the end that is not `run`.
    fn other_index(&self, run: &Arc<MemberRun>) -> usize {
        usize::from(Arc::ptr_eq(&self.ends[0], run))
    }

    async fn ended(&self) {
        let mut changes = self.is_ended.subscribe();
        // The sender lives as long as `self`, so waiting cannot fail.
        let _ = changes.wait_for(|is_ended| *is_ended).await;
    }

    /// Passes on control messages to one end, in their order.
    async fn pass_control(
        self: Arc<Self>,
        to: usize,
        network: Arc<NetworkModel>,
        mut messages: mpsc::UnboundedReceiver<(Instant, Bytes)>,
    ) {
        let (sender, receiver) = (&self.ends[1 - to], &self.ends[to]);
        loop {
            let message = tokio::select! {
                biased;
                () = self.ended() => return,
                () = receiver.killed() => return,
                message = messages.recv() => message,
            };
            let Some((arrival, message)) = message else {
                return;
            };
            sleep_until(arrival).await;
            let is_lost = network.is_cut(&sender.point, &receiver.point);
            if !is_lost && receiver.is_alive() && !*self.is_ended.borrow() {
                receiver.handler.handle_control(&sender.instance, message);
            }
        }
    }
}

struct LinkState {
    session: Arc<LinkSession>,
    missed_checks: u32,
}

#[derive(Default)]
struct HubState {
    /// Latest run of each instance, sorted by instance.
    members: Vec<Arc<MemberRun>>,
    links: Vec<LinkState>,
}

struct HubCore {
    network: Arc<NetworkModel>,
    state: Mutex<HubState>,
}

/// Hub that links the instances of one process.
///
/// The hub keeps the handler of an instance until [`Self::kill`]; a handler usually keeps its port,
/// so an instance that is not killed lives as long as the runtime.
#[derive(Clone)]
pub struct InMemoryPeers {
    core: Arc<HubCore>,
}

impl InMemoryPeers {
    /// A hub without instances; has to be called within a tokio runtime.
    pub fn new(network: Arc<NetworkModel>) -> Self {
        let core = Arc::new(HubCore {
            network,
            state: Mutex::default(),
        });
        tokio::spawn(check_links(Arc::downgrade(&core)));
        Self { core }
    }

    /// Adds an instance, or starts a new run of one that was killed. Its links come up after a
    /// round trip each.
    ///
    /// # Panics
    ///
    /// If a run of the instance is alive.
    pub fn join(
        &self,
        instance: InstanceName,
        data_centre: &DataCentre,
        handler: Arc<dyn PeerHandler>,
    ) -> Arc<dyn PeerPort> {
        let run = Arc::new(MemberRun {
            point: Self::point(&instance, data_centre),
            instance,
            handler,
            is_killed: watch::Sender::new(false),
        });
        let others = {
            let mut state = lock(&self.core.state);
            match state.find(&run.instance) {
                Ok(i) => {
                    let is_killed = !state.members[i].is_alive();
                    assert!(is_killed, "instance {} has joined before", run.instance);
                    state.members[i] = run.clone();
                }
                Err(i) => state.members.insert(i, run.clone()),
            }
            let others = state.members.iter();
            let others = others.filter(|other| !Arc::ptr_eq(other, &run) && other.is_alive());
            others.cloned().collect::<Vec<_>>()
        };
        for other in others {
            tokio::spawn(self.core.clone().connect(run.clone(), other));
        }
        let core = self.core.clone();
        Arc::new(PeerHandle { core, run })
    }

    /// Kills an instance: its port and its handler do nothing any more. [`Self::join`] starts it
    /// again.
    pub fn kill(&self, instance: &InstanceName) {
        let (run, sessions) = {
            let state = lock(&self.core.state);
            let Ok(i) = state.find(instance) else { return };
            let run = state.members[i].clone();
            let links = state.links.iter();
            let links = links.filter(|link| link.session.has_run(&run));
            let sessions: Vec<_> = links.map(|link| link.session.clone()).collect();
            (run, sessions)
        };
        if run.is_killed.send_replace(true) {
            return;
        }
        for session in sessions {
            let core = self.core.clone();
            let peer = session.ends[session.other_index(&run)].point.clone();
            let notice = core
                .network
                .depart(&run.point, &peer, MESSAGE_OVERHEAD_BYTES);
            // If the notice is lost, the checks find the link down.
            if let Ok(arrival) = notice {
                tokio::spawn(async move {
                    sleep_until(arrival).await;
                    core.end_session(&session);
                });
            }
        }
    }

    /// The place of an instance in the network, for ports to targets and services that are cut
    /// together with its links.
    pub fn point(instance: &InstanceName, data_centre: &DataCentre) -> NetworkPoint {
        NetworkPoint::named(data_centre, LinkEnd::Instance(instance.clone()))
    }

    /// Cuts the link between two instances.
    pub fn cut(&self, from: &InstanceName, to: &InstanceName, direction: CutDirection) {
        let [from, to] = [from, to].map(|name| LinkEnd::Instance(name.clone()));
        self.core.network.cut(&from, &to, direction);
    }

    /// Undoes a cut between two instances; the link comes up with its next check.
    pub fn heal(&self, from: &InstanceName, to: &InstanceName, direction: CutDirection) {
        let [from, to] = [from, to].map(|name| LinkEnd::Instance(name.clone()));
        self.core.network.heal(&from, &to, direction);
    }
}

impl HubState {
    fn find(&self, instance: &InstanceName) -> Result<usize, usize> {
        self.members
            .binary_search_by(|member| member.instance.cmp(instance))
    }

    fn is_present(&self, run: &Arc<MemberRun>) -> bool {
        let found = self.find(&run.instance);
        run.is_alive() && found.is_ok_and(|i| Arc::ptr_eq(&self.members[i], run))
    }

    fn link_between(&self, one: &InstanceName, other: &InstanceName) -> Option<usize> {
        let mut links = self.links.iter();
        links.position(|link| link.session.connects(one, other))
    }
}

impl HubCore {
    fn is_linkable(&self, one: &MemberRun, other: &MemberRun) -> bool {
        one.is_alive()
            && other.is_alive()
            && !self.network.is_cut(&one.point, &other.point)
            && !self.network.is_cut(&other.point, &one.point)
    }

    /// Brings up the link between two runs after a round trip, if it is possible.
    async fn connect(self: Arc<Self>, one: Arc<MemberRun>, other: Arc<MemberRun>) {
        let (there, back) = (&one.point, &other.point);
        for (from, to) in [(there, back), (back, there)] {
            let sent = self.network.transfer(from, to, MESSAGE_OVERHEAD_BYTES);
            if sent.await.is_err() {
                return;
            }
        }
        let older = {
            let state = lock(&self.state);
            let link = state.link_between(&one.instance, &other.instance);
            link.map(|i| state.links[i].session.clone())
        };
        // A session with an earlier run of an instance ends when the next run connects.
        if let Some(older) = older {
            if older.has_run(&one) && older.has_run(&other) {
                return;
            }
            self.end_session(&older);
        }
        if !self.is_linkable(&one, &other) {
            return;
        }
        let mut ends = [one, other];
        ends.sort_by(|a, b| a.instance.cmp(&b.instance));
        let (to_first, first) = mpsc::unbounded_channel();
        let (to_second, second) = mpsc::unbounded_channel();
        let session = Arc::new(LinkSession {
            ends,
            control: [to_first, to_second],
            is_ended: watch::Sender::new(false),
        });
        {
            let mut state = lock(&self.state);
            let [a, b] = &session.ends;
            let is_possible = state.is_present(a)
                && state.is_present(b)
                && state.link_between(&a.instance, &b.instance).is_none();
            if !is_possible {
                return;
            }
            state.links.push(LinkState {
                session: session.clone(),
                missed_checks: 0,
            });
        }
        for (i, messages) in [first, second].into_iter().enumerate() {
            let network = self.network.clone();
            tokio::spawn(session.clone().pass_control(i, network, messages));
        }
        notify(&session, true);
    }

    fn end_session(&self, session: &Arc<LinkSession>) {
        if session.is_ended.send_replace(true) {
            return;
        }
        lock(&self.state)
            .links
            .retain(|link| !Arc::ptr_eq(&link.session, session));
        notify(session, false);
    }

    fn session(&self, run: &Arc<MemberRun>, peer: &InstanceName) -> Option<Arc<LinkSession>> {
        let state = lock(&self.state);
        let link = &state.links[state.link_between(&run.instance, peer)?];
        let is_usable = run.is_alive() && link.session.has_run(run);
        is_usable.then(|| link.session.clone())
    }

    /// Checks all links once: ends those that are down and connects those that could be up.
    fn check(self: &Arc<Self>) {
        let mut down = Vec::new();
        let mut missing = Vec::new();
        {
            let mut state = lock(&self.state);
            for link in &mut state.links {
                let [a, b] = &link.session.ends;
                if self.is_linkable(a, b) {
                    link.missed_checks = 0;
                } else {
                    link.missed_checks += 1;
                    if link.missed_checks >= MAX_MISSED_CHECKS {
                        down.push(link.session.clone());
                    }
                }
            }
            for (i, one) in state.members.iter().enumerate() {
                for other in &state.members[i + 1..] {
                    let is_linked = state.link_between(&one.instance, &other.instance).is_some();
                    if !is_linked && self.is_linkable(one, other) {
                        missing.push((one.clone(), other.clone()));
                    }
                }
            }
        }
        for session in down {
            self.end_session(&session);
        }
        for (one, other) in missing {
            tokio::spawn(self.clone().connect(one, other));
        }
    }
}

fn notify(session: &LinkSession, is_up: bool) {
    let [a, b] = &session.ends;
    for (end, peer) in [(a, b), (b, a)] {
        if end.is_alive() {
            end.handler.handle_link_change(&peer.instance, is_up);
        }
    }
}

async fn check_links(hub: Weak<HubCore>) {
    loop {
        sleep(CHECK_INTERVAL).await;
        match hub.upgrade() {
            Some(core) => core.check(),
            None => return,
        }
    }
}

type TimedPart = (Instant, AnswerPart);

/// Runs a call at the peer and sends the parts of its answer; ends with the link, with the caller's
/// stream, or when the peer is killed.
async fn serve_call(
    network: Arc<NetworkModel>,
    session: Arc<LinkSession>,
    callee: usize,
    arrival: Instant,
    call: PeerCall,
    parts: mpsc::Sender<TimedPart>,
) {
    let (caller, callee) = (&session.ends[1 - callee], &session.ends[callee]);
    let run = async {
        sleep_until(arrival).await;
        if network.is_cut(&caller.point, &callee.point) {
            return Err(PeerError::LinkLost);
        }
        let mut stream = callee.handler.handle_call(&caller.instance, call).await;
        loop {
            let Ok(room) = parts.reserve().await else {
                return Ok(());
            };
            let Some(part) = stream.next_part().await else {
                return Ok(());
            };
            let text = match &part {
                AnswerPart::Row(row) => row.len(),
                AnswerPart::Head(_) => 0,
                AnswerPart::End(end) => end.detail.len() + end.extra.len(),
            };
            let bytes = text + MESSAGE_OVERHEAD_BYTES;
            let arrival = network
                .depart(&callee.point, &caller.point, bytes)
                .map_err(|_| PeerError::LinkLost)?;
            let is_end = part.is_end();
            room.send((arrival, part));
            if is_end {
                return Ok(());
            }
        }
    };
    let cancelled = async {
        parts.closed().await;
        match network.depart(&caller.point, &callee.point, MESSAGE_OVERHEAD_BYTES) {
            Ok(arrival) => sleep_until(arrival).await,
            Err(_) => std::future::pending().await,
        }
    };
    let result = tokio::select! {
        biased;
        () = session.ended() => Ok(()),
        () = callee.killed() => Err(PeerError::LinkLost),
        result = run => result,
        () = cancelled => Ok(()),
    };
    // Until the caller notices the loss, it hears nothing; dropping `parts` would tell it at once.
    if result.is_err() {
        session.ended().await;
    }
}

struct PeerHandle {
    core: Arc<HubCore>,
    run: Arc<MemberRun>,
}

#[async_trait]
impl PeerPort for PeerHandle {
    /// Returns when the first part of the answer has arrived.
    async fn call(
        &self,
        peer: &InstanceName,
        mut call: PeerCall,
    ) -> Result<Box<dyn AnswerStream>, PeerError> {
        let session = self
            .core
            .session(&self.run, peer)
            .ok_or(PeerError::NotSent)?;
        let (sender, parts) = mpsc::channel(ANSWER_WINDOW_PARTS);
        let callee = session.other_index(&self.run);
        let mut stream = PeerStream {
            run: self.run.clone(),
            session: session.clone(),
            parts,
            next: None,
        };
        let network = &self.core.network;
        let to = &session.ends[callee].point;
        let bytes = call.body.len() + MESSAGE_OVERHEAD_BYTES;
        let time_left = call.time_left;
        let unsent = match network.depart(&self.run.point, to, bytes) {
            Ok(arrival) => {
                let on_way = arrival.saturating_duration_since(Instant::now());
                call.time_left = time_left.saturating_sub(on_way);
                let network = network.clone();
                let served = serve_call(network, session, callee, arrival, call, sender);
                tokio::spawn(served);
                None
            }
            // Keeps the channel open, so that the loss of the link ends the wait.
            Err(_) => Some(sender),
        };
        let first = timeout(time_left, stream.fetch()).await;
        drop(unsent);
        match first {
            Ok(true) => Ok(Box::new(stream)),
            Ok(false) => Err(PeerError::LinkLost),
            Err(_) => Err(PeerError::Timeout),
        }
    }

    fn send_control(&self, peer: &InstanceName, message: Bytes) {
        let Some(session) = self.core.session(&self.run, peer) else {
            return;
        };
        let to = session.other_index(&self.run);
        let receiver = &session.ends[to].point;
        let bytes = message.len() + MESSAGE_OVERHEAD_BYTES;
        let departed = self.core.network.depart(&self.run.point, receiver, bytes);
        if let Ok(arrival) = departed {
            // The receiver is gone only if the link is down, and then the message is lost.
            drop(session.control[to].send((arrival, message)));
        }
    }

    fn connected(&self) -> Vec<InstanceName> {
        if !self.run.is_alive() {
            return Vec::new();
        }
        let state = lock(&self.core.state);
        let links = state.links.iter().map(|link| &link.session);
        let own = links.filter(|session| session.has_run(&self.run));
        let mut peers: Vec<_> = own
            .map(|session| {
                session.ends[session.other_index(&self.run)]
                    .instance
                    .clone()
            })
            .collect();
        peers.sort();
        peers
    }
}

/// The caller's end of an answer; it ends without an end part if the link is lost.
struct PeerStream {
    run: Arc<MemberRun>,
    session: Arc<LinkSession>,
    parts: mpsc::Receiver<TimedPart>,
    /// A part that has been taken out of `parts` and may still be on its way.
    next: Option<TimedPart>,
}

impl PeerStream {
    /// Waits for the next part without taking it; returns whether there is one.
    async fn fetch(&mut self) -> bool {
        if self.next.is_none() {
            self.next = tokio::select! {
                biased;
                () = self.run.killed() => None,
                part = self.parts.recv() => part,
                () = self.session.ended() => None,
            };
        }
        match &self.next {
            Some((arrival, _)) => {
                sleep_until(*arrival).await;
                true
            }
            None => false,
        }
    }
}

#[async_trait]
impl AnswerStream for PeerStream {
    async fn next_part(&mut self) -> Option<AnswerPart> {
        if !self.fetch().await {
            return None;
        }
        self.next.take().map(|(_, part)| part)
    }
}
