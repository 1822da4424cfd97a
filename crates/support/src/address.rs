//! Loopback addresses that no other test uses.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::atomic::AtomicU16;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

/// Fleets started by this process so far.
static FLEETS: AtomicU32 = AtomicU32::new(0);

/// The next port to hand out; below those that the system chooses for connections.
static NEXT_PORT: AtomicU16 = AtomicU16::new(10_000);

/// Returns a loopback address for a new fleet, different for each fleet and test process.
pub fn draw() -> Ipv4Addr {
    let fleet = FLEETS.fetch_add(1, Ordering::Relaxed);
    let process = std::process::id();
    Ipv4Addr::new(127, (1 + process % 250) as u8, (process / 250 % 250) as u8, 1 + fleet as u8)
}

/// Returns an address with a port that this process has not handed out before.
pub fn free_port(ip: Ipv4Addr) -> SocketAddr {
    SocketAddr::from((ip, NEXT_PORT.fetch_add(1, Ordering::Relaxed)))
}
