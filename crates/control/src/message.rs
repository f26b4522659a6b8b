//! Bodies of `Control` messages between instances, with a bounded decoder.
//!
//! A message is one frame of the peer link. Lists have limits that are checked after decoding; the
//! frame limit bounds the memory of the decoder itself.

use std::net::SocketAddr;

use displaydoc::Display;
use prost::Message;
use prost::Oneof;

use heatherhollow_types::IdError;
use heatherhollow_types::Incarnation;
use heatherhollow_types::InstanceName;

use crate::member::MemberRecord;
use crate::member::MemberState;

/// Longest encoded message in bytes; a frame of the peer link has at most 64 KB with its head.
pub const MAX_CONTROL_BYTES: usize = 64_000;

/// Most member records of a message, and most data centres: 200 records with the longest names and a
/// list of as many data centres stay below the frame limit.
pub const MAX_RECORDS: usize = 200;

/// Most updates that ride on a probe.
pub const MAX_UPDATES: usize = 8;

/// Most documents of an instance, and entries of other lists: 700 paths of the longest names with
/// their revisions stay below the frame limit.
pub const MAX_ENTRIES: usize = 700;

/// Most bytes of a settings document in one message.
pub const MAX_PART_BYTES: usize = 48_000;

/// Body of a `Control` message.
#[derive(Clone, PartialEq, Message)]
pub struct ControlMessage {
    /// What it says.
    #[prost(
        oneof = "ControlBody",
        tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14"
    )]
    pub body: Option<ControlBody>,
}

/// The kinds of `Control` message.
#[derive(Clone, PartialEq, Oneof)]
pub enum ControlBody {
    /// Are you there?
    #[prost(message, tag = "1")]
    Probe(ProbeMessage),
    /// I am here.
    #[prost(message, tag = "2")]
    ProbeAck(ProbeMessage),
    /// Probe another member for me.
    #[prost(message, tag = "3")]
    ProbeRequest(ProbeRequest),
    /// The other member answered.
    #[prost(message, tag = "4")]
    ProbeReport(ProbeRequest),
    /// Digests of members.
    #[prost(message, tag = "5")]
    MemberDigests(MemberDigests),
    /// Members in full.
    #[prost(message, tag = "6")]
    MemberRecords(MemberRecords),
    /// A document has a new revision.
    #[prost(message, tag = "7")]
    SettingsNotice(SettingsRevision),
    /// Send me these documents.
    #[prost(message, tag = "8")]
    SettingsWant(SettingsWant),
    /// A document or part of one.
    #[prost(message, tag = "9")]
    SettingsPush(SettingsPush),
    /// Revisions of all documents.
    #[prost(message, tag = "10")]
    SettingsRevisions(SettingsRevisions),
    /// Positions of groups, from an observer.
    #[prost(message, tag = "11")]
    Observations(ObservationList),
    /// An observer suspects a primary.
    #[prost(message, tag = "12")]
    Suspicion(PrimarySuspicion),
    /// A new holder asks for permits.
    #[prost(message, tag = "13")]
    PermitAsk(PermitList),
    /// Permits that the sender does not use.
    #[prost(message, tag = "14")]
    PermitGiven(PermitList),
}

/// A probe or its answer, with what rides on it.
#[derive(Clone, PartialEq, Message)]
pub struct ProbeMessage {
    /// Number of the probe at its sender.
    #[prost(uint32, tag = "1")]
    pub sequence: u32,
    /// Digest of the sender's members.
    #[prost(fixed64, tag = "2")]
    pub members_digest: u64,
    /// Digest of the sender's settings.
    #[prost(fixed64, tag = "3")]
    pub settings_digest: u64,
    /// Signs of life of the region's data centres.
    #[prost(message, repeated, tag = "4")]
    pub beats: Vec<CentreBeat>,
    /// Changes of members.
    #[prost(message, repeated, tag = "5")]
    pub updates: Vec<RecordForm>,
}

/// Counter that a data centre's relays raise once a second.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct CentreBeat {
    /// Name of the data centre.
    #[prost(string, tag = "1")]
    pub centre: String,
    /// The counter.
    #[prost(uint32, tag = "2")]
    pub beat: u32,
}

/// A member in a message.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct RecordForm {
    /// Its name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Its data centre.
    #[prost(string, tag = "2")]
    pub centre: String,
    /// Its run.
    #[prost(uint64, tag = "3")]
    pub incarnation: u64,
    /// Refutations within the run.
    #[prost(uint32, tag = "4")]
    pub refutation: u32,
    /// Its state, as a number.
    #[prost(uint32, tag = "5")]
    pub state: u32,
    /// Address of its peer listener; empty if there is none.
    #[prost(string, tag = "6")]
    pub address: String,
}

