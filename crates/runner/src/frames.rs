//! Messages between instances, as they are encoded on a link.
//!
//! Instances of different versions share links: a tag keeps its meaning, and so do the numbers that
//! stand for the variants of an enum.

use std::time::Duration;

use heatherhollow_gateway::ClientAnswer;
use heatherhollow_gateway::ClientCode;
use heatherhollow_gateway::ClientError;
use heatherhollow_gateway::ClientQuery;
use heatherhollow_gateway::ForwardedQuery;
use heatherhollow_gateway::ForwardedTenant;
use heatherhollow_gateway::PreparedShape;
use heatherhollow_gateway::RouteFreshness;
use heatherhollow_gateway::SessionRoute;
use heatherhollow_gateway::SessionState;
use heatherhollow_gateway::TransactionPart;
use heatherhollow_tenants::KeyDigest;
use heatherhollow_tenants::QuotaGrant;
use heatherhollow_tenants::QuotaRequest;
use heatherhollow_tenants::TenantName;
use heatherhollow_types::GroupPosition;

use crate::formats::ClientInput;
use crate::formats::WireFormat;

/// A frame of a link.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LinkFrame {
    /// Body of the frame; a frame without one is malformed.
    #[prost(
        oneof = "FrameBody",
        tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17"
    )]
    pub body: Option<FrameBody>,
}

/// Body of a frame.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum FrameBody {
    /// A statement that the home shall run.
    #[prost(message, tag = "1")]
    Query(QueryFrame),
    /// Asks the home to roll back the transaction of the session with this number.
    #[prost(uint64, tag = "2")]
    Rollback(u64),
    /// Notice that the session with this number has ended.
    #[prost(uint64, tag = "3")]
    End(u64),
    /// The home's answer to a statement.
    #[prost(message, tag = "4")]
    Answer(AnswerFrame),
    /// Ping; the value is not used.
    #[prost(bool, tag = "5")]
    Ping(bool),
    /// Answer to a ping; the value is not used.
    #[prost(bool, tag = "6")]
    Pong(bool),
    /// Notice that the sender is about to stop; the value is not used.
    #[prost(bool, tag = "7")]
    Leaving(bool),
    /// Asks a reader of the store for the changes after this revision, as plain entries.
    #[prost(uint64, tag = "8")]
    Follow(u64),
    /// Entries of the store, for a follower.
    #[prost(message, tag = "9")]
    State(StateFrame),
    /// Notice to a follower that the sender does not read the store, or that its reads fail; the
    /// value is not used.
    #[prost(bool, tag = "10")]
    Detached(bool),
    /// Like [`FrameBody::Follow`], from a follower that can decode packed entries.
    #[prost(uint64, tag = "11")]
    FollowPacked(u64),
    /// A follower's request with this number for the next proof that the entries are the newest.
    #[prost(uint64, tag = "12")]
    ProofRequest(u64),
    /// A reader's proof, after all changes that it covers.
    #[prost(message, tag = "13")]
    Proof(ProofFrame),
    /// Requests tokens of a tenant from its holder.
    #[prost(message, tag = "14")]
    QuotaRequest(QuotaRequestFrame),
    /// The holder's answer to a request for tokens.
    #[prost(message, tag = "15")]
    QuotaGrant(QuotaGrantFrame),
    /// Entries of the reader places that the sender knows; only with strict revocation.
    #[prost(message, tag = "16")]
    Readers(EntryList),
    /// Asks for the readers that the other side knows; the value is not used.
    #[prost(bool, tag = "17")]
    ReadersRequest(bool),
}

/// Answer to a request for a proof.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct ProofFrame {
    /// Number of the request.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Time from the arrival of the request to the time of the proof, in microseconds.
    #[prost(sint64, tag = "2")]
    pub lead_micros: i64,
}

