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
use crate::runners::REJOIN_LIMIT;
use crate::runners::Reply;

/// Pieces that wait for the caller.
const OUTPUT_PIECES: usize = 64;

/// Streams the rest of an answer.
pub async fn serve(
    daemon: &Daemon,
    account: account::Id,
    event_id: EventId,
    shape: Shape,
    model: String,
) -> Response {
    let EventId(position) = event_id;
    let id = position.attempt.request;
    let Some(call) = daemon.runners().call(&position.runner) else {
        return Error::failed(id, error::Kind::ResumeGone).into_response();
    };
    let (output, pieces) = mpsc::channel(OUTPUT_PIECES);
    daemon.spawn(copy(call, account, position, output));
    answer::streamed(id, shape, model, pieces).await
}

/// What ended the copying over one link.
enum Ended {
    /// The stream has its end.
    With(End),
    /// The caller went away.
    CallerGone,
    /// The link closed.
    LinkClosed,
}

/// Asks the runner for the rest and copies it, also over a new link.
async fn copy(
    mut call: Call,
    account: account::Id,
    mut position: Position,
    output: mpsc::Sender<Output>,
) {
    let end = loop {
        match follow(&mut call, &account, &mut position, &output).await {
            Ended::With(end) => break end,
            Ended::CallerGone => {
                call.detach();
                return;
            }
            Ended::LinkClosed => {}
        }
        call.abandon();
        if !call.rejoin(position.incarnation, REJOIN_LIMIT).await {
            break Outcome::Failed(error::Kind::RunnerLost).into();
        }
    };
    let _ = output.send(Output::End(end)).await;
}

/// Copies the rest of an answer over the present link.
async fn follow(
    call: &mut Call,
    account: &account::Id,
    position: &mut Position,
    output: &mpsc::Sender<Output>,
) -> Ended {
    let resume = link::Resume {
        attempt: Some(position.attempt.into()),
        incarnation: position.incarnation,
        offset: position.offset,
        account: account.to_string(),
    };
    if call.resume(resume, position.attempt).await.is_err() {
        return Ended::LinkClosed;
    }
    loop {
        let reply = tokio::select! {
            reply = call.reply() => reply,
            () = output.closed() => return Ended::CallerGone,
        };
        let Some(reply) = reply else {
            return Ended::LinkClosed;
        };
        if let Some(end) = take(reply, position, output).await {
            return Ended::With(end);
        }
    }
}

/// Hands the next piece over; returns the end of the stream.
async fn take(reply: Reply, position: &mut Position, output: &mpsc::Sender<Output>) -> Option<End> {
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
