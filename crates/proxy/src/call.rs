//! Calls inside the system: what a caller asked for, and how it travels between instances.
//!
//! The instance that a caller is connected to (the entry) hands a call to a coordinator of the group;
//! the coordinator chooses the target and hands an [`ExecuteCall`] to an instance that holds
//! connections to it. Each of the three may be the same instance.

use std::str::FromStr;
use std::time::Duration;

use bytes::Bytes;
use displaydoc::Display;
use prost::Message;

use heatherhollow_ports::CallStep;
use heatherhollow_ports::TargetCall;
use heatherhollow_session::ReadRequirement;
use heatherhollow_types::CallKind;
use heatherhollow_types::GroupPosition;
use heatherhollow_types::KindName;
use heatherhollow_types::LogPosition;
use heatherhollow_types::MonoTime;
use heatherhollow_types::RequestId;
use heatherhollow_types::ServiceName;
use heatherhollow_types::TargetIndex;
use heatherhollow_types::TeamName;
use heatherhollow_types::TermNumber;
use heatherhollow_types::TransactionId;

/// Longest statement in bytes.
pub const MAX_STATEMENT_BYTES: usize = 32 * 1024;

/// Step of a transaction after its begin.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TransactionStep {
    /// A statement.
    Within,
    /// The commit.
    Commit,
    /// The rollback.
    Rollback,
}

/// What a caller asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallAction {
    /// A read of this kind.
    Read(KindName),
    /// A write in its own transaction.
    Write,
    /// Opens a transaction.
    Begin,
    /// A step of an open transaction.
    Step(TransactionId, TransactionStep),
}

/// A caller's call to a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceCall {
    /// The caller's team.
    pub team: TeamName,
    /// The service.
    pub service: ServiceName,
    /// What to do.
    pub action: CallAction,
    /// The statement; empty for steps that have none.
    pub statement: String,
    /// Idempotency key.
    pub request: Option<RequestId>,
    /// Whether the caller allows the call to be sent twice.
    pub is_repeatable: bool,
    /// What the session asks of the state that a read sees.
    pub requirement: ReadRequirement,
    /// When it arrived at this instance.
    pub arrived: MonoTime,
    /// When the caller stops waiting.
    pub deadline: MonoTime,
}

/// A call to one target, for an instance that holds connections to it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ExecuteCall {
    /// The caller's team.
    pub team: TeamName,
    /// The service.
    pub service: ServiceName,
    /// The target.
    pub target: TargetIndex,
    /// Class for admission.
    pub kind: CallKind,
    /// Whether the connection has to be known to work.
    pub is_strict: bool,
    /// For a read: time without an answer after which its connection is given up.
    pub doubt_after: Option<Duration>,
    /// The call.
    pub call: TargetCall,
    /// When it arrived at this instance.
    pub arrived: MonoTime,
    /// When the caller stops waiting.
    pub deadline: MonoTime,
}

/// A call that another instance sends.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ForwardedCall {
    /// Coordinate the call.
    Service(ServiceCall),
    /// Run the call at a target.
    Execute(ExecuteCall),
}

/// A forwarded call that cannot be understood.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum CallError {
    /// the message is malformed
    Malformed,
    /// the field {0} is missing or out of range
    BadField(&'static str),
}

impl std::error::Error for CallError {}

#[derive(Clone, PartialEq, Message)]
struct CallMessage {
    #[prost(string, tag = "1")]
    team: String,
    #[prost(string, tag = "2")]
    service: String,
    #[prost(uint32, tag = "3")]
    action: u32,
    #[prost(string, tag = "4")]
    kind: String,
    #[prost(string, tag = "5")]
    statement: String,
    #[prost(string, tag = "6")]
    request: String,
    #[prost(bool, tag = "7")]
    is_repeatable: bool,
    #[prost(uint32, tag = "8")]
    requirement: u32,
    #[prost(uint64, tag = "9")]
    term: u64,
    #[prost(uint64, tag = "10")]
    position: u64,
    #[prost(string, tag = "11")]
    transaction: String,
    #[prost(uint32, tag = "12")]
    target: u32,
    #[prost(uint32, tag = "13")]
    class: u32,
    #[prost(bool, tag = "14")]
    is_strict: bool,
    #[prost(bool, tag = "15")]
    is_read_only: bool,
    #[prost(uint32, tag = "16")]
    step: u32,
    /// 0: none.
    #[prost(uint32, tag = "17")]
    doubt_millis: u32,
}