/// A request for tokens of a tenant.
#[derive(Clone, PartialEq, prost::Message)]
pub struct QuotaRequestFrame {
    /// Name of the tenant.
    #[prost(string, tag = "1")]
    pub tenant: String,
    /// Number of tokens that are expected to be needed.
    #[prost(uint32, tag = "2")]
    pub wanted: u32,
    /// Number of the request, which the answer repeats.
    #[prost(uint64, tag = "3")]
    pub number: u64,
    /// Number of tokens of this holder that the sender can still use.
    #[prost(uint32, tag = "4")]
    pub held: u32,
    /// Number of tokens that the sender gives up.
    #[prost(uint32, tag = "5")]
    pub returned: u32,
    /// Number of tokens to keep in reserve, in addition to `wanted`.
    #[prost(uint32, tag = "6")]
    pub reserve: u32,
    /// Number of the wanted tokens for which operations wait.
    #[prost(uint32, tag = "7")]
    pub waiting: u32,
}

/// An answer to a request for tokens.
#[derive(Clone, PartialEq, prost::Message)]
pub struct QuotaGrantFrame {
    /// Name of the tenant.
    #[prost(string, tag = "1")]
    pub tenant: String,
    /// Number of the request.
    #[prost(uint64, tag = "2")]
    pub number: u64,
    /// Number of tokens that may be used.
    #[prost(uint32, tag = "3")]
    pub granted: u32,
    /// Time until the holder has a token, in microseconds, if it granted none.
    #[prost(uint64, optional, tag = "4")]
    pub retry_after_micros: Option<u64>,
    /// Number of the granted tokens that are for a reserve.
    #[prost(uint32, tag = "5")]
    pub reserved: u32,
}

/// Kind of the entries in a [`StateFrame`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum StatePart {
    /// Entries that changed since the last frame.
    Changes = 0,
    /// A part of the list of all entries; more parts follow.
    Snapshot = 1,
    /// The last part of the list of all entries.
    SnapshotEnd = 2,
}

/// Entries of the store, sent by a reader to its followers.
#[derive(Clone, PartialEq, prost::Message)]
pub struct StateFrame {
    /// Kind of the entries, a `StatePart`.
    #[prost(enumeration = "StatePart", tag = "1")]
    pub part: i32,
    /// Revision of the store up to which the sender knows all changes.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// Entries, unless they are packed.
    #[prost(message, repeated, tag = "3")]
    pub entries: Vec<EntryFrame>,
    /// An `EntryList` compressed with DEFLATE, in place of `entries`.
    #[prost(bytes = "bytes", tag = "4")]
    pub packed: bytes::Bytes,
}

/// Entries that are compressed together.
#[derive(Clone, PartialEq, prost::Message)]
pub struct EntryList {
    /// The entries.
    #[prost(message, repeated, tag = "1")]
    pub entries: Vec<EntryFrame>,
}

/// An entry of the store.
#[derive(Clone, PartialEq, prost::Message)]
pub struct EntryFrame {
    /// Path in the store.
    #[prost(string, tag = "1")]
    pub path: String,
    /// Value; `None` if the entry was removed.
    #[prost(bytes = "bytes", optional, tag = "2")]
    pub value: Option<bytes::Bytes>,
    /// Revision of the entry's last change.
    #[prost(uint64, tag = "3")]
    pub revision: u64,
}

/// A value of a session.
#[derive(Clone, PartialEq, prost::Message)]
pub struct NamedText {
    /// Name of the value.
    #[prost(string, tag = "1")]
    pub name: String,
    /// The value as text.
    #[prost(string, tag = "2")]
    pub text: String,
}

/// A position in the log of a database group.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct PositionField {
    /// Term of the primary.
    #[prost(uint64, tag = "1")]
    pub term: u64,
    /// Position in the log.
    #[prost(uint64, tag = "2")]
    pub position: u64,
}

