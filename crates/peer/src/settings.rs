//! Settings of the peer link, and the limits that are part of its protocol.

use std::fmt;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use displaydoc::Display;
use subtle::ConstantTimeEq;

use heatherhollow_types::DataCentre;
use heatherhollow_types::Incarnation;
use heatherhollow_types::InstanceName;

use crate::transport::LinkTransport;
use crate::transport::PlainTransport;

/// Largest frame in bytes, without its length prefix.
pub const MAX_FRAME_BYTES: usize = 64 * 1024;

/// Largest body of a call in bytes. An `Open` message is never split, so that a call was written
/// either as a whole or not at all; the rest of the frame is for its other fields.
pub const MAX_CALL_BYTES: usize = MAX_FRAME_BYTES - 256;

/// Smallest credit window of a stream in bytes. Credits are returned when half of the window has
/// been read, so the other half has to hold the largest part frame.
pub const MIN_WINDOW_BYTES: usize = 64 * 1024;

/// Longest cluster name in bytes.
pub const MAX_CLUSTER_BYTES: usize = 64;

/// Longest shared secret in bytes.
pub const MAX_SECRET_BYTES: usize = 256;

/// Secret that all instances of a cluster share. Its text is never shown.
#[derive(Clone, Default)]
pub struct LinkSecret(Vec<u8>);

impl LinkSecret {
    /// A secret from its bytes.
    pub fn new(bytes: impl Into<Vec<u8>>) -> Self {
        Self(bytes.into())
    }

    /// Whether no secret is set.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// The bytes of the secret.
    pub(crate) fn as_bytes(&self) -> &[u8] {
        &self.0
    }

    /// Compares in a time that depends on the lengths only.
    pub(crate) fn matches(&self, other: &[u8]) -> bool {
        !self.0.is_empty() && bool::from(self.0.as_slice().ct_eq(other))
    }
}

impl fmt::Debug for LinkSecret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("LinkSecret(..)")
    }
}

/// Settings of a [`PeerNetwork`](crate::PeerNetwork).
///
/// `instance`, `incarnation`, `data_centre`, `cluster` and `secret` have to be set; the default has
/// no secret, and a network does not start without one.
///
/// ```
/// use heatherhollow_peer::{LinkSecret, PeerSettings};
/// let settings = PeerSettings {
///     instance: "a-1".parse().unwrap(),
///     cluster: "tarai-willow".to_string(),
///     secret: LinkSecret::new("shared"),
///     ..PeerSettings::default()
/// };
/// assert!(settings.check().is_ok());
/// assert!(PeerSettings::default().check().is_err());
/// ```
#[derive(Debug, Clone)]
pub struct PeerSettings {
    /// Name of this instance.
    pub instance: InstanceName,
    /// Its run.
    pub incarnation: Incarnation,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Name of the cluster; instances of other clusters are refused.
    pub cluster: String,
    /// Secret that the instances of the cluster share.
    pub secret: LinkSecret,
    /// Address of the listener; port 0 lets the system choose.
    pub listen: SocketAddr,
    /// What turns a TCP connection into the byte stream of a link.
    pub transport: Arc<dyn LinkTransport>,
    /// Time between two pings.
    pub ping_interval: Duration,
    /// Time without any frame after which a link is closed.
    pub dead_after: Duration,
    /// Longest time for a TCP connection to be made.
    pub dial_timeout: Duration,
    /// Longest time for each step of the exchange of hellos.
    pub hello_timeout: Duration,
    /// Upper bound of the first delay before a link is dialled again; it doubles each time.
    pub backoff_base: Duration,
    /// Greatest upper bound of that delay.
    pub backoff_limit: Duration,
    /// Time that a shutdown leaves to the streams that are still open.
    pub drain_limit: Duration,
    /// When a call that is refused for lack of streams may be tried again.
    pub refusal_retry_after: Duration,
    /// Most streams that are open at once on a link, for each direction.
    pub max_streams: usize,
    /// Credit window of a stream in bytes: what a peer may send before the reader takes it.
    pub stream_window: usize,
    /// Largest row in bytes.
    pub max_row_bytes: usize,
    /// Largest control message in bytes.
    pub max_control_bytes: usize,
    /// Most bytes of control messages that wait on a link; further ones are dropped.
    pub control_queue_bytes: usize,
    /// Most bytes of frames and control messages that have arrived in part, on all links. A link that
    /// exceeds it with a frame is closed; a control message is dropped.
    pub max_incoming_bytes: usize,
    /// Most links at once.
    pub max_links: usize,
    /// Most accepted connections that have not exchanged hellos yet.
    pub max_pending_hellos: usize,
    /// Most connections that are dialled at once.
    pub max_dials: usize,
    /// Size of the socket's send buffer in bytes. What waits there cannot be overtaken by a
    /// heartbeat or control message.
    pub send_buffer_bytes: u32,
    /// Seed of the jitter; none takes one from the system.
    pub jitter_seed: Option<u64>,
}