impl From<&MemberRecord> for RecordForm {
    fn from(record: &MemberRecord) -> Self {
        Self {
            name: record.name.to_string(),
            centre: record.centre.to_string(),
            incarnation: record.incarnation.0,
            refutation: record.refutation,
            state: record.state.number(),
            address: record.address.map_or_else(String::new, |a| a.to_string()),
        }
    }
}

impl TryFrom<RecordForm> for MemberRecord {
    type Error = ControlError;

    fn try_from(form: RecordForm) -> Result<Self, ControlError> {
        let address: Option<SocketAddr> = match form.address.as_str() {
            "" => None,
            text => Some(text.parse().map_err(|_| ControlError::BadAddress)?),
        };
        Ok(Self {
            name: form.name.try_into()?,
            centre: form.centre.try_into()?,
            incarnation: Incarnation(form.incarnation),
            refutation: form.refutation,
            state: MemberState::from_number(form.state).ok_or(ControlError::BadState)?,
            address,
        })
    }
}

/// Request to probe a member, or the report that it answered.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ProbeRequest {
    /// Number of the probe at the one who asks.
    #[prost(uint32, tag = "1")]
    pub sequence: u32,
    /// Name of the member.
    #[prost(string, tag = "2")]
    pub member: String,
}

/// Digests of members by data centre.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct MemberDigests {
    /// A digest for each data centre that the sender knows members of.
    #[prost(message, repeated, tag = "1")]
    pub centres: Vec<CentreDigest>,
}

/// Digest of the members of a data centre.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct CentreDigest {
    /// Name of the data centre.
    #[prost(string, tag = "1")]
    pub centre: String,
    /// Digest of its members that are not gone.
    #[prost(fixed64, tag = "2")]
    pub digest: u64,
}

/// Members in full.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct MemberRecords {
    /// The members.
    #[prost(message, repeated, tag = "1")]
    pub records: Vec<RecordForm>,
    /// Data centres whose members the sender wants in return.
    #[prost(string, repeated, tag = "2")]
    pub wanted: Vec<String>,
}

/// Revision of a document.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct SettingsRevision {
    /// Path of the document.
    #[prost(string, tag = "1")]
    pub path: String,
    /// Its revision in the store.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
}

/// Paths of wanted documents.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct SettingsWant {
    /// The paths.
    #[prost(string, repeated, tag = "1")]
    pub paths: Vec<String>,
}

/// A document or part of one.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct SettingsPush {
    /// Path of the document.
    #[prost(string, tag = "1")]
    pub path: String,
    /// Its revision.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// Whether the document was removed.
    #[prost(bool, tag = "3")]
    pub is_removed: bool,
    /// Number of this part, from zero.
    #[prost(uint32, tag = "4")]
    pub part: u32,
    /// Number of parts.
    #[prost(uint32, tag = "5")]
    pub parts: u32,
    /// Bytes of this part.
    #[prost(bytes = "vec", tag = "6")]
    pub bytes: Vec<u8>,
}

/// Revisions of all documents of an instance.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct SettingsRevisions {
    /// The revisions.
    #[prost(message, repeated, tag = "1")]
    pub entries: Vec<SettingsRevision>,
    /// Whether the sender has a complete set.
    #[prost(bool, tag = "2")]
    pub is_ready: bool,
    /// Whether the sender wants the receiver's revisions in return.
    #[prost(bool, tag = "3")]
    pub wants_reply: bool,
}

/// Observations of several groups.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ObservationList {
    /// The observations.
    #[prost(message, repeated, tag = "1")]
    pub entries: Vec<GroupObservation>,
}

/// What an observer has seen of a target of a group.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct GroupObservation {
    /// Team of the group.
    #[prost(string, tag = "1")]
    pub team: String,
    /// The group.
    #[prost(string, tag = "2")]
    pub group: String,
    /// Index of the target.
    #[prost(uint32, tag = "3")]
    pub target: u32,
    /// Its term.
    #[prost(uint64, tag = "4")]
    pub term: u64,
    /// Its log position.
    #[prost(uint64, tag = "5")]
    pub position: u64,
    /// Age of the observation when it was sent.
    #[prost(uint32, tag = "6")]
    pub age_ms: u32,
    /// Whether it is the primary.
    #[prost(bool, tag = "7")]
    pub is_primary: bool,
}

