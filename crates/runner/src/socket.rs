//! Options of TCP sockets.

use std::time::Duration;

use log::warn;
use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;

/// Idle time before a keep-alive probe, and the time between probes. Connections may go silent without
/// a reset; probes find that within three of these.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Unanswered probes after which a connection is closed.
const KEEPALIVE_PROBES: u32 = 2;

/// Time after which unacknowledged data closes a connection.
const UNACKED_LIMIT: Duration = Duration::from_millis(2_500);

/// Sets the options of connections to targets, to the store and of clients: no delay, probes for silent
/// connections, a limit for unacknowledged data.
pub fn set_socket_options(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    let result = stream
        .set_nodelay(true)
        .and_then(|()| socket.set_tcp_keepalive(&keepalive))
        .and_then(|()| socket.set_tcp_user_timeout(Some(UNACKED_LIMIT)));
    if let Err(error) = result {
        warn!("socket_options_not_set error={error}");
    }
}

/// Makes the close of a connection a reset that drops unsent data, so that a call that was given up
/// cannot arrive later.
pub(crate) fn reset_on_close(stream: &TcpStream) {
    if let Err(error) = SockRef::from(stream).set_linger(Some(Duration::ZERO)) {
        warn!("socket_linger_not_set error={error}");
    }
}
