//! Dialling of one peer.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use displaydoc::Display;
use rand::RngExt;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;

use heatherhollow_types::InstanceName;

use crate::accept::HelloClaim;
use crate::counters::HelloRefusal;
use crate::hello::HelloError;
use crate::hello::frame_stream;
use crate::hello::raise_frame_limit;
use crate::hello::read_hello;
use crate::hello::send_hello;
use crate::network::NetworkShared;
use crate::network::open_socket;
use crate::settings::PeerSettings;

/// Why a peer could not be dialled.
#[derive(Debug, Display)]
enum DialError {
    /// the connection failed: {0}
    Connect(io::Error),
    /// the connection was not made in time
    ConnectTimeout,
    /// another connection to the peer is kept
    Superseded,
    /// {0}
    Hello(HelloError),
}

impl From<HelloError> for DialError {
    fn from(error: HelloError) -> Self {
        Self::Hello(error)
    }
}

/// Keeps a link to a peer up until the task is dropped.
pub(crate) async fn dial_peer(shared: Arc<NetworkShared>, peer: InstanceName, address: SocketAddr) {
    let settings = shared.settings();
    let mut attempt = 0;
    let mut had_link = false;
    loop {
        if let Some(link) = shared.find(&peer) {
            had_link = true;
            let up_since = Instant::now();
            link.closed().await;
            // A link that held for a while starts the backoff anew; one that is lost at once, again
            // and again, does not.
            if up_since.elapsed() >= settings.backoff_limit {
                attempt = 0;
            }
            attempt = attempt.max(1);
        }
        if attempt > 0 {
            sleep(backoff_delay(&shared, attempt)).await;
            if shared.find(&peer).is_some() {
                continue;
            }
        }
        attempt += 1;
        match dial_once(&shared, &peer, address, attempt).await {
            Ok(()) if had_link => shared.counters().reconnects.add(1),
            Ok(()) => {}
            Err(error) => report_failure(&shared, &peer, address, attempt, &error),
        }
    }
}

/// Full jitter: any delay up to a bound that doubles with each attempt.
fn backoff_delay(shared: &NetworkShared, attempt: u32) -> Duration {
    let PeerSettings {
        backoff_base,
        backoff_limit,
        ..
    } = shared.settings();
    let factor = 1_u32.checked_shl(attempt - 1).unwrap_or(u32::MAX);
    let bound = backoff_base.saturating_mul(factor).min(*backoff_limit);
    let mut jitter = shared.jitter.lock().expect("no panic");
    bound.mul_f64(jitter.random_range(0.0..=1.0))
}

fn report_failure(
    shared: &NetworkShared,
    peer: &InstanceName,
    address: SocketAddr,
    attempt: u32,
    error: &DialError,
) {
    let level = match error {
        DialError::Hello(HelloError::Refused(reason)) => {
            shared.counters().add_refused_hello(*reason);
            log::Level::Warn
        }
        DialError::Hello(HelloError::RefusedByPeer(reason)) => {
            shared.counters().dials_refused.add(1);
            if *reason == HelloRefusal::Duplicate.as_str() {
                log::Level::Debug
            } else {
                log::Level::Warn
            }
        }
        DialError::Superseded => log::Level::Debug,
        DialError::Connect(_) | DialError::ConnectTimeout => log::Level::Info,
    };
    log::log!(
        level,
        "peer_dial_failed peer={peer} address={address} attempt={attempt} error={:?}",
        error.to_string(),
    );
}

/// Connects once, exchanges hellos and brings the link up.
async fn dial_once(
    shared: &Arc<NetworkShared>,
    peer: &InstanceName,
    address: SocketAddr,
    attempt: u32,
) -> Result<(), DialError> {
    let settings = shared.settings();
    let slot = shared.dial_slots.acquire().await;
    let socket = open_socket(address, settings).map_err(DialError::Connect)?;
    let stream = timeout(settings.dial_timeout, socket.connect(address))
        .await
        .map_err(|_| DialError::ConnectTimeout)?
        .map_err(DialError::Connect)?;
    stream.set_nodelay(true).map_err(DialError::Connect)?;
    let prepared = settings.transport.connect(stream, peer);
    let stream = timeout(settings.hello_timeout, prepared)
        .await
        .map_err(|_| DialError::ConnectTimeout)?
        .map_err(DialError::Connect)?;
    // The claim is made late, so that an address that does not answer does not keep the peer from
    // connecting from its side.
    if !shared.registry().claim_dial(peer) {
        return Err(DialError::Superseded);
    }
    let _claim = HelloClaim {
        shared: shared.clone(),
        peer: peer.clone(),
    };
    let mut framed = frame_stream(stream, shared.context.frames.share());
    send_hello(&mut framed, settings).await?;
    let identity = read_hello(&mut framed, settings, Some(peer)).await?;
    raise_frame_limit(&mut framed);
    drop(slot);
    let origin = format!("origin=dialled attempt={attempt}");
    shared
        .bring_up(identity, address, framed, None, &origin)
        .map_err(|reason| DialError::Hello(HelloError::Refused(reason)))
}
