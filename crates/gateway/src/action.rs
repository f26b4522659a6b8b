//! Input events and output actions of the gateway.

use std::net::SocketAddr;
use std::time::Duration;

use heatherhollow_tenants::KeyDigest;
use heatherhollow_tenants::QuotaGrant;
use heatherhollow_tenants::QuotaRequest;
use heatherhollow_tenants::TenantName;
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

/// Reason why a connection to a target could not be opened or was closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectError {
    /// The target refused the connection.
    Refused,
    /// The connection was not established, or not answered, in time.
    TimedOut,
    /// An open connection was closed or lost.
    Closed,
}

/// Fencing token of the duty, the exclusive right to order promotions.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DutyToken {
    /// Fencing number, which increases with each new holder.
    pub number: u64,
    /// Time before which no other instance can acquire the duty.
    pub valid_until: MonoTime,
}

/// Reason why the duty was not granted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DutyRefusal {
    /// Another instance holds the duty.
    Taken,
    /// The store does not answer.
    Unavailable,
}

/// Reply of the platform to the order of a promotion.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderReply {
    /// The platform accepted the order.
    Accepted,
    /// The platform refused to promote this target.
    Rejected,
    /// The order was not sent, as the platform is unreachable or has too many calls in progress.
    NotSent,
    /// No reply arrived; the order may have been accepted.
    Unknown,
}

/// An input of the gateway.
#[derive(Debug)]
pub enum GatewayEvent {
    /// A client connected.
    ClientOpened(ClientId),
    /// A client requested a session.
    ClientStart {
        /// The client.
        client: ClientId,
        /// Database name that the client requests.
        database: String,
        /// Digest of the key that the client sent, if it sent one.
        key: Option<KeyDigest>,
    },
    /// A client sent a query.
    ClientQuery {
        /// The client.
        client: ClientId,
        /// The query.
        query: ClientQuery,
    },
    /// A client sent a message that cannot be decoded.
    ClientMalformed {
        /// The client.
        client: ClientId,
        /// Error code for the client.
        code: ClientCode,
    },
    /// A client's connection was closed.
    ClientClosed(ClientId),
    /// A connection to a target was opened; no session has been started on it.
    TargetOpened(ConnectionId),
    /// A target answered the oldest unanswered call on a connection.
    TargetAnswered {
        /// The connection.
        connection: ConnectionId,
        /// The answer.
        answer: TargetAnswer,
    },
    /// A connection to a target could not be opened or was closed.
    TargetClosed {
        /// The connection.
        connection: ConnectionId,
        /// Reason of the failure.
        error: ConnectError,
    },
    /// A version of the declarations was read.
    CatalogRead(Catalog),
    /// The store had no newer version of the declarations at this time than the one read last.
    CatalogProved(MonoTime),
    /// The entry of a target was added or changed.
    TargetListed(TargetEntry),
    /// The entry of the target with this id was removed.
    TargetUnlisted(String),
    /// The complete list of targets was read.
    TargetsRead(Vec<TargetEntry>),
    /// The stored size of a group was written: its name and the number of its members.
    GroupSizeRead(String, u8),
    /// All stored sizes of groups were read.
    GroupSizesRead(Vec<(String, u8)>),
    /// The live instances were counted, this one included.
    InstancesCounted(usize),
    /// Answer to [`GatewayAction::ListTargets`].
    TargetsListed {
        /// Time at which the store was asked, or earlier.
        asked_at: MonoTime,
        /// The entries of all targets; `None` if the store did not answer.
        entries: Option<Vec<TargetEntry>>,
    },
    /// Answer to [`GatewayAction::AcquireDuty`].
    DutyAnswered(Result<DutyToken, DutyRefusal>),
    /// Answer to [`GatewayAction::OrderPromotion`].
    PromotionOrdered {
        /// Group whose promotion was ordered.
        group: String,
        /// The reply.
        reply: OrderReply,
    },
    /// The entries of the live instances were read, this one included.
    PeersRead(Vec<PeerEntry>),
    /// A group's home answered a forwarded statement.
    HomeAnswered {
        /// The client.
        client: ClientId,
        /// Serial number of the forwarded statement.
        serial: u64,
        /// The answer.
        answer: ClientAnswer,
    },
    /// The link to a home instance was lost or could not be opened.
    HomeLost {
        /// Name of the home.
        home: String,
        /// Whether the link had been opened; if not, nothing has reached the home.
        was_open: bool,
        /// Whether the home's address refused the connection, so that its process has ended.
        was_refused: bool,
    },
    /// The home with this name is about to stop.
    HomeLeaving(String),
    /// The home with this name answered [`GatewayAction::ProbeHome`].
    HomeReached(String),
    /// Another instance forwarded a statement to this one, the home of its group.
    Forwarded {
        /// Id that stands for the client's session at the other instance.
        client: ClientId,
        /// The statement and the state of its session.
        query: Box<ForwardedQuery>,
    },
    /// Another instance rolled back the transaction of a forwarded session.
    ForwardedRollback(ClientId),
    /// Another instance requested tokens of a tenant whose holder this instance is.
    QuotaRequested {
        /// Link that the request came over.
        link: u64,
        /// The request.
        request: QuotaRequest,
    },
    /// The holder of a tenant answered [`GatewayAction::RequestQuota`].
    QuotaGranted {
        /// Name of the holder.
        instance: String,
        /// The tenant.
        tenant: TenantName,
        /// Number of the request.
        number: u64,
        /// The answer.
        grant: QuotaGrant,
    },
    /// A planned stop of this instance began.
    StopRequested,
    /// The time of the next tick was reached.
    Tick,
}

