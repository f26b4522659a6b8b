//! The listener.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::sleep;
use tokio::time::timeout;

use heatherhollow_types::InstanceName;

use crate::counters::HelloRefusal;
use crate::hello::HelloError;
use crate::hello::frame_stream;
use crate::hello::raise_frame_limit;
use crate::hello::read_hello;
use crate::hello::send_hello;
use crate::hello::send_refusal;
use crate::network::NetworkShared;

/// Pause after a failed accept; it fails at once again while the process has no free file
/// descriptor.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// A claim in the registry that is given back when it is dropped.
pub(crate) struct HelloClaim {
    pub(crate) shared: Arc<NetworkShared>,
    pub(crate) peer: InstanceName,
}

impl Drop for HelloClaim {
    fn drop(&mut self) {
        self.shared.registry().release(&self.peer);
    }
}

/// Accepts connections until the network stops.
pub(crate) async fn accept_connections(shared: Arc<NetworkShared>, listener: TcpListener) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = shared.stop.cancelled() => return,
        };
        let (stream, address) = match accepted {
            Ok(accepted) => accepted,
            Err(error) => {
                log::warn!("peer_accept_failed error={:?}", error.to_string());
                sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let Ok(slot) = shared.hello_slots.clone().try_acquire_owned() else {
            log_refused(&shared, address, HelloRefusal::Busy);
            continue;
        };
        let shared = shared.clone();
        tokio::spawn(async move {
            let _slot = slot;
            let stop = shared.stop.clone();
            let greeting = greet_dialler(&shared, stream, address);
            if let Some(Err(error)) = stop.run_until_cancelled(greeting).await {
                match error {
                    HelloError::Refused(reason) => log_refused(&shared, address, reason),
                    HelloError::RefusedByPeer(reason) => {
                        log::info!("peer_hello_rejected address={address} reason={reason}");
                    }
                }
            }
        });
    }
}

fn log_refused(shared: &NetworkShared, address: SocketAddr, reason: HelloRefusal) {
    shared.counters().add_refused_hello(reason);
    let level = match reason {
        // These are part of normal operation.
        HelloRefusal::Duplicate | HelloRefusal::Incomplete => log::Level::Debug,
        _ => log::Level::Warn,
    };
    log::log!(
        level,
        "peer_hello_refused address={address} reason={reason}"
    );
}

/// Exchanges hellos with an instance that dialled this one, and brings the link up.
async fn greet_dialler(
    shared: &Arc<NetworkShared>,
    stream: TcpStream,
    address: SocketAddr,
) -> Result<(), HelloError> {
    let settings = shared.settings();
    let incomplete = HelloError::Refused(HelloRefusal::Incomplete);
    stream.set_nodelay(true).map_err(|_| incomplete)?;
    let stream = timeout(settings.hello_timeout, settings.transport.accept(stream))
        .await
        .map_err(|_| incomplete)?
        .map_err(|_| incomplete)?;
    let mut framed = frame_stream(stream, shared.context.frames.share());
    let decision = match read_hello(&mut framed, settings, None).await {
        Ok(identity) => match shared.registry().claim_accept(&identity) {
            Ok(is_claimed) => Ok((identity, is_claimed)),
            Err(reason) => Err(HelloError::Refused(reason)),
        },
        Err(error) => Err(error),
    };
    let (identity, is_claimed) = match decision {
        Ok(decision) => decision,
        Err(error) => {
            if let HelloError::Refused(reason) = error
                && reason != HelloRefusal::Incomplete
            {
                send_refusal(&mut framed, settings, reason).await;
            }
            return Err(error);
        }
    };
    let _claim = is_claimed.then(|| HelloClaim {
        shared: shared.clone(),
        peer: identity.instance.clone(),
    });
    raise_frame_limit(&mut framed);
    send_hello(&mut framed, settings).await?;
    // The dialler may refuse this instance's hello. Its first frame shows that it did not.
    let first = match timeout(settings.hello_timeout, framed.next()).await {
        Ok(Some(Ok(first))) => first,
        _ => return Err(incomplete),
    };
    shared
        .bring_up(identity, address, framed, Some(first), "origin=accepted")
        .map_err(HelloError::Refused)
}
