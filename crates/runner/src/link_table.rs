//! Links of an instance and the sessions on them.

use std::net::SocketAddr;
use std::sync::Arc;

use log::warn;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::mpsc::unbounded_channel;

use heatherhollow_gateway::ClientAnswer;
use heatherhollow_gateway::ClientId;
use heatherhollow_gateway::GatewayEvent;
use heatherhollow_gateway::HomeMessage;

use crate::clients::ClientIds;
use crate::clients::RunnerEvent;
use crate::formats::WireFormat;
use crate::frames::FrameBody;
use crate::frames::answer_frame;
use crate::frames::client_answer;
use crate::frames::forwarded_query;
use crate::frames::query_frame;
use crate::links::LinkEvent;
use crate::links::LinkId;
use crate::links::run_home_link;
use crate::mirror::StoreFollower;
use crate::mirror::StoreMirror;

/// A session that another instance forwards.
struct ForwardedSession {
    client: ClientId,
    link: LinkId,
    /// Number of the session on its link: the client's id at the other instance.
    number: u64,
    /// Number of the last forwarding; the next answer is to it.
    serial: u64,
}

/// Links and sessions.
pub struct LinkTable {
    ids: ClientIds,
    mirror: Arc<StoreMirror>,
    /// Links that others opened, sorted by id.
    accepted: Vec<(LinkId, UnboundedSender<FrameBody>)>,
    /// Links to homes, sorted by instance.
    homes: Vec<(String, UnboundedSender<FrameBody>)>,
    /// Sorted by client.
    sessions: Vec<ForwardedSession>,
}

impl LinkTable {
    /// A table without links.
    pub fn new(ids: ClientIds, mirror: Arc<StoreMirror>) -> Self {
        Self {
            ids,
            mirror,
            accepted: Vec::new(),
            homes: Vec::new(),
            sessions: Vec::new(),
        }
    }

    /// Whether a client stands for a session that another instance forwards.
    pub fn has(&self, client: ClientId) -> bool {
        self.find(client).is_ok()
    }

    fn find(&self, client: ClientId) -> Result<usize, usize> {
        self.sessions
            .binary_search_by_key(&client, |session| session.client)
    }

    /// Translates an event of a link into events of the gateway.
    pub fn take(&mut self, event: LinkEvent, wire: &dyn WireFormat) -> Vec<GatewayEvent> {
        match event {
            LinkEvent::Accepted(link, sender) => {
                self.accepted.push((link, sender));
                Vec::new()
            }
            LinkEvent::Received(link, body) => self.receive(link, body, wire),
            LinkEvent::Ended(link) => {
                self.accepted.retain(|(known, _)| *known != link);
                let mut ended = Vec::new();
                self.sessions.retain(|session| {
                    if session.link == link {
                        ended.push(GatewayEvent::ClientClosed(session.client));
                    }
                    session.link != link
                });
                ended
            }
            LinkEvent::HomeSent(home, body) => take_home_frame(home, body),
            LinkEvent::HomeEnded { home, was_open } => {
                self.homes.retain(|(known, _)| *known != home);
                vec![GatewayEvent::HomeLost { home, was_open }]
            }
        }
    }

    fn receive(
        &mut self,
        link: LinkId,
        body: FrameBody,
        wire: &dyn WireFormat,
    ) -> Vec<GatewayEvent> {
        match body {
            FrameBody::Query(frame) => {
                let client = self.session(link, frame.session, frame.serial);
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
            FrameBody::Rollback(number) => match self.known_session(link, number) {
                Some(i) => vec![GatewayEvent::ForwardedRollback(self.sessions[i].client)],
                None => Vec::new(),
            },
            FrameBody::End(number) => match self.known_session(link, number) {
                Some(i) => vec![GatewayEvent::ClientClosed(self.sessions.remove(i).client)],
                None => Vec::new(),
            },
            FrameBody::Follow(known) => self.follow(link, known, false),
            FrameBody::FollowPacked(known) => self.follow(link, known, true),
            other => {
                warn!("link_frame_unexpected body={other:?}");
                Vec::new()
            }
        }
    }

    fn follow(&self, link: LinkId, known: u64, accepts_packed: bool) -> Vec<GatewayEvent> {
        let found = self.accepted.binary_search_by_key(&link, |(id, _)| *id);
        if let Ok(i) = found {
            let sender = self.accepted[i].1.clone();
            let follower = StoreFollower {
                sender,
                accepts_packed,
            };
            self.mirror.follow(known, follower);
        }
        Vec::new()
    }

    fn known_session(&self, link: LinkId, number: u64) -> Option<usize> {
        self.sessions
            .iter()
            .position(|session| session.link == link && session.number == number)
    }

    /// The client that stands for a session of a link.
    fn session(&mut self, link: LinkId, number: u64, serial: u64) -> ClientId {
        if let Some(i) = self.known_session(link, number) {
            self.sessions[i].serial = serial;
            return self.sessions[i].client;
        }
        let client = self.ids.next();
        self.sessions.push(ForwardedSession {
            client,
            link,
            number,
            serial,
        });
        client
    }

    /// Sends the answer to a forwarded statement back.
    pub fn answer(&mut self, client: ClientId, answer: ClientAnswer) {
        let Ok(i) = self.find(client) else { return };
        let session = &self.sessions[i];
        let found = self
            .accepted
            .binary_search_by_key(&session.link, |(link, _)| *link);
        if let Ok(link) = found {
            let body = FrameBody::Answer(answer_frame(session.number, session.serial, answer));
            // The link has ended if nobody receives; its task reports that.
            let _is_received = self.accepted[link].1.send(body).is_ok();
        }
    }

    /// Sends a message to a home, over a link that is opened if there is none.
    pub fn send_home(
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
        // A home without a link knows nothing of the session.
        if matches!(body, FrameBody::Query(_)) || self.find_home(&home).is_ok() {
            self.send_over_link(home, address, body, events);
        }
    }

    /// Asks a home whether it answers, over a link that is opened if there is none.
    pub fn ask_home(
        &mut self,
        home: String,
        address: SocketAddr,
        events: &UnboundedSender<RunnerEvent>,
    ) {
        self.send_over_link(home, address, FrameBody::Ping(true), events);
    }

    fn find_home(&self, home: &str) -> Result<usize, usize> {
        self.homes
            .binary_search_by(|(known, _)| known.as_str().cmp(home))
    }

    fn send_over_link(
        &mut self,
        home: String,
        address: SocketAddr,
        body: FrameBody,
        events: &UnboundedSender<RunnerEvent>,
    ) {
        let i = match self.find_home(&home) {
            Ok(i) => i,
            Err(i) => {
                let (sender, outgoing) = unbounded_channel();
                tokio::spawn(run_home_link(
                    home.clone(),
                    address,
                    outgoing,
                    events.clone(),
                ));
                self.homes.insert(i, (home, sender));
                i
            }
        };
        // A link that ends is reported as an event.
        let _is_received = self.homes[i].1.send(body).is_ok();
    }

    /// Tells all instances that forward statements that this one stops.
    pub fn announce_leaving(&mut self) {
        for (_, sender) in &self.accepted {
            let _is_received = sender.send(FrameBody::Leaving(true)).is_ok();
        }
    }
}

fn take_home_frame(home: String, body: FrameBody) -> Vec<GatewayEvent> {
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
        FrameBody::Leaving(_) => vec![GatewayEvent::HomeLeaving(home)],
        FrameBody::Pong(_) => vec![GatewayEvent::HomeReached(home)],
        other => {
            warn!("home_frame_unexpected home={home} body={other:?}");
            Vec::new()
        }
    }
}