/// A forwarded statement.
#[derive(Clone, PartialEq, prost::Message)]
pub struct QueryFrame {
    /// Number of the session on the link.
    #[prost(uint64, tag = "1")]
    pub session: u64,
    /// Id of the statement.
    #[prost(string, tag = "2")]
    pub id: String,
    /// Text of the statement, as the client sent it.
    #[prost(string, tag = "3")]
    pub text: String,
    /// Database that the client named at the start of its session.
    #[prost(string, tag = "4")]
    pub database: String,
    /// Database group of the route.
    #[prost(string, tag = "5")]
    pub group: String,
    /// Required freshness: 0 primary, 1 bounded staleness, 2 read your writes.
    #[prost(uint32, tag = "6")]
    pub freshness: u32,
    /// Maximum age of the data in an answer, in microseconds; 0 if `freshness` is 0.
    #[prost(uint64, tag = "7")]
    pub max_age_micros: u64,
    /// Time limit of the statement, in microseconds.
    #[prost(uint64, tag = "8")]
    pub timeout_micros: u64,
    /// Latency objective of the statement, in microseconds.
    #[prost(uint64, tag = "9")]
    pub objective_micros: u64,
    /// Priority of the route; 0 is the highest.
    #[prost(uint32, tag = "10")]
    pub priority: u32,
    /// Place in a transaction: 0 single statement, 1 first of a transaction, 2 first of a read-only
    /// transaction, 3 a later statement.
    #[prost(uint32, tag = "11")]
    pub part: u32,
    /// Values of the session.
    #[prost(message, repeated, tag = "12")]
    pub values: Vec<NamedText>,
    /// Whether the prepared statement that this one executes writes; `None` if it executes none.
    #[prost(bool, optional, tag = "13")]
    pub shape_writes: Option<bool>,
    /// Text of the prepared statement; empty if none is executed.
    #[prost(string, tag = "14")]
    pub shape_text: String,
    /// Position of the session's last commit.
    #[prost(message, optional, tag = "15")]
    pub position: Option<PositionField>,
    /// Whether an earlier commit of the session has an unknown outcome.
    #[prost(bool, tag = "16")]
    pub has_doubt: bool,
    /// Serial number of the forwarded statement.
    #[prost(uint64, tag = "17")]
    pub serial: u64,
    /// Tenant of the session, if the route needs a key.
    #[prost(message, optional, tag = "18")]
    pub tenant: Option<TenantField>,
}

/// Tenant of a session.
#[derive(Clone, PartialEq, prost::Message)]
pub struct TenantField {
    /// Name of the tenant.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Digest of the session's key.
    #[prost(bytes = "vec", tag = "2")]
    pub key_digest: Vec<u8>,
    /// Version of the configuration that resolved the key.
    #[prost(uint64, tag = "3")]
    pub catalog_version: u64,
}

/// An answer to a forwarded statement.
#[derive(Clone, PartialEq, prost::Message)]
pub struct AnswerFrame {
    /// Number of the session on the link.
    #[prost(uint64, tag = "1")]
    pub session: u64,
    /// Rows of the answer.
    #[prost(string, repeated, tag = "2")]
    pub rows: Vec<String>,
    /// Signature with which the target completed the statement, if it returned one.
    #[prost(string, optional, tag = "3")]
    pub signature: Option<String>,
    /// Number of the error code, counted from 1; 0 for success.
    #[prost(uint32, tag = "4")]
    pub code: u32,
    /// Error message; empty for success.
    #[prost(string, tag = "5")]
    pub text: String,
    /// State of the session: 0 idle, 1 in a transaction, 2 in a failed transaction.
    #[prost(uint32, tag = "6")]
    pub state: u32,
    /// Position in the target's log.
    #[prost(message, optional, tag = "7")]
    pub position: Option<PositionField>,
    /// Serial number of the statement that this answers.
    #[prost(uint64, tag = "8")]
    pub serial: u64,
    /// Whether the home is cut off from the database group.
    #[prost(bool, tag = "9")]
    pub is_isolated: bool,
    /// Time after which the client may retry a refused statement, in microseconds.
    #[prost(uint64, optional, tag = "10")]
    pub retry_after_micros: Option<u64>,
    /// Whether nothing of the refused statement's operation was sent to a target.
    #[prost(bool, tag = "11")]
    pub is_unsent: bool,
}

/// Error codes in the order of their numbers on the link, which start at 1. New codes go to the
/// end.
const CODES: [ClientCode; 12] = [
    ClientCode::Busy,
    ClientCode::Aborted,
    ClientCode::Lagging,
    ClientCode::ReadOnly,
    ClientCode::Failed,
    ClientCode::NoStatement,
    ClientCode::Timeout,
    ClientCode::UnknownDatabase,
    ClientCode::TooLarge,
    ClientCode::Malformed,
    ClientCode::InDoubt,
    ClientCode::Unauthorized,
];

/// Number of [`TransactionPart::Later`].
const LATER_PART: u32 = 3;

fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}

fn encode_position(position: GroupPosition) -> PositionField {
    PositionField {
        term: position.term.0,
        position: position.position.0,
    }
}

