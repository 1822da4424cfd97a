//! Loopback addresses that no other test uses.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

/// Fleets started by this process so far.
static FLEETS: AtomicU32 = AtomicU32::new(0);

/// Returns a loopback address for a new fleet, different for each fleet and test process.
pub fn draw() -> Ipv4Addr {
    let fleet = FLEETS.fetch_add(1, Ordering::Relaxed);
    let process = std::process::id();
    Ipv4Addr::new(127, (1 + process % 250) as u8, (process / 250 % 250) as u8, 1 + fleet as u8)
}

/// Returns an address with a port that is free now.
///
/// # Panics
///
/// Panics when no port is free.
pub fn free_port(ip: Ipv4Addr) -> SocketAddr {
    let listener = TcpListener::bind((ip, 0)).expect("a port is free");
    listener.local_addr().expect("a bound listener has an address")
}
