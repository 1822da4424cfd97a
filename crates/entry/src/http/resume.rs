//! Resumes a stream after its entry daemon or its connection was lost.

use kumquattiller_base::account;
use kumquattiller_base::error;
use kumquattiller_base::outcome::Outcome;
use kumquattiller_base::size::Tokens;
use kumquattiller_wire::link;
use poem::IntoResponse;
use poem::Response;
use tokio::sync::mpsc;

use crate::Daemon;
use crate::drive::Chunk;
use crate::drive::End;
use crate::drive::Output;
use crate::drive::Position;
use crate::http::Error;
use crate::http::EventId;
use crate::http::response;
use crate::http::response::Format;
use crate::runners::Call;
use crate::runners::RECONNECT_TIMEOUT;
use crate::runners::Reply;

/// Capacity of the channel to the response, in chunks.
const OUTPUT_CHUNKS: usize = 64;

/// Streams the rest of a response from the runner that produces it.
pub async fn serve(
    daemon: &Daemon,
    account: account::Id,
    event_id: EventId,
    format: Format,
    model: String,
) -> Response {
    let EventId(position) = event_id;
    let id = position.attempt.request;
    let Some(call) = daemon.runners().call(&position.runner) else {
        return Error::failed(id, error::Kind::ResumeGone).into_response();
    };
    let (output, receiver) = mpsc::channel(OUTPUT_CHUNKS);
    daemon.spawn(forward_stream(call, account, position, output));
    response::streamed(id, format, model, receiver).await
}

/// Why forwarding over one link ended.
enum Stop {
    /// The stream ended.
    Finished(End),
    /// The caller disconnected.
    CallerDisconnected,
    /// The link closed.
    LinkClosed,
}

/// Requests the rest of the stream from the runner and forwards it, reconnecting as needed.
async fn forward_stream(
    mut call: Call,
    account: account::Id,
    mut position: Position,
    output: mpsc::Sender<Output>,
) {
    let end = loop {
        match forward_link(&mut call, &account, &mut position, &output).await {
            Stop::Finished(end) => break end,
            Stop::CallerDisconnected => {
                call.detach();
                return;
            }
            Stop::LinkClosed => {}
        }
        call.drop_subscription();
        if !call.wait_for_reconnect(position.incarnation, RECONNECT_TIMEOUT).await {
            break Outcome::Failed(error::Kind::RunnerLost).into();
        }
    };
    let _ = output.send(Output::End(end)).await;
}

/// Forwards the rest of the stream over the current link.
async fn forward_link(
    call: &mut Call,
    account: &account::Id,
    position: &mut Position,
    output: &mpsc::Sender<Output>,
) -> Stop {
    let resume = link::Resume {
        attempt: Some(position.attempt.into()),
        incarnation: position.incarnation,
        offset: position.offset,
        account: account.to_string(),
    };
    if call.resume(resume, position.attempt).await.is_err() {
        return Stop::LinkClosed;
    }
    loop {
        let reply = tokio::select! {
            reply = call.reply() => reply,
            () = output.closed() => return Stop::CallerDisconnected,
        };
        let Some(reply) = reply else {
            return Stop::LinkClosed;
        };
        if let Some(end) = forward_reply(reply, position, output).await {
            return Stop::Finished(end);
        }
    }
}

/// Forwards a chunk, or returns the end of the stream.
///
/// Chunks at other offsets than the next one are dropped.
async fn forward_reply(
    reply: Reply,
    position: &mut Position,
    output: &mpsc::Sender<Output>,
) -> Option<End> {
    match reply {
        Reply::Chunk { offset, count, data, .. } => {
            if offset == position.offset {
                position.offset += count;
                let chunk = Chunk { position: position.clone(), data };
                let _ = output.send(Output::Chunk(chunk)).await;
            }
            None
        }
        Reply::Final { total, status, content_type, finish_reason } => {
            if total != position.offset {
                return Some(Outcome::Failed(error::Kind::ResumeGone).into());
            }
            let outcome = Outcome::Done { tokens: Tokens::new(total) };
            Some(End { outcome, status, content_type, finish_reason })
        }
        Reply::Refused { kind, .. } | Reply::Failed { kind, .. } => {
            Some(Outcome::Failed(kind).into())
        }
        Reply::Accepted | Reply::Reserved { .. } | Reply::Prefilled(_) => None,
    }
}