fn decode_position(field: PositionField) -> GroupPosition {
    GroupPosition::new(field.term, field.position)
}

impl FrameBody {
    /// Returns the name of the kind of frame, for log lines; a frame itself may have megabytes.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Query(_) => "Query",
            Self::Rollback(_) => "Rollback",
            Self::End(_) => "End",
            Self::Answer(_) => "Answer",
            Self::Ping(_) => "Ping",
            Self::Pong(_) => "Pong",
            Self::Leaving(_) => "Leaving",
            Self::Follow(_) => "Follow",
            Self::State(_) => "State",
            Self::Detached(_) => "Detached",
            Self::FollowPacked(_) => "FollowPacked",
            Self::ProofRequest(_) => "ProofRequest",
            Self::Proof(_) => "Proof",
            Self::QuotaRequest(_) => "QuotaRequest",
            Self::QuotaGrant(_) => "QuotaGrant",
            Self::Readers(_) => "Readers",
            Self::ReadersRequest(_) => "ReadersRequest",
        }
    }
}

impl QueryFrame {
    /// Returns whether the statement continues a transaction.
    pub fn continues_transaction(&self) -> bool {
        self.part == LATER_PART
    }
}

/// Encodes a forwarded statement.
pub fn query_frame(session: u64, forwarded: ForwardedQuery) -> QueryFrame {
    let (freshness, max_age) = match forwarded.route.freshness {
        RouteFreshness::Primary => (0, Duration::ZERO),
        RouteFreshness::Bounded { max_age } => (1, max_age),
        RouteFreshness::ReadYourWrites { max_age } => (2, max_age),
    };
    let shape = forwarded.shape;
    QueryFrame {
        session,
        id: forwarded.query.id,
        text: forwarded.query.text,
        database: forwarded.route.database,
        group: forwarded.route.group,
        freshness,
        max_age_micros: micros(max_age),
        timeout_micros: micros(forwarded.route.timeout),
        objective_micros: micros(forwarded.route.objective),
        priority: forwarded.route.priority,
        part: match forwarded.part {
            TransactionPart::Single => 0,
            TransactionPart::First {
                is_read_only: false,
            } => 1,
            TransactionPart::First { is_read_only: true } => 2,
            TransactionPart::Later => LATER_PART,
        },
        values: forwarded
            .values
            .into_iter()
            .map(|(name, text)| NamedText { name, text })
            .collect(),
        shape_writes: shape.as_ref().map(|shape| shape.is_write),
        shape_text: shape.map(|shape| shape.text).unwrap_or_default(),
        position: forwarded.position.map(encode_position),
        has_doubt: forwarded.has_doubt,
        serial: forwarded.serial,
        tenant: forwarded.tenant.map(|tenant| TenantField {
            name: tenant.name.to_string(),
            key_digest: tenant.key.as_bytes().to_vec(),
            catalog_version: tenant.catalog_version,
        }),
    }
}

/// Decodes the tenant of a session; `None` if a field is malformed.
fn forwarded_tenant(field: TenantField) -> Option<ForwardedTenant> {
    Some(ForwardedTenant {
        name: field.name.parse().ok()?,
        key: KeyDigest::from_bytes(&field.key_digest)?,
        catalog_version: field.catalog_version,
    })
}

/// Decodes a forwarded statement; `None` if a number is unknown or the text is not a query.
pub fn forwarded_query(frame: QueryFrame, wire: &dyn WireFormat) -> Option<ForwardedQuery> {
    let max_age = Duration::from_micros(frame.max_age_micros);
    let freshness = match frame.freshness {
        0 => RouteFreshness::Primary,
        1 => RouteFreshness::Bounded { max_age },
        2 => RouteFreshness::ReadYourWrites { max_age },
        _ => return None,
    };
    let query: ClientQuery = match wire.decode_query(frame.id, frame.text) {
        ClientInput::Query(query) => query,
        _ => return None,
    };
    let mut values = frame
        .values
        .into_iter()
        .map(|value| (value.name, value.text))
        .collect::<Vec<_>>();
    values.sort();
    let tenant = match frame.tenant {
        Some(field) => Some(forwarded_tenant(field)?),
        None => None,
    };
    Some(ForwardedQuery {
        serial: frame.serial,
        query,
        route: SessionRoute {
            database: frame.database,
            group: frame.group,
            freshness,
            timeout: Duration::from_micros(frame.timeout_micros),
            objective: Duration::from_micros(frame.objective_micros),
            priority: frame.priority,
            is_public: tenant.is_none(),
        },
        part: match frame.part {
            0 => TransactionPart::Single,
            1 => TransactionPart::First {
                is_read_only: false,
            },
            2 => TransactionPart::First { is_read_only: true },
            LATER_PART => TransactionPart::Later,
            _ => return None,
        },
        values,
        shape: frame.shape_writes.map(|is_write| PreparedShape {
            is_write,
            text: frame.shape_text,
        }),
        position: frame.position.map(decode_position),
        has_doubt: frame.has_doubt,
        tenant,
    })
}

