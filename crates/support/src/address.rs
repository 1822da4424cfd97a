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

/// Addresses of a block of one process.
const BLOCK: u32 = 250;
/// Blocks of one process.
const BLOCKS: u32 = 4;
/// Parts into which processes fall beyond the first octet.
const PROCESS_PARTS: u32 = 62;

/// Returns a loopback address for a new fleet, different for each fleet and test process.
pub fn draw() -> Ipv4Addr {
    let fleet = FLEETS.fetch_add(1, Ordering::Relaxed);
    let process = std::process::id();
    let part = process / BLOCK % PROCESS_PARTS + fleet / BLOCK % BLOCKS * PROCESS_PARTS;
    Ipv4Addr::new(127, (1 + process % BLOCK) as u8, part as u8, (1 + fleet % BLOCK) as u8)
}

/// Returns an address with a port that this process has not handed out before.
pub fn free_port(ip: Ipv4Addr) -> SocketAddr {
    SocketAddr::from((ip, NEXT_PORT.fetch_add(1, Ordering::Relaxed)))
}
