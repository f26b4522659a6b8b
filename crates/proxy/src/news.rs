//! Control messages between instances that the engine sends and takes itself.

use bytes::Bytes;
use prost::Message;
use prost::Oneof;

use heatherhollow_control::ControlBody;
use heatherhollow_control::ControlMessage;
use heatherhollow_control::PermitKey;
use heatherhollow_types::GroupName;
use heatherhollow_types::Incarnation;
use heatherhollow_types::InstanceName;
use heatherhollow_types::PermitNumber;
use heatherhollow_types::TermNumber;

use crate::group::GroupNews;
use crate::view::MemberView;

/// Digest of the settings in force at an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SettingsDigest(pub u64);

/// A control message.
#[derive(Debug, Clone, PartialEq)]
pub enum NodeNews {
    /// What the sender says of itself.
    Announce(MemberView, SettingsDigest),
    /// News of a group.
    Group(GroupName, GroupNews),
    /// The sender wants a permit that the receiver holds.
    AskPermit(PermitKey),
    /// The sender does not use a permit any more.
    GivePermit(PermitKey),
    /// A message of the settings exchange.
    Control(Box<ControlBody>),
}

#[derive(Clone, PartialEq, Message)]
struct NewsMessage {
    #[prost(oneof = "NewsBody", tags = "1, 2, 3, 4, 5")]
    body: Option<NewsBody>,
}

#[derive(Clone, PartialEq, Oneof)]
enum NewsBody {
    #[prost(message, tag = "1")]
    Announce(AnnounceMessage),
    #[prost(message, tag = "2")]
    Group(GroupMessage),
    #[prost(message, tag = "3")]
    AskPermit(PermitMessage),
    #[prost(message, tag = "4")]
    GivePermit(PermitMessage),
    #[prost(bytes, tag = "5")]
    Control(Vec<u8>),
}

#[derive(Clone, PartialEq, Message)]
struct AnnounceMessage {
    #[prost(string, tag = "1")]
    instance: String,
    #[prost(uint64, tag = "2")]
    incarnation: u64,
    #[prost(string, tag = "3")]
    data_centre: String,
    #[prost(string, tag = "4")]
    region: String,
    #[prost(bool, tag = "5")]
    can_hold: bool,
    #[prost(bool, tag = "6")]
    is_leaving: bool,
    #[prost(fixed64, tag = "7")]
    settings_digest: u64,
}

#[derive(Clone, PartialEq, Message)]
struct GroupMessage {
    #[prost(string, tag = "1")]
    group: String,
    #[prost(uint64, tag = "2")]
    term: u64,
    /// Empty for a suspicion, else the target that was promoted.
    #[prost(string, tag = "3")]
    promoted: String,
}

#[derive(Clone, PartialEq, Message)]
struct PermitMessage {
    #[prost(string, tag = "1")]
    team: String,
    #[prost(string, tag = "2")]
    service: String,
    #[prost(string, tag = "3")]
    target: String,
    #[prost(uint32, tag = "4")]
    permit: u32,
}

impl NodeNews {
    /// The message as bytes.
    pub fn encode(&self) -> Bytes {
        let body = match self {
            Self::Announce(member, digest) => NewsBody::Announce(AnnounceMessage {
                instance: member.instance.to_string(),
                incarnation: member.incarnation.0,
                data_centre: member.data_centre.to_string(),
                region: member.region.to_string(),
                can_hold: member.can_hold,
                is_leaving: member.is_leaving,
                settings_digest: digest.0,
            }),
            Self::Group(group, news) => {
                let (term, promoted) = match news {
                    GroupNews::Suspected(term) => (term, String::new()),
                    GroupNews::Promoted(term, target) => (term, target.to_string()),
                };
                let group = group.to_string();
                NewsBody::Group(GroupMessage {
                    group,
                    term: term.0,
                    promoted,
                })
            }
            Self::AskPermit(key) => NewsBody::AskPermit(permit_message(key)),
            Self::GivePermit(key) => NewsBody::GivePermit(permit_message(key)),
            Self::Control(body) => {
                let message = ControlMessage {
                    body: Some(*body.clone()),
                };
                NewsBody::Control(message.encode_bytes())
            }
        };
        Bytes::from(NewsMessage { body: Some(body) }.encode_to_vec())
    }

    /// Reads a message; `None` if it is malformed or of a later version.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        match NewsMessage::decode(bytes).ok()?.body? {
            NewsBody::Announce(message) => {
                let digest = SettingsDigest(message.settings_digest);
                let member = MemberView {
                    instance: message.instance.parse::<InstanceName>().ok()?,
                    incarnation: Incarnation(message.incarnation),
                    data_centre: message.data_centre.parse().ok()?,
                    region: message.region.parse().ok()?,
                    can_hold: message.can_hold,
                    is_leaving: message.is_leaving,
                    is_connected: true,
                };
                Some(Self::Announce(member, digest))
            }
            NewsBody::Group(message) => {
                let term = TermNumber(message.term);
                let news = if message.promoted.is_empty() {
                    GroupNews::Suspected(term)
                } else {
                    GroupNews::Promoted(term, message.promoted.parse().ok()?)
                };
                Some(Self::Group(message.group.parse().ok()?, news))
            }
            NewsBody::AskPermit(message) => Some(Self::AskPermit(permit_key(&message)?)),
            NewsBody::GivePermit(message) => Some(Self::GivePermit(permit_key(&message)?)),
            NewsBody::Control(bytes) => {
                let body = ControlMessage::decode_bytes(&bytes).ok()?;
                Some(Self::Control(Box::new(body)))
            }
        }
    }
}

fn permit_message(key: &PermitKey) -> PermitMessage {
    PermitMessage {
        team: key.team.to_string(),
        service: key.service.to_string(),
        target: key.target.to_string(),
        permit: key.permit.0.into(),
    }
}

fn permit_key(message: &PermitMessage) -> Option<PermitKey> {
    Some(PermitKey {
        team: message.team.parse().ok()?,
        service: message.service.parse().ok()?,
        target: message.target.parse().ok()?,
        permit: PermitNumber(message.permit.try_into().ok()?),
    })
}
