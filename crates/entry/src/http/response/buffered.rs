use kumquattiller_base::outcome::Outcome;
use kumquattiller_base::request;
use kumquattiller_base::size::Tokens;
use poem::IntoResponse;
use poem::Response;
use serde_json::json;
use tokio::sync::mpsc;

use crate::drive::End;
use crate::drive::Output;
use crate::http::Error;
use crate::http::headers;
use crate::http::response::Format;

/// Collects the output of a request and responds with a single JSON body.
pub async fn buffered(
    id: request::Id,
    format: Format,
    model: &str,
    prompt: Tokens,
    mut output: mpsc::Receiver<Output>,
) -> Response {
    let mut data = Vec::new();
    while let Some(item) = output.recv().await {
        match item {
            Output::Chunk(chunk) => data.extend_from_slice(&chunk.data),
            Output::End(end) => return respond(id, format, model, prompt, &data, &end),
        }
    }
    Error::outcome_lost(id).into_response()
}

/// Builds the response to a request that ended.
fn respond(
    id: request::Id,
    format: Format,
    model: &str,
    prompt: Tokens,
    data: &[u8],
    end: &End,
) -> Response {
    if let Some(error) = Error::from_outcome(id, &end.outcome) {
        return error.into_response();
    }
    let Outcome::Done { tokens } = end.outcome else {
        return Error::outcome_lost(id).into_response();
    };
    let usage = json!({
        "prompt_tokens": prompt.get(),
        "completion_tokens": tokens.get(),
        "total_tokens": prompt.saturating_add(tokens).get(),
    });
    let text = String::from_utf8_lossy(data);
    let body = format.complete(id, model, &text, &end.finish_reason, &usage);
    Response::builder()
        .content_type("application/json")
        .header(headers::REQUEST_ID, id.to_string())
        .body(body.to_string())
}