const ACTION_READ: u32 = 1;
const ACTION_WRITE: u32 = 2;
const ACTION_BEGIN: u32 = 3;
const ACTION_WITHIN: u32 = 4;
const ACTION_COMMIT: u32 = 5;
const ACTION_ROLLBACK: u32 = 6;
const ACTION_EXECUTE: u32 = 7;

const STEPS: [CallStep; 5] = [
    CallStep::Single,
    CallStep::Begin,
    CallStep::Within,
    CallStep::Commit,
    CallStep::Rollback,
];

const KINDS: [CallKind; 3] = [CallKind::Transaction, CallKind::Write, CallKind::Read];

impl ForwardedCall {
    /// The call as bytes for a peer. Times do not travel; the peer link carries the time left.
    pub fn encode(&self) -> Bytes {
        let message = match self {
            Self::Service(call) => service_message(call),
            Self::Execute(call) => execute_message(call),
        };
        Bytes::from(message.encode_to_vec())
    }

    /// Reads a call that arrives now and ends at `deadline`.
    pub fn decode(body: &[u8], now: MonoTime, deadline: MonoTime) -> Result<Self, CallError> {
        let message = CallMessage::decode(body).map_err(|_| CallError::Malformed)?;
        if message.statement.len() > MAX_STATEMENT_BYTES {
            return Err(CallError::BadField("statement"));
        }
        if message.action == ACTION_EXECUTE {
            return read_execute(message, now, deadline).map(Self::Execute);
        }
        read_service(message, now, deadline).map(Self::Service)
    }
}

fn service_message(call: &ServiceCall) -> CallMessage {
    let (requirement, need) = match call.requirement {
        ReadRequirement::None => (0, GroupPosition::default()),
        ReadRequirement::AtLeast(need) => (1, need),
        ReadRequirement::Primary => (2, GroupPosition::default()),
    };
    let mut message = CallMessage {
        team: call.team.to_string(),
        service: call.service.to_string(),
        statement: call.statement.clone(),
        request: call
            .request
            .as_ref()
            .map(ToString::to_string)
            .unwrap_or_default(),
        is_repeatable: call.is_repeatable,
        requirement,
        term: need.term.0,
        position: need.position.0,
        ..CallMessage::default()
    };
    match &call.action {
        CallAction::Read(kind) => {
            message.action = ACTION_READ;
            message.kind = kind.to_string();
        }
        CallAction::Write => message.action = ACTION_WRITE,
        CallAction::Begin => message.action = ACTION_BEGIN,
        CallAction::Step(id, step) => {
            message.transaction = id.to_string();
            message.action = match step {
                TransactionStep::Within => ACTION_WITHIN,
                TransactionStep::Commit => ACTION_COMMIT,
                TransactionStep::Rollback => ACTION_ROLLBACK,
            };
        }
    }
    message
}

fn execute_message(call: &ExecuteCall) -> CallMessage {
    let TargetCall {
        statement,
        step,
        is_read_only,
        request,
        term,
    } = &call.call;
    CallMessage {
        action: ACTION_EXECUTE,
        team: call.team.to_string(),
        service: call.service.to_string(),
        statement: statement.clone(),
        request: request
            .as_ref()
            .map(ToString::to_string)
            .unwrap_or_default(),
        term: term.map(|term| term.0).unwrap_or_default(),
        target: call.target.0.into(),
        class: index_of(&KINDS, &call.kind),
        is_strict: call.is_strict,
        is_read_only: *is_read_only,
        step: index_of(&STEPS, step),
        doubt_millis: call.doubt_after.map_or(0, |span| span.as_millis() as u32),
        ..CallMessage::default()
    }
}

fn index_of<T: PartialEq>(items: &[T], item: &T) -> u32 {
    let i = items
        .iter()
        .position(|other| other == item)
        .expect("the list names every variant");
    i as u32
}

