use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::atomic::AtomicU16;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use tokio::time::sleep;

use crate::Error;
use crate::fleet::Daemon;

/// The next port to return. Starts below the ephemeral ports, which the kernel may give to outgoing
/// connections.
static NEXT_PORT: AtomicU16 = AtomicU16::new(10_000);

/// Time within which a process must become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval between requests.
const RETRY_INTERVAL: Duration = Duration::from_millis(20);
/// Time within which entry daemons must open their links.
const LINKS_TIMEOUT: Duration = Duration::from_secs(60);
/// Interval between readings of the number of links.
const LINKS_INTERVAL: Duration = Duration::from_millis(50);

/// Returns a loopback address that this process has not returned before.
///
/// The IP address depends on the process id, so that concurrent runs rarely choose the same
/// address.
pub fn free_address() -> SocketAddr {
    let pid = std::process::id();
    let ip = Ipv4Addr::new(127, (1 + pid % 250) as u8, (pid / 250 % 250) as u8, 1);
    SocketAddr::from((ip, NEXT_PORT.fetch_add(1, Ordering::Relaxed)))
}

/// Waits until `GET url` returns a success status.
///
/// # Errors
///
/// Fails when this takes longer than 20 seconds.
pub async fn wait_until_ready(url: &str) -> Result<(), Error> {
    let client = reqwest::Client::new();
    let started = Instant::now();
    while started.elapsed() < READY_TIMEOUT {
        if client.get(url).send().await.is_ok_and(|response| response.status().is_success()) {
            return Ok(());
        }
        sleep(RETRY_INTERVAL).await;
    }
    Err(format!("{url} is not ready after {READY_TIMEOUT:?}").into())
}

/// Waits until every entry daemon is ready and the sum of its metrics whose names start with
/// `metric`, which counts links, is at least `links`.
///
/// # Errors
///
/// Fails when this takes longer than a minute.
pub async fn wait_for_links(entries: &[Daemon], metric: &str, links: usize) -> Result<(), Error> {
    let started = Instant::now();
    for entry in entries {
        wait_until_ready(&format!("{}/readyz", entry.url())).await?;
        while entry.sum_metric(metric).await? < links as f64 {
            if started.elapsed() > LINKS_TIMEOUT {
                let name = entry.process.name();
                return Err(format!("{name} has not opened all links in time").into());
            }
            sleep(LINKS_INTERVAL).await;
        }
    }
    Ok(())
}
