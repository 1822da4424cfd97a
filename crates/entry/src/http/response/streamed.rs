use futures::StreamExt;
use futures::stream;
use kumquattiller_base::request;
use poem::IntoResponse;
use poem::Response;
use poem::web::sse::Event;
use poem::web::sse::SSE;
use tokio::sync::mpsc;

use crate::drive::Chunk;
use crate::drive::End;
use crate::drive::Output;
use crate::http::Error;
use crate::http::EventId;
use crate::http::headers;
use crate::http::response::Format;

/// Data of the event that follows a complete response.
const DONE: &str = "[DONE]";
/// Type of the event that ends an incomplete response.
const ERROR_EVENT: &str = "error";

/// Streams a response as server-sent events.
///
/// A request that fails before its first chunk gets an ordinary error response instead.
pub async fn streamed(
    id: request::Id,
    format: Format,
    model: String,
    mut output: mpsc::Receiver<Output>,
) -> Response {
    let first = output.recv().await;
    if let Some(Output::End(end)) = &first
        && let Some(error) = Error::from_outcome(id, &end.outcome)
    {
        return error.into_response();
    }
    let rest = stream::unfold(output, |mut output| async move {
        output.recv().await.map(|item| (item, output))
    });
    let events = stream::iter(first).chain(rest).flat_map(move |item| {
        let events = match item {
            Output::Chunk(chunk) => vec![chunk_event(id, format, &model, &chunk)],
            Output::End(end) => final_events(id, format, &model, &end),
        };
        stream::iter(events)
    });
    SSE::new(events).with_header(headers::REQUEST_ID, id.to_string()).into_response()
}

/// Returns the event of a chunk.
fn chunk_event(id: request::Id, format: Format, model: &str, chunk: &Chunk) -> Event {
    let text = String::from_utf8_lossy(&chunk.data);
    let data = format.event(id, model, &text, None).to_string();
    Event::message(data).id(EventId(chunk.position.clone()).to_string())
}

/// Returns the events that end a response.
fn final_events(id: request::Id, format: Format, model: &str, end: &End) -> Vec<Event> {
    if let Some(error) = Error::from_outcome(id, &end.outcome) {
        return vec![Event::message(error.to_json()).event_type(ERROR_EVENT)];
    }
    let data = format.event(id, model, "", Some(&end.finish_reason)).to_string();
    vec![Event::message(data), Event::message(DONE)]
}
