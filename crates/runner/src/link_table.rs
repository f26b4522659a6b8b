//! Links between this instance and others, and the sessions forwarded on them.
//!
//! On a link that another instance opened, this instance is the home: each forwarded session gets a
//! client id here, so that the gateway serves it like one of its own clients. On a link that this
//! instance opened, its own client ids number the sessions.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use log::warn;
use prost::Message;
use tokio::sync::mpsc::UnboundedSender;

use heatherhollow_gateway::ClientAnswer;
use heatherhollow_gateway::ClientCode;
use heatherhollow_gateway::ClientError;
use heatherhollow_gateway::ClientId;
use heatherhollow_gateway::GatewayEvent;
use heatherhollow_gateway::HomeMessage;
use heatherhollow_gateway::SessionState;
use heatherhollow_tenants::QuotaGrant;
use heatherhollow_tenants::QuotaRequest;
use heatherhollow_tenants::TenantName;

use crate::clients::ClientIdGenerator;
use crate::clients::RunnerEvent;
use crate::clock;
use crate::formats::WireFormat;
use crate::forwarded::ForwardedSessions;
use crate::forwarded::ForwardedStatement;
use crate::forwarded::StatementDecision;
use crate::frame_queue::FrameSender;
use crate::frame_queue::frame_queue;
use crate::frames::FrameBody;
use crate::frames::QueryFrame;
use crate::frames::answer_frame;
use crate::frames::client_answer;
use crate::frames::forwarded_query;
use crate::frames::query_frame;
use crate::frames::quota_grant;
use crate::frames::quota_grant_frame;
use crate::frames::quota_request;
use crate::frames::quota_request_frame;
use crate::known_readers::KnownReaders;
use crate::links::LinkEvent;
use crate::links::LinkId;
use crate::links::run_home_link;
use crate::mirror::StoreFollower;
use crate::mirror::StoreMirror;
use crate::peer_guard::LimitReason;
use crate::peer_guard::PeerGuard;

/// Memory that an unanswered statement takes beside its frame, in bytes; an estimate.
const STATEMENT_OVERHEAD: usize = 256;

/// Time after which a statement that was refused for a limit may be repeated.
const REFUSAL_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Number of accepted links on which readers are asked for; the other sides of some may be gone.
const ASKED_LINKS: usize = 8;

/// The open links of an instance and the sessions that others forward to it.
pub struct LinkTable {
    ids: ClientIdGenerator,
    mirror: Arc<StoreMirror>,
    /// The known readers, if instances tell each other of them.
    known: Option<Arc<KnownReaders>>,
    guard: Arc<PeerGuard>,
    /// Links that other instances opened, sorted by id.
    accepted_links: Vec<(LinkId, FrameSender)>,
    /// Links to homes, sorted by name of the home.
    home_links: Vec<(String, FrameSender)>,
    sessions: ForwardedSessions,
    /// Links that follow this instance, sorted.
    following: Vec<LinkId>,
}

impl LinkTable {
    /// Creates a table without links. Instances tell each other of readers if `known` is given.
    pub fn new(
        ids: ClientIdGenerator,
        mirror: Arc<StoreMirror>,
        known: Option<Arc<KnownReaders>>,
    ) -> Self {
        let guard = PeerGuard::of_process();
        Self {
            ids,
            mirror,
            known,
            sessions: ForwardedSessions::new(guard.limits.clone()),
            following: Vec::new(),
            guard,
            accepted_links: Vec::new(),
            home_links: Vec::new(),
        }
    }

    /// Returns whether a client id belongs to a session that another instance forwards.
    pub fn is_forwarded(&self, client: ClientId) -> bool {
        self.sessions.contains(client)
    }

    /// Handles an event of a link and returns the resulting events for the gateway.
    pub fn handle_event(&mut self, event: LinkEvent, wire: &dyn WireFormat) -> Vec<GatewayEvent> {
        match event {
            LinkEvent::Accepted(link, sender) => {
                self.accepted_links.push((link, sender));
                Vec::new()
            }
            LinkEvent::Received(link, body, _permit) => self.handle_frame(link, body, wire),
            LinkEvent::Ended(link) => {
                self.accepted_links.retain(|(known, _)| *known != link);
                self.following.retain(|known| *known != link);
                let ended = self.sessions.remove_link(link).into_iter();
                ended.map(GatewayEvent::ClientClosed).collect()
            }
            LinkEvent::HomeFrame(home, body, _permit) => {
                let found = self.find_home_link(&home).ok();
                let sender = found.map(|i| &self.home_links[i].1);
                match self.handle_readers(body, sender) {
                    Some(body) => handle_home_frame(home, body),
                    None => Vec::new(),
                }
            }
            LinkEvent::HomeEnded {
                home,
                was_open,
                was_refused,
            } => {
                self.home_links.retain(|(known, _)| *known != home);
                vec![GatewayEvent::HomeLost {
                    home,
                    was_open,
                    was_refused,
                }]
            }
        }
    }