/// Encodes the answer to a forwarded statement.
pub fn answer_frame(session: u64, serial: u64, answer: ClientAnswer) -> AnswerFrame {
    let (signature, code, text, retry_after) = match answer.end {
        Ok(signature) => (signature, 0, String::new(), None),
        Err(error) => {
            let index = CODES.iter().position(|known| *known == error.code);
            let index = index.expect("every code has a number");
            (None, index as u32 + 1, error.text, error.retry_after)
        }
    };
    AnswerFrame {
        session,
        serial,
        is_isolated: answer.is_isolated,
        is_unsent: answer.is_unsent,
        rows: answer.rows,
        signature,
        code,
        text,
        retry_after_micros: retry_after.map(micros),
        state: match answer.state {
            SessionState::Idle => 0,
            SessionState::Transaction => 1,
            SessionState::Failed => 2,
        },
        position: answer.position.map(encode_position),
    }
}

/// Decodes the answer to a forwarded statement; `None` if the code or the session state is unknown.
pub fn client_answer(frame: AnswerFrame) -> Option<ClientAnswer> {
    let end = match frame.code {
        0 => Ok(frame.signature),
        code => Err(ClientError {
            code: *CODES.get(code as usize - 1)?,
            text: frame.text,
            retry_after: frame.retry_after_micros.map(Duration::from_micros),
        }),
    };
    Some(ClientAnswer {
        rows: frame.rows,
        end,
        state: match frame.state {
            0 => SessionState::Idle,
            1 => SessionState::Transaction,
            2 => SessionState::Failed,
            _ => return None,
        },
        position: frame.position.map(decode_position),
        is_isolated: frame.is_isolated,
        is_unsent: frame.is_unsent,
    })
}

/// Encodes a request for tokens.
pub fn quota_request_frame(request: &QuotaRequest) -> QuotaRequestFrame {
    QuotaRequestFrame {
        tenant: request.tenant.to_string(),
        wanted: request.wanted,
        number: request.number,
        held: request.held,
        returned: request.returned,
        reserve: request.reserve,
        waiting: request.waiting,
    }
}

/// Decodes a request for tokens; `None` if the tenant's name is malformed.
pub fn quota_request(frame: QuotaRequestFrame) -> Option<QuotaRequest> {
    Some(QuotaRequest {
        tenant: frame.tenant.parse().ok()?,
        wanted: frame.wanted,
        waiting: frame.waiting,
        number: frame.number,
        held: frame.held,
        returned: frame.returned,
        reserve: frame.reserve,
    })
}

/// Encodes the answer to a request for tokens.
pub fn quota_grant_frame(tenant: &TenantName, number: u64, grant: QuotaGrant) -> QuotaGrantFrame {
    QuotaGrantFrame {
        tenant: tenant.to_string(),
        number,
        granted: grant.granted,
        reserved: grant.reserved,
        retry_after_micros: grant.retry_after.map(micros),
    }
}

/// Decodes the answer to a request for tokens: the tenant, the number of the request and the grant.
/// Returns `None` if the tenant's name is malformed.
pub fn quota_grant(frame: QuotaGrantFrame) -> Option<(TenantName, u64, QuotaGrant)> {
    let grant = QuotaGrant {
        granted: frame.granted,
        reserved: frame.reserved,
        retry_after: frame.retry_after_micros.map(Duration::from_micros),
    };
    Some((frame.tenant.parse().ok()?, frame.number, grant))
}