fn read_service(
    message: CallMessage,
    arrived: MonoTime,
    deadline: MonoTime,
) -> Result<ServiceCall, CallError> {
    let action = match message.action {
        ACTION_READ => CallAction::Read(
            message
                .kind
                .parse()
                .map_err(|_| CallError::BadField("kind"))?,
        ),
        ACTION_WRITE => CallAction::Write,
        ACTION_BEGIN => CallAction::Begin,
        action => {
            let id = message
                .transaction
                .parse()
                .map_err(|_| CallError::BadField("transaction"))?;
            let step = match action {
                ACTION_WITHIN => TransactionStep::Within,
                ACTION_COMMIT => TransactionStep::Commit,
                ACTION_ROLLBACK => TransactionStep::Rollback,
                _ => return Err(CallError::BadField("action")),
            };
            CallAction::Step(id, step)
        }
    };
    let need = GroupPosition::new(message.term, message.position);
    let requirement = match message.requirement {
        0 => ReadRequirement::None,
        1 => ReadRequirement::AtLeast(need),
        2 => ReadRequirement::Primary,
        _ => return Err(CallError::BadField("requirement")),
    };
    Ok(ServiceCall {
        team: read_name(&message.team, "team")?,
        service: read_name(&message.service, "service")?,
        action,
        statement: message.statement,
        request: read_request(&message.request)?,
        is_repeatable: message.is_repeatable,
        requirement,
        arrived,
        deadline,
    })
}

fn read_execute(
    message: CallMessage,
    arrived: MonoTime,
    deadline: MonoTime,
) -> Result<ExecuteCall, CallError> {
    let target = u16::try_from(message.target).map_err(|_| CallError::BadField("target"))?;
    let kind = KINDS
        .get(message.class as usize)
        .ok_or(CallError::BadField("class"))?;
    let step = STEPS
        .get(message.step as usize)
        .ok_or(CallError::BadField("step"))?;
    Ok(ExecuteCall {
        team: read_name(&message.team, "team")?,
        service: read_name(&message.service, "service")?,
        target: TargetIndex(target),
        kind: *kind,
        is_strict: message.is_strict,
        doubt_after: (message.doubt_millis > 0)
            .then(|| Duration::from_millis(message.doubt_millis.into())),
        call: TargetCall {
            statement: message.statement,
            step: *step,
            is_read_only: message.is_read_only,
            request: read_request(&message.request)?,
            term: (message.term > 0).then_some(TermNumber(message.term)),
        },
        arrived,
        deadline,
    })
}

fn read_name<T: FromStr>(text: &str, field: &'static str) -> Result<T, CallError> {
    text.parse().map_err(|_| CallError::BadField(field))
}

fn read_request(text: &str) -> Result<Option<RequestId>, CallError> {
    if text.is_empty() {
        return Ok(None);
    }
    text.parse()
        .map(Some)
        .map_err(|_| CallError::BadField("request"))
}

/// What the instance that coordinated a call adds to the end of its answer.
#[derive(Clone, PartialEq, Message)]
pub struct EndNote {
    /// Id of the transaction that the call opened; empty if it opened none.
    #[prost(string, tag = "1")]
    pub transaction: String,
    /// Target that gave the answer; empty if none did.
    #[prost(string, tag = "2")]
    pub target: String,
    /// Whether that target was a replica.
    #[prost(bool, tag = "3")]
    pub is_replica: bool,
    /// Greatest possible age of the answer, in microseconds.
    #[prost(uint64, tag = "4")]
    pub age_micros: u64,
    /// Term in which a write with unknown effect was sent; 0 for none.
    #[prost(uint64, tag = "5")]
    pub uncertain_term: u64,
    /// Whether a majority of the targets holds the position of the answer's head.
    #[prost(bool, tag = "6")]
    pub is_head_settled: bool,
}

impl EndNote {
    /// Reads a note; a malformed one counts as empty.
    pub fn read(extra: &[u8]) -> Self {
        Self::decode(extra).unwrap_or_default()
    }

    /// The position that a note's uncertain write may have, if there is one.
    pub fn uncertain_position(&self) -> Option<GroupPosition> {
        let term = TermNumber(self.uncertain_term);
        (self.uncertain_term > 0).then_some(GroupPosition {
            term,
            position: LogPosition(0),
        })
    }
}