    fn handle_frame(
        &mut self,
        link: LinkId,
        body: FrameBody,
        wire: &dyn WireFormat,
    ) -> Vec<GatewayEvent> {
        let Some(body) = self.handle_readers(body, self.accepted_link(link)) else {
            return Vec::new();
        };
        match body {
            FrameBody::Query(frame) => self.handle_query(link, frame, wire),
            FrameBody::Rollback(number) => match self.sessions.find(link, number) {
                Some(client) => vec![GatewayEvent::ForwardedRollback(client)],
                None => Vec::new(),
            },
            FrameBody::End(number) => match self.sessions.find(link, number) {
                Some(client) => {
                    self.sessions.remove(client);
                    vec![GatewayEvent::ClientClosed(client)]
                }
                None => Vec::new(),
            },
            FrameBody::QuotaRequest(frame) => match quota_request(frame) {
                Some(request) => vec![GatewayEvent::QuotaRequested {
                    link: link.0,
                    request,
                }],
                None => {
                    warn!("quota_request_unusable link={}", link.0);
                    Vec::new()
                }
            },
            FrameBody::Follow(known) => self.add_follower(link, known, false),
            FrameBody::FollowPacked(known) => self.add_follower(link, known, true),
            FrameBody::ProofRequest(number) => {
                if let Some(sender) = self.accepted_link(link) {
                    self.mirror.request_proof(sender, number, clock::now());
                }
                Vec::new()
            }
            other => {
                warn!("link_frame_unexpected body={}", other.kind());
                Vec::new()
            }
        }
    }

    /// Handles frames on readers, if instances tell each other of them; returns other frames.
    fn handle_readers(&self, body: FrameBody, sender: Option<&FrameSender>) -> Option<FrameBody> {
        let Some(known) = &self.known else {
            return Some(body);
        };
        match body {
            FrameBody::Readers(list) => known.record_list(&list),
            FrameBody::ReadersRequest(_) => {
                if let (Some(sender), Some(list)) = (sender, known.list_frame()) {
                    // Sending fails if the link has ended; its task reports that as an event.
                    let _is_received = sender.send(list);
                }
            }
            other => return Some(other),
        }
        None
    }

    /// Asks the newest links, and some instances over links that may be new, for readers.
    pub fn request_readers(
        &mut self,
        instances: Vec<(String, SocketAddr)>,
        events: &UnboundedSender<RunnerEvent>,
    ) {
        let request = FrameBody::ReadersRequest(true);
        let accepted = self.accepted_links.iter().rev().take(ASKED_LINKS);
        for (_, sender) in accepted {
            let _is_received = sender.send(request.clone());
        }
        for (instance, address) in instances {
            self.send_over_link(instance, address, request.clone(), events);
        }
    }

    fn handle_query(
        &mut self,
        link: LinkId,
        frame: QueryFrame,
        wire: &dyn WireFormat,
    ) -> Vec<GatewayEvent> {
        let statement = ForwardedStatement {
            number: frame.session,
            serial: frame.serial,
            bytes: frame.encoded_len() + STATEMENT_OVERHEAD,
            is_later: frame.continues_transaction(),
        };
        let ids = &self.ids;
        let added = self
            .sessions
            .add_statement(link, statement, || ids.next_id());
        let client = match added {
            StatementDecision::Accepted(client) => client,
            StatementDecision::Refused(reason) => {
                self.guard.record(reason);
                self.refuse_statement(link, statement);
                return Vec::new();
            }
            StatementDecision::LinkClosed(reason) => {
                self.close_link(link, reason);
                return Vec::new();
            }
        };
        match forwarded_query(frame, wire) {
            Some(query) => vec![GatewayEvent::Forwarded {
                client,
                query: Box::new(query),
            }],
            None => {
                warn!("forwarded_query_unusable client={client}");
                vec![GatewayEvent::ClientClosed(client)]
            }
        }
    }

    fn refuse_statement(&self, link: LinkId, statement: ForwardedStatement) {
        let error = ClientError {
            code: ClientCode::Busy,
            text: "the home has too many statements of other instances".to_string(),
            retry_after: Some(REFUSAL_RETRY_AFTER),
        };
        let answer = ClientAnswer {
            rows: Vec::new(),
            end: Err(error),
            state: SessionState::Idle,
            position: None,
            is_isolated: false,
            is_unsent: true,
        };
        let body = FrameBody::Answer(answer_frame(statement.number, statement.serial, answer));
        if let Some(sender) = self.accepted_link(link) {
            let _is_received = sender.send(body);
        }
    }

    /// Closes an accepted link; its task reports the end as an event.
    fn close_link(&self, link: LinkId, reason: LimitReason) {
        if let Some(sender) = self.accepted_link(link) {
            sender.close(reason);
        }
    }

    fn accepted_link(&self, link: LinkId) -> Option<&FrameSender> {
        let found = self
            .accepted_links
            .binary_search_by_key(&link, |(id, _)| *id);
        found.ok().map(|i| &self.accepted_links[i].1)
    }

