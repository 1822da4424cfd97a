use std::net::SocketAddr;
use std::time::Duration;

use error_stack::Report;
use error_stack::ResultExt;
use kumquattiller_base::request;
use kumquattiller_link::Link;
use kumquattiller_wire::Body;
use kumquattiller_wire::link;
use tokio::time::timeout;

use crate::error;
use crate::error::Code;
use crate::error::Error;
use crate::ops::operator;

/// Longest wait for the response of one process.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// The request to explain and the processes to query.
#[derive(Debug, Clone)]
pub struct ExplainOptions {
    /// Id of the request.
    pub request: request::Id,
    /// Link addresses of the processes to query.
    pub processes: Vec<SocketAddr>,
}

/// Returns the decisions that the processes recorded about a request.
///
/// # Errors
///
/// Fails when no process has a decision about the request; the error is then that of the last
/// process that did not answer, if there is one.
pub async fn explain(options: &ExplainOptions) -> error::Result<Vec<String>> {
    let mut lines = Vec::new();
    let mut failure: Option<Report<Error>> = None;
    for address in &options.processes {
        match fetch_decisions(*address, options.request).await {
            Ok(decisions) => lines.extend(decisions),
            Err(report) => failure = Some(report),
        }
    }
    match (lines.is_empty(), failure) {
        (false, _) => Ok(lines),
        (true, Some(report)) => Err(report),
        (true, None) => {
            let message = format!(
                "request {} is not known; decisions are kept for a while only",
                options.request
            );
            Err(Error::new(Code::NotFound, message).into())
        }
    }
}

/// Returns the decisions that one process recorded.
async fn fetch_decisions(address: SocketAddr, request: request::Id) -> error::Result<Vec<String>> {
    let context = || Error::unreachable(format!("no answer from {address}"));
    let mut link =
        Link::connect(address, &operator::identity(), 0).await.change_context_lazy(context)?;
    let question = link::Explain { request: Some(request.into()) };
    link.sender.send(Body::Explain(question)).await.change_context_lazy(context)?;
    timeout(ANSWER_TIMEOUT, receive_decisions(&mut link)).await.change_context_lazy(context)?
}

/// Receives frames until the response arrives, and ignores all others.
async fn receive_decisions(link: &mut Link) -> error::Result<Vec<String>> {
    let context = || Error::unreachable(format!("no answer from {}", link.peer.name));
    loop {
        let frame = link.receiver.next().await.change_context_lazy(context)?;
        match frame {
            Some(Body::Explained(explained)) => return Ok(explained.lines),
            Some(_) => {}
            None => return Err(context().into()),
        }
    }
}
