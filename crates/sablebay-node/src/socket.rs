//! Socket options that bound latency and the detection of dead links.

use std::time::Duration;

use tokio::net::TcpStream;

/// How long sent bytes may stay unacknowledged before the kernel closes the connection.
const UNACKNOWLEDGED_LIMIT: Duration = Duration::from_millis(3_000);

/// Sets the options of a connection. Failures are ignored: they only increase latency or delay the detection of a
/// dead link.
pub fn prepare_socket(stream: &TcpStream) {
    let _ = stream.set_nodelay(true);
    let limit = UNACKNOWLEDGED_LIMIT.as_millis() as u32;
    let _ = rustix::net::sockopt::set_tcp_user_timeout(stream, limit);
}
