//! Unique loopback addresses for tests.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::atomic::AtomicU16;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

/// Number of IP addresses that this process has handed out.
static ADDRESS_COUNT: AtomicU32 = AtomicU32::new(0);

/// The next port to hand out; below the ephemeral ports that the system assigns to connections.
static NEXT_PORT: AtomicU16 = AtomicU16::new(10_000);

/// Number of values used in the second octet, for processes, and in the fourth, for addresses.
const IDS_PER_OCTET: u32 = 250;
/// Number of ranges of addresses of a process that the third octet distinguishes.
const ADDRESS_RANGES: u32 = 4;
/// Number of ranges of process ids that the third octet distinguishes.
const PROCESS_RANGES: u32 = 62;

/// Returns a loopback address that neither this nor another test process uses.
pub fn unique_ip() -> Ipv4Addr {
    let index = ADDRESS_COUNT.fetch_add(1, Ordering::Relaxed);
    let process = std::process::id();
    let third_octet = process / IDS_PER_OCTET % PROCESS_RANGES
        + index / IDS_PER_OCTET % ADDRESS_RANGES * PROCESS_RANGES;
    Ipv4Addr::new(
        127,
        (1 + process % IDS_PER_OCTET) as u8,
        third_octet as u8,
        (1 + index % IDS_PER_OCTET) as u8,
    )
}

/// Returns an address with a port that this process has not handed out before.
pub fn free_port(ip: Ipv4Addr) -> SocketAddr {
    SocketAddr::from((ip, NEXT_PORT.fetch_add(1, Ordering::Relaxed)))
}
