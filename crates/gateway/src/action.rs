//! Events that the gateway takes and actions that it returns.

use std::net::SocketAddr;
use std::time::Duration;

use heatherhollow_types::MonoTime;

use crate::catalog::Catalog;
use crate::catalog::TargetEntry;
use crate::forward::ForwardedQuery;
use crate::forward::HomeMessage;
use crate::homes::PeerEntry;
use crate::message::ClientAnswer;
use crate::message::ClientCode;
use crate::message::ClientError;
use crate::message::ClientId;
use crate::message::ClientQuery;
use crate::message::TargetAnswer;
use crate::message::TargetCall;
use crate::pool::ConnectionId;

/// Why a connection could not be opened, or ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectError {
    /// Nothing listens at the address.
    Refused,
    /// Nothing came back in time.
    TimedOut,
    /// It was opened and ended.
    Closed,
}

/// Right to order promotions, with a number that rises from holder to holder.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DutyToken {
    /// The number.
    pub number: u64,
    /// Time until which no other instance can hold the duty.
    pub valid_until: MonoTime,
}

/// Why the duty was not granted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DutyRefusal {
    /// Another instance holds it.
    Taken,
    /// The store does not answer.
    Unavailable,
}

/// Reply to an ordered promotion.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderReply {
    /// The platform accepted it.
    Accepted,
    /// The platform refused it for this target.
    Rejected,
    /// The order was not given: the platform is not reachable or has too many calls.
    NotSent,
    /// No answer arrived; it may have been accepted.
    Unknown,
}

/// Something that happened.
#[derive(Debug)]
pub enum GatewayEvent {
    /// A client connected.
    ClientOpened(ClientId),
    /// A client asked for a session.
    ClientStart {
        /// The client.
        client: ClientId,
        /// Database that it asks for.
        database: String,
    },
    /// A client sent a query.
    ClientQuery {
        /// The client.
        client: ClientId,
        /// The query.
        query: ClientQuery,
    },
    /// A client sent something that cannot be read.
    ClientMalformed {
        /// The client.
        client: ClientId,
        /// Code for the client.
        code: ClientCode,
    },
    /// A client left.
    ClientClosed(ClientId),
    /// A connection was opened; its session has not been started.
    TargetOpened(ConnectionId),
    /// A target answered the oldest unanswered call of a connection.
    TargetAnswered {
        /// The connection.
        connection: ConnectionId,
        /// The answer.
        answer: TargetAnswer,
    },
    /// A connection could not be opened, or ended.
    TargetClosed {
        /// The connection.
        connection: ConnectionId,
        /// How.
        error: ConnectError,
    },
    /// A version of the declarations.
    CatalogRead(Catalog),
    /// A target is listed, new or changed.
    TargetListed(TargetEntry),
    /// A target is not listed any more.
    TargetUnlisted(String),
    /// The whole list of targets, as read at once.
    TargetsRead(Vec<TargetEntry>),
    /// Number of live instances, this one included.
    InstancesCounted(usize),
    /// Answer to [`GatewayAction::AcquireDuty`].
    DutyAnswered(Result<DutyToken, DutyRefusal>),
    /// Answer to [`GatewayAction::OrderPromotion`].
    PromotionOrdered {
        /// Group that it was for.
        group: String,
        /// The reply.
        reply: OrderReply,
    },
    /// The live instances, this one included.
    PeersRead(Vec<PeerEntry>),
    /// A home answered a forwarded statement.
    HomeAnswered {
        /// The client.
        client: ClientId,
        /// Number of the forwarding.
        serial: u64,
        /// The answer.
        answer: ClientAnswer,
    },
    /// The link to a home was lost or could not be opened.
    HomeLost {
        /// The home.
        home: String,
        /// Whether it had been opened; otherwise nothing has reached the home.
        was_open: bool,
    },
    /// A home is about to stop.
    HomeLeaving(String),
    /// A home answered [`GatewayAction::ProbeHome`].
    HomeReached(String),
    /// Another instance forwarded a statement; `client` stands for its session there.
    Forwarded {
        /// The session.
        client: ClientId,
        /// The statement.
        query: Box<ForwardedQuery>,
    },
    /// Another instance ended the transaction of a forwarded session.
    ForwardedRollback(ClientId),
    /// A planned stop began.
    StopRequested,
    /// Time passed.
    Tick,
}

/// Something to do.
#[derive(Debug, Clone, PartialEq)]
pub enum GatewayAction {
    /// Send an answer to a client.
    AnswerClient {
        /// The client.
        client: ClientId,
        /// The answer.
        answer: ClientAnswer,
    },
    /// Refuse a client's session and close its connection.
    RejectClient {
        /// The client.
        client: ClientId,
        /// Why.
        error: ClientError,
    },
    /// Close a client's connection after what was sent.
    CloseClient(ClientId),
    /// Open a connection to a target.
    OpenTarget {
        /// Its id.
        connection: ConnectionId,
        /// Address of the target.
        address: SocketAddr,
        /// Time limit.
        timeout: Duration,
    },
    /// Send a call on a connection.
    CallTarget {
        /// The connection.
        connection: ConnectionId,
        /// The call.
        call: TargetCall,
    },
    /// Close a connection; unsent data is dropped.
    CloseTarget(ConnectionId),
    /// Send a message to the home of a group.
    SendHome {
        /// Name of the instance.
        home: String,
        /// Its address.
        address: SocketAddr,
        /// Client whose session it is about.
        client: ClientId,
        /// The message.
        message: HomeMessage,
    },
    /// Ask a home that was lost whether it answers, over a new link if there is none; answered by
    /// [`GatewayEvent::HomeReached`] or [`GatewayEvent::HomeLost`].
    ProbeHome {
        /// Name of the instance.
        home: String,
        /// Its address.
        address: SocketAddr,
    },
    /// Acquire the duty of ordering promotions; answered by [`GatewayEvent::DutyAnswered`].
    AcquireDuty,
    /// Give the duty back.
    ReleaseDuty,
    /// Order the promotion of a target; answered by [`GatewayEvent::PromotionOrdered`].
    OrderPromotion {
        /// Group.
        group: String,
        /// Target that is to lead.
        target: String,
        /// Right to order it. The order must not be sent after the token's validity.
        token: DutyToken,
    },
}
