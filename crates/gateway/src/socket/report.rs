use std::io;
use std::os::fd::AsFd;
use std::time::Duration;

use nix::getsockopt_impl;
use nix::libc;
use nix::sockopt_impl;
use nix::sys::socket::getsockopt;

/// What the system knows of the data that was sent on a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Report {
    /// Whether the system has repeated data, or probed a closed window, since data was last accepted.
    pub is_stalled: bool,
    /// Whether sent data is not acknowledged yet.
    pub is_unacknowledged: bool,
    /// Time since the peer's last acknowledgement of anything.
    pub since_acknowledgement: Duration,
    /// Time after which the system repeats data.
    pub retransmission_timeout: Duration,
}

/// The first part of the system's `struct tcp_info`, which all versions of Linux fill in.
#[derive(Debug, Clone, Copy)]
#[repr(C)]
pub struct Info {
    state: u8,
    congestion_state: u8,
    retransmits: u8,
    probes: u8,
    backoff: u8,
    options: u8,
    window_scales: u8,
    flags: u8,
    retransmission_timeout_us: u32,
    acknowledgement_timeout_us: u32,
    sent_segment_bytes: u32,
    received_segment_bytes: u32,
    unacknowledged_segments: u32,
    sack_to_retransmitted: [u32; 4],
    since_data_sent_ms: u32,
    since_acknowledgement_sent_ms: u32,
    since_data_received_ms: u32,
    since_acknowledgement_received_ms: u32,
    path_to_total_retransmitted: [u32; 11],
}

sockopt_impl!(
    /// The state of a TCP connection.
    TcpInfo,
    GetOnly,
    libc::IPPROTO_TCP,
    libc::TCP_INFO,
    Info
);

impl Report {
    /// Reads the report on a socket.
    ///
    /// # Errors
    ///
    /// Fails if the system has no report on the socket.
    ///
    /// # Panics
    ///
    /// Panics if the report is shorter than every version of Linux makes it.
    pub fn read(socket: &impl AsFd) -> io::Result<Self> {
        Ok(getsockopt(socket, TcpInfo)?.into())
    }
}

impl From<Info> for Report {
    fn from(info: Info) -> Self {
        Self {
            is_stalled: info.backoff > 0,
            is_unacknowledged: info.unacknowledged_segments > 0,
            since_acknowledgement: Duration::from_millis(
                info.since_acknowledgement_received_ms.into(),
            ),
            retransmission_timeout: Duration::from_micros(info.retransmission_timeout_us.into()),
        }
    }
}
