//! Options of sockets: a link may fall silent without a reset.

use std::time::Duration;

use tokio::net::TcpStream;

/// How long sent bytes may stay unacknowledged before a connection is given up.
const UNACKNOWLEDGED_LIMIT: Duration = Duration::from_millis(3_000);

/// Sets what every connection needs. A failure costs latency, or time until a dead link is seen.
pub fn prepare_socket(stream: &TcpStream) {
    let _ = stream.set_nodelay(true);
    let limit = UNACKNOWLEDGED_LIMIT.as_millis() as u32;
    let _ = rustix::net::sockopt::set_tcp_user_timeout(stream, limit);
}
