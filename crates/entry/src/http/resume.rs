//! Continues a stream whose entry daemon or connection was lost.

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
use crate::http::answer;
use crate::http::answer::Shape;
use crate::runners::Call;
use crate::runners::Reply;

/// Pieces that wait for the caller.
const OUTPUT_PIECES: usize = 64;

/// Streams the rest of an answer.
pub async fn serve(
    daemon: &Daemon,
    account: account::Id,
    event_id: EventId,
    shape: Shape,
) -> Response {
    let EventId(position) = event_id;
    let id = position.attempt.request;
    let remote = daemon.runners().get(&position.runner);
    let opened = remote.and_then(|remote| Some((remote.sender()?, remote)));
    let Some((sender, remote)) = opened else {
        return Error::not_admitted(error::Kind::ResumeGone).into_response();
    };
    let (output, pieces) = mpsc::channel(OUTPUT_PIECES);
    let call = Call::new(remote, sender);
    daemon.spawn(copy(call, account, position, output));
    answer::streamed(id, shape, String::new(), pieces).await
}

/// Asks the runner for the rest and copies it.
async fn copy(
    mut call: Call,
    account: account::Id,
    mut position: Position,
    output: mpsc::Sender<Output>,
) {
    let resume = link::Resume {
        attempt: Some(position.attempt.into()),
        incarnation: position.incarnation,
        offset: position.offset,
        account: account.to_string(),
    };
    let mut end = Outcome::Failed(error::Kind::ResumeGone).into();
    if call.resume(resume, position.attempt).await.is_ok() {
        while let Some(reply) = call.reply().await {
            match reply {
                Reply::Chunk { offset, count, data, .. } if offset == position.offset => {
                    position.offset += count;
                    let chunk = Chunk { position: position.clone(), data };
                    if output.send(Output::Chunk(chunk)).await.is_err() {
                        return;
                    }
                }
                Reply::Final { total, status, content_type, finish_reason }
                    if total == position.offset =>
                {
                    let outcome = Outcome::Done { tokens: Tokens::new(total) };
                    end = End { outcome, status, content_type, finish_reason };
                    break;
                }
                Reply::Refused { kind, .. } | Reply::Failed { kind, .. } => {
                    end = Outcome::Failed(kind).into();
                    break;
                }
                Reply::Final { .. } => break,
                Reply::Chunk { .. } | Reply::Accepted => {}
            }
        }
    }
    let _ = output.send(Output::End(end)).await;
}
