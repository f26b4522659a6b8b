//! Options of TCP sockets.

use std::time::Duration;

use log::warn;
use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;

/// Idle time before the first keep-alive probe, and time between probes. They detect within three
/// intervals that the other side of a connection has vanished without a reset.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Number of unanswered probes after which a connection is closed.
const KEEPALIVE_PROBES: u32 = 2;

/// Time for which sent data may stay unacknowledged before a connection is closed.
const UNACKED_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Sets the options of a TCP connection: no delay, keep-alive probes and a limit for unacknowledged
/// data.
///
/// Used for clients, targets, links and the store. A failure is only logged.
pub fn set_socket_options(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    let result = stream
        .set_nodelay(true)
        .and_then(|()| socket.set_tcp_keepalive(&keepalive))
        .and_then(|()| socket.set_tcp_user_timeout(Some(UNACKED_TIMEOUT)));
    if let Err(error) = result {
        warn!("socket_options_not_set error={error}");
    }
}

/// Makes closing a connection send a reset and drop unsent data, so that a call that the gateway
/// has given up cannot arrive later. A failure is only logged.
pub(crate) fn reset_on_close(stream: &TcpStream) {
    if let Err(error) = SockRef::from(stream).set_linger(Some(Duration::ZERO)) {
        warn!("socket_linger_not_set error={error}");
    }
}