    /// Adds a follower. A follower asks once on a link, as each request is answered with all entries.
    fn add_follower(
        &mut self,
        link: LinkId,
        known: u64,
        accepts_packed: bool,
    ) -> Vec<GatewayEvent> {
        let Err(i) = self.following.binary_search(&link) else {
            self.close_link(link, LimitReason::LinkProtocol);
            return Vec::new();
        };
        if let Some(sender) = self.accepted_link(link).cloned() {
            self.following.insert(i, link);
            let follower = StoreFollower {
                sender,
                accepts_packed,
            };
            self.mirror.follow(known, follower);
        }
        Vec::new()
    }

    /// Sends the answer to a forwarded statement over the link that it came from.
    pub fn send_answer(&mut self, client: ClientId, answer: ClientAnswer) {
        let Some((link, number, serial)) = self.sessions.record_answer(client) else {
            return;
        };
        if let Some(sender) = self.accepted_link(link) {
            let body = FrameBody::Answer(answer_frame(number, serial, answer));
            // Sending fails if the link has ended; its task reports that as an event.
            let _is_received = sender.send(body);
        }
    }

    /// Sends a message to a home. A query opens a link if there is none; other messages are then
    /// dropped.
    pub fn send_to_home(
        &mut self,
        home: String,
        address: SocketAddr,
        client: ClientId,
        message: HomeMessage,
        events: &UnboundedSender<RunnerEvent>,
    ) {
        let body = match message {
            HomeMessage::Query(query) => FrameBody::Query(query_frame(client.0, *query)),
            HomeMessage::Rollback => FrameBody::Rollback(client.0),
            HomeMessage::End => FrameBody::End(client.0),
        };
        // Without a link, the home has no session to roll back or to end.
        if matches!(body, FrameBody::Query(_)) || self.find_home_link(&home).is_ok() {
            self.send_over_link(home, address, body, events);
        }
    }

    /// Sends a ping to a home, over a new link if there is none.
    pub fn ping_home(
        &mut self,
        home: String,
        address: SocketAddr,
        events: &UnboundedSender<RunnerEvent>,
    ) {
        self.send_over_link(home, address, FrameBody::Ping(true), events);
    }

    /// Requests tokens of a tenant from its holder, over a new link if there is none.
    pub fn request_quota(
        &mut self,
        holder: String,
        address: SocketAddr,
        request: &QuotaRequest,
        events: &UnboundedSender<RunnerEvent>,
    ) {
        let body = FrameBody::QuotaRequest(quota_request_frame(request));
        self.send_over_link(holder, address, body, events);
    }

    /// Answers a request for tokens over the link that it came from.
    pub fn answer_quota(
        &mut self,
        link: LinkId,
        number: u64,
        tenant: &TenantName,
        grant: QuotaGrant,
    ) {
        if let Some(sender) = self.accepted_link(link) {
            let body = FrameBody::QuotaGrant(quota_grant_frame(tenant, number, grant));
            // Sending fails if the link has ended; its task reports that as an event.
            let _is_received = sender.send(body);
        }
    }

    fn find_home_link(&self, home: &str) -> Result<usize, usize> {
        self.home_links
            .binary_search_by(|(known, _)| known.as_str().cmp(home))
    }

    fn send_over_link(
        &mut self,
        home: String,
        address: SocketAddr,
        body: FrameBody,
        events: &UnboundedSender<RunnerEvent>,
    ) {
        let i = match self.find_home_link(&home) {
            Ok(i) => i,
            Err(i) => {
                let (sender, outgoing) = frame_queue(&self.guard);
                tokio::spawn(run_home_link(
                    home.clone(),
                    address,
                    outgoing,
                    events.clone(),
                ));
                self.home_links.insert(i, (home, sender));
                i
            }
        };
        // Sending fails if the link has ended; its task reports that as an event.
        let _is_received = self.home_links[i].1.send(body);
    }

    /// Notifies all instances with a link to this one that it is about to stop.
    pub fn send_leaving(&mut self) {
        for (_, sender) in &self.accepted_links {
            let _is_received = sender.send(FrameBody::Leaving(true));
        }
    }
}

fn handle_home_frame(home: String, body: FrameBody) -> Vec<GatewayEvent> {
    match body {
        FrameBody::Answer(frame) => {
            let client = ClientId(frame.session);
            let serial = frame.serial;
            match client_answer(frame) {
                Some(answer) => vec![GatewayEvent::HomeAnswered {
                    client,
                    serial,
                    answer,
                }],
                None => {
                    warn!("home_answer_unusable home={home}");
                    Vec::new()
                }
            }
        }
        FrameBody::QuotaGrant(frame) => match quota_grant(frame) {
            Some((tenant, number, grant)) => vec![GatewayEvent::QuotaGranted {
                instance: home,
                tenant,
                number,
                grant,
            }],
            None => {
                warn!("quota_grant_unusable home={home}");
                Vec::new()
            }
        },
        FrameBody::Leaving(_) => vec![GatewayEvent::HomeLeaving(home)],
        FrameBody::Pong(_) => vec![GatewayEvent::HomeReached(home)],
        other => {
            warn!("home_frame_unexpected home={home} body={}", other.kind());
            Vec::new()
        }
    }
}