/// An output of the gateway, which the caller has to carry out.
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
        /// Error that the client is sent.
        error: ClientError,
    },
    /// Close a client's connection after all pending data was sent.
    CloseClient(ClientId),
    /// Open a connection to a target.
    OpenTarget {
        /// Id of the new connection.
        connection: ConnectionId,
        /// Address of the target.
        address: SocketAddr,
        /// Time limit for opening the connection.
        timeout: Duration,
    },
    /// Send a call to a target on a connection.
    CallTarget {
        /// The connection.
        connection: ConnectionId,
        /// The call.
        call: TargetCall,
    },
    /// Close a connection to a target and discard unsent data.
    CloseTarget(ConnectionId),
    /// Send a message to the home of a group.
    SendHome {
        /// Name of the instance.
        home: String,
        /// Address of the instance.
        address: SocketAddr,
        /// Client whose session the message belongs to.
        client: ClientId,
        /// The message.
        message: HomeMessage,
    },
    /// Test whether a home that was lost answers again, over a new link if none is open. The result
    /// is [`GatewayEvent::HomeReached`] or [`GatewayEvent::HomeLost`].
    ProbeHome {
        /// Name of the instance.
        home: String,
        /// Address of the instance.
        address: SocketAddr,
    },
    /// Request tokens of a tenant from its holder, over a new link if none is open. The result is
    /// [`GatewayEvent::QuotaGranted`] or [`GatewayEvent::HomeLost`].
    RequestQuota {
        /// Name of the holder.
        instance: String,
        /// Address of the holder.
        address: SocketAddr,
        /// The request.
        request: QuotaRequest,
    },
    /// Answer a request for tokens over the link that it came from.
    AnswerQuota {
        /// The link.
        link: u64,
        /// Number of the request.
        number: u64,
        /// The tenant.
        tenant: TenantName,
        /// The answer.
        grant: QuotaGrant,
    },
    /// Store the size of a group, for instances that start, unless another instance has changed it
    /// meanwhile.
    StoreGroupSize {
        /// Name of the group.
        group: String,
        /// Size that is stored as far as this instance knows.
        previous: Option<u8>,
        /// Number of targets that may hold commits.
        size: u8,
    },
    /// Acquire the duty, the right to order promotions. The result is
    /// [`GatewayEvent::DutyAnswered`].
    AcquireDuty,
    /// Read the present entries of all targets from the store. The result is
    /// [`GatewayEvent::TargetsListed`].
    ListTargets,
    /// Release the duty.
    ReleaseDuty,
    /// Order the promotion of a target from the platform. The result is
    /// [`GatewayEvent::PromotionOrdered`].
    OrderPromotion {
        /// Group of the target.
        group: String,
        /// Target that becomes the primary.
        target: String,
        /// Fencing token of the order, which must not be sent after the token's `valid_until`.
        token: DutyToken,
    },
}
