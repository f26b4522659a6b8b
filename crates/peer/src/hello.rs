//! Exchange of hellos at the start of a link.
//!
//! The dialler sends its hello, the listener checks it and sends its own, and the dialler's next
//! frame tells the listener that its hello was accepted.

use std::time::Duration;

use displaydoc::Display;
use futures::SinkExt;
use futures::StreamExt;
use tokio::time::timeout;
use tokio_util::codec::Framed;

use heatherhollow_types::DataCentre;
use heatherhollow_types::Incarnation;
use heatherhollow_types::InstanceName;

use crate::budget::BudgetShare;
use crate::budget::LinkCodec;
use crate::convert;
use crate::counters::HelloRefusal;
use crate::generated as wire;
use crate::settings::MAX_FRAME_BYTES;
use crate::settings::PeerSettings;
use crate::transport::LinkStream;

/// Protocol version of this build.
pub const PROTOCOL_VERSION: u32 = 1;

/// Lowest protocol version that this build speaks.
pub const OLDEST_VERSION: u32 = 1;

/// Largest hello in bytes; larger first frames are not read.
const MAX_HELLO_BYTES: usize = 1024;

/// A byte stream with frames.
pub(crate) type FramedLink = Framed<Box<dyn LinkStream>, LinkCodec>;

/// What a peer's hello says of it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct PeerIdentity {
    pub(crate) instance: InstanceName,
    pub(crate) incarnation: Incarnation,
    pub(crate) data_centre: DataCentre,
    pub(crate) max_streams: usize,
    /// Highest protocol version that both sides speak.
    pub(crate) version: u32,
}

/// Why an exchange of hellos failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub(crate) enum HelloError {
    /// refused the peer: {0}
    Refused(HelloRefusal),
    /// refused by the peer: {0}
    RefusedByPeer(&'static str),
}

/// Puts frames on a byte stream; the first one is bounded by the size of a hello.
pub(crate) fn frame_stream(stream: Box<dyn LinkStream>, share: BudgetShare) -> FramedLink {
    Framed::new(stream, LinkCodec::new(MAX_HELLO_BYTES, share))
}

/// Allows frames of full size, after the peer's hello has been accepted.
pub(crate) fn raise_frame_limit(framed: &mut FramedLink) {
    framed.codec_mut().set_max_frame_length(MAX_FRAME_BYTES);
}

fn own_hello(settings: &PeerSettings) -> wire::Hello {
    wire::Hello {
        version: PROTOCOL_VERSION,
        oldest_version: OLDEST_VERSION,
        instance: settings.instance.to_string(),
        incarnation: settings.incarnation.0,
        data_centre: settings.data_centre.to_string(),
        cluster: settings.cluster.clone(),
        secret: settings.secret.as_bytes().to_vec().into(),
        max_streams: u32::try_from(settings.max_streams).unwrap_or(u32::MAX),
        refusal: String::new(),
    }
}

async fn write_hello(framed: &mut FramedLink, hello: wire::Hello, limit: Duration) -> bool {
    let bytes = convert::encode_frame(wire::frame::Body::Hello(hello));
    matches!(timeout(limit, framed.send(bytes)).await, Ok(Ok(())))
}

/// Sends this instance's hello.
pub(crate) async fn send_hello(
    framed: &mut FramedLink,
    settings: &PeerSettings,
) -> Result<(), HelloError> {
    if write_hello(framed, own_hello(settings), settings.hello_timeout).await {
        Ok(())
    } else {
        Err(HelloError::Refused(HelloRefusal::Incomplete))
    }
}

/// Tells the peer why its hello was refused. The reply does not contain the secret.
pub(crate) async fn send_refusal(
    framed: &mut FramedLink,
    settings: &PeerSettings,
    reason: HelloRefusal,
) {
    let hello = wire::Hello {
        version: PROTOCOL_VERSION,
        oldest_version: OLDEST_VERSION,
        refusal: reason.as_str().to_string(),
        ..wire::Hello::default()
    };
    // The connection is closed afterwards in any case.
    write_hello(framed, hello, settings.hello_timeout).await;
}

/// Reads and checks the peer's hello; `expected` is the instance that was dialled.
pub(crate) async fn read_hello(
    framed: &mut FramedLink,
    settings: &PeerSettings,
    expected: Option<&InstanceName>,
) -> Result<PeerIdentity, HelloError> {
    let incomplete = HelloError::Refused(HelloRefusal::Incomplete);
    let malformed = HelloError::Refused(HelloRefusal::Malformed);
    let bytes = match timeout(settings.hello_timeout, framed.next()).await {
        Err(_) | Ok(None) => return Err(incomplete),
        // The codec reports frames over the limit as invalid data.
        Ok(Some(Err(error))) if error.kind() == std::io::ErrorKind::InvalidData => {
            return Err(malformed);
        }
        Ok(Some(Err(_))) => return Err(incomplete),
        Ok(Some(Ok(bytes))) => bytes,
    };
    let frame = convert::decode_frame(bytes.freeze()).map_err(|_| malformed)?;
    let Some(wire::frame::Body::Hello(hello)) = frame.body else {
        return Err(malformed);
    };
    if !hello.refusal.is_empty() {
        let known = HelloRefusal::ALL
            .iter()
            .find(|reason| reason.as_str() == hello.refusal);
        let text = known.map_or("other", |reason| reason.as_str());
        return Err(HelloError::RefusedByPeer(text));
    }
    check_hello(hello, settings, expected).map_err(HelloError::Refused)
}

/// Checks a hello. The secret comes first after the version, so that a peer without it learns
/// nothing else.
fn check_hello(
    hello: wire::Hello,
    settings: &PeerSettings,
    expected: Option<&InstanceName>,
) -> Result<PeerIdentity, HelloRefusal> {
    let version = hello.version.min(PROTOCOL_VERSION);
    if version < hello.oldest_version || version < OLDEST_VERSION {
        return Err(HelloRefusal::Version);
    }
    if !settings.secret.matches(&hello.secret) {
        return Err(HelloRefusal::Secret);
    }
    if hello.cluster != settings.cluster {
        return Err(HelloRefusal::Cluster);
    }
    let instance: InstanceName = hello
        .instance
        .parse()
        .map_err(|_| HelloRefusal::Malformed)?;
    let data_centre = hello
        .data_centre
        .parse()
        .map_err(|_| HelloRefusal::Malformed)?;
    if instance == settings.instance {
        return Err(HelloRefusal::OwnName);
    }
    if expected.is_some_and(|expected| *expected != instance) {
        return Err(HelloRefusal::UnexpectedInstance);
    }
    Ok(PeerIdentity {
        instance,
        incarnation: Incarnation(hello.incarnation),
        data_centre,
        max_streams: usize::try_from(hello.max_streams).unwrap_or(usize::MAX),
        version,
    })
}
