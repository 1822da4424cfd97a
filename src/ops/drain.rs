use std::net::SocketAddr;
use std::time::Duration;

use error_stack::ResultExt;
use kumquattiller_link::Link;
use kumquattiller_wire::Body;
use kumquattiller_wire::link;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::error;
use crate::error::Code;
use crate::error::Error;
use crate::ops::operator;

/// Longest wait for a process to report that it accepts no new work.
const CONFIRM_TIMEOUT: Duration = Duration::from_secs(3);
/// Pause between two reads of the state of the process.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Tells a runner process to accept no new work and waits until it reports that it accepts none.
///
/// Returns the id of the runner.
///
/// # Errors
///
/// Fails when the process does not answer or still accepts new work after the wait.
pub async fn drain(address: SocketAddr) -> error::Result<String> {
    let context = || Error::unreachable(format!("no answer from {address}"));
    let link =
        Link::connect(address, &operator::identity(), 0).await.change_context_lazy(context)?;
    let leave = link::Leave { runner: link.peer.name.clone(), incarnation: link.peer.incarnation };
    link.sender.send(Body::Leave(leave)).await.change_context_lazy(context)?;
    let deadline = Instant::now() + CONFIRM_TIMEOUT;
    while Instant::now() < deadline {
        let polled = Link::connect(address, &operator::identity(), 0).await;
        let polled = polled.change_context_lazy(context)?;
        if polled.load.is_some_and(|load| load.leaving) {
            return Ok(polled.peer.name);
        }
        sleep(POLL_INTERVAL).await;
    }
    let message = format!("process {} at {address} still takes work", link.peer.name);
    Err(Error::new(Code::Failed, message).into())
}
