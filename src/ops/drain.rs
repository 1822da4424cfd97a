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

/// Longest wait for a process to confirm that it takes no new work.
const CONFIRM_TIMEOUT: Duration = Duration::from_secs(3);
/// Pause between questions.
const QUESTION_PAUSE: Duration = Duration::from_millis(100);

/// Tells a runner process to take no new work and waits until it says that it takes none.
///
/// Returns the id of the runner.
///
/// # Errors
///
/// Fails when the process does not answer or goes on taking work.
pub async fn drain(address: SocketAddr) -> error::Result<String> {
    let context = || Error::unreachable(format!("no answer from {address}"));
    let link =
        Link::connect(address, &operator::identity(), 0).await.change_context_lazy(context)?;
    let leave = link::Leave { runner: link.peer.name.clone(), incarnation: link.peer.incarnation };
    link.sender.send(Body::Leave(leave)).await.change_context_lazy(context)?;
    let limit = Instant::now() + CONFIRM_TIMEOUT;
    while Instant::now() < limit {
        let again = Link::connect(address, &operator::identity(), 0).await;
        let again = again.change_context_lazy(context)?;
        if again.load.is_some_and(|load| load.leaving) {
            return Ok(again.peer.name);
        }
        sleep(QUESTION_PAUSE).await;
    }
    let message = format!("process {} at {address} still takes work", link.peer.name);
    Err(Error::new(Code::Failed, message).into())
}