impl Default for PeerSettings {
    fn default() -> Self {
        Self {
            instance: "unnamed".parse().expect("a valid name"),
            incarnation: Incarnation(0),
            data_centre: "unnamed".parse().expect("a valid name"),
            cluster: "unnamed".to_string(),
            secret: LinkSecret::default(),
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            transport: Arc::new(PlainTransport),
            ping_interval: Duration::from_secs(1),
            dead_after: Duration::from_secs(3),
            dial_timeout: Duration::from_secs(1),
            hello_timeout: Duration::from_secs(2),
            backoff_base: Duration::from_millis(100),
            backoff_limit: Duration::from_secs(5),
            drain_limit: Duration::from_secs(2),
            refusal_retry_after: Duration::from_millis(100),
            max_streams: 512,
            stream_window: MIN_WINDOW_BYTES,
            max_row_bytes: 4 * 1024 * 1024,
            max_control_bytes: 2 * 1024 * 1024,
            control_queue_bytes: 4 * 1024 * 1024,
            max_incoming_bytes: 64 * 1024 * 1024,
            max_links: 4_096,
            max_pending_hellos: 128,
            max_dials: 32,
            // At 30 Mbit/s this empties in 70 ms.
            send_buffer_bytes: 256 * 1024,
            jitter_seed: None,
        }
    }
}

/// Why settings cannot be used.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum SettingsError {
    /// the cluster name has {0} bytes instead of 1 to 64
    ClusterName(usize),
    /// the shared secret has {0} bytes instead of 1 to 256
    Secret(usize),
    /// the stream window of {0} bytes is below the minimum of 65536
    StreamWindow(usize),
    /// the time until a link is dead is not longer than the ping interval
    Heartbeat,
    /// the setting {0} is zero
    Zero(&'static str),
}

impl std::error::Error for SettingsError {}

impl PeerSettings {
    /// Checks that the settings can be used.
    pub fn check(&self) -> Result<(), SettingsError> {
        let cluster_bytes = self.cluster.len();
        if cluster_bytes == 0 || cluster_bytes > MAX_CLUSTER_BYTES {
            return Err(SettingsError::ClusterName(cluster_bytes));
        }
        let secret_bytes = self.secret.0.len();
        if secret_bytes == 0 || secret_bytes > MAX_SECRET_BYTES {
            return Err(SettingsError::Secret(secret_bytes));
        }
        if self.stream_window < MIN_WINDOW_BYTES {
            return Err(SettingsError::StreamWindow(self.stream_window));
        }
        if self.dead_after <= self.ping_interval {
            return Err(SettingsError::Heartbeat);
        }
        let limits = [
            ("ping_interval", self.ping_interval.is_zero()),
            ("max_streams", self.max_streams == 0),
            ("max_row_bytes", self.max_row_bytes == 0),
            ("max_control_bytes", self.max_control_bytes == 0),
            ("max_incoming_bytes", self.max_incoming_bytes == 0),
            ("max_links", self.max_links == 0),
            ("max_pending_hellos", self.max_pending_hellos == 0),
            ("max_dials", self.max_dials == 0),
        ];
        match limits.iter().find(|(_, is_zero)| *is_zero) {
            Some((name, _)) => Err(SettingsError::Zero(name)),
            None => Ok(()),
        }
    }
}