/// An observer's opinion of a primary.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct PrimarySuspicion {
    /// Team of the group.
    #[prost(string, tag = "1")]
    pub team: String,
    /// The group.
    #[prost(string, tag = "2")]
    pub group: String,
    /// Term of the primary.
    #[prost(uint64, tag = "3")]
    pub term: u64,
    /// Whether it is suspected, or no longer.
    #[prost(bool, tag = "4")]
    pub is_suspected: bool,
}

/// Permits of a service at a target.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct PermitList {
    /// The team.
    #[prost(string, tag = "1")]
    pub team: String,
    /// The service.
    #[prost(string, tag = "2")]
    pub service: String,
    /// The target.
    #[prost(string, tag = "3")]
    pub target: String,
    /// Numbers of the permits.
    #[prost(uint32, repeated, tag = "4")]
    pub permits: Vec<u32>,
}

impl From<ControlBody> for ControlMessage {
    fn from(body: ControlBody) -> Self {
        Self { body: Some(body) }
    }
}

impl ControlMessage {
    /// The encoded message.
    pub fn encode_bytes(&self) -> Vec<u8> {
        self.encode_to_vec()
    }

    /// Reads a message that another instance sent, within the limits of this module.
    pub fn decode_bytes(bytes: &[u8]) -> Result<ControlBody, ControlError> {
        if bytes.len() > MAX_CONTROL_BYTES {
            return Err(ControlError::TooLong(bytes.len(), MAX_CONTROL_BYTES));
        }
        let message = Self::decode(bytes).map_err(|e| ControlError::Malformed(e.to_string()))?;
        let body = message.body.ok_or(ControlError::Unknown)?;
        let passed = list_lengths(&body)
            .into_iter()
            .find(|(count, limit)| count > limit);
        if let Some((count, limit)) = passed {
            return Err(ControlError::TooMany(count, limit));
        }
        Ok(body)
    }
}

/// Lengths of the lists of a message, with their limits.
fn list_lengths(body: &ControlBody) -> Vec<(usize, usize)> {
    match body {
        ControlBody::Probe(probe) | ControlBody::ProbeAck(probe) => vec![
            (probe.updates.len(), MAX_UPDATES),
            (probe.beats.len(), MAX_RECORDS),
        ],
        ControlBody::MemberRecords(list) => vec![
            (list.records.len(), MAX_RECORDS),
            (list.wanted.len(), MAX_RECORDS),
        ],
        ControlBody::MemberDigests(list) => vec![(list.centres.len(), MAX_RECORDS)],
        ControlBody::SettingsWant(want) => vec![(want.paths.len(), MAX_ENTRIES)],
        ControlBody::SettingsRevisions(list) => vec![(list.entries.len(), MAX_ENTRIES)],
        ControlBody::Observations(list) => vec![(list.entries.len(), MAX_ENTRIES)],
        ControlBody::PermitAsk(list) | ControlBody::PermitGiven(list) => {
            vec![(list.permits.len(), MAX_ENTRIES)]
        }
        ControlBody::SettingsPush(push) => vec![(push.bytes.len(), MAX_PART_BYTES)],
        ControlBody::ProbeRequest(_)
        | ControlBody::ProbeReport(_)
        | ControlBody::SettingsNotice(_)
        | ControlBody::Suspicion(_) => Vec::new(),
    }
}

/// A message to another instance.
#[derive(Debug, Clone, PartialEq)]
pub struct ControlSend {
    /// The receiver.
    pub to: InstanceName,
    /// The message.
    pub body: ControlBody,
}

impl ControlSend {
    /// A message to `to`.
    pub fn new(to: &InstanceName, body: ControlBody) -> Self {
        Self {
            to: to.clone(),
            body,
        }
    }
}

/// Why bytes are not a control message.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum ControlError {
    /// the message has {0} bytes, more than the limit of {1}
    TooLong(usize, usize),
    /// the message is malformed: {0}
    Malformed(String),
    /// the message has a kind that this version does not know
    Unknown,
    /// a list of the message has {0} entries, more than the limit of {1}
    TooMany(usize, usize),
    /// a name of the message is not valid: {0}
    BadName(IdError),
    /// an address of the message is not valid
    BadAddress,
    /// a state of the message is not known
    BadState,
}

impl std::error::Error for ControlError {}

impl From<IdError> for ControlError {
    fn from(error: IdError) -> Self {
        Self::BadName(error)
    }
}
