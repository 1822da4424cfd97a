use std::pin::Pin;

use eventsource_stream::Event;
use eventsource_stream::Eventsource;
use futures::StreamExt;
use reqwest::Response;
use serde_json::Value;

/// A response that is streamed as server-sent events.
pub struct Stream {
    events: Pin<Box<dyn futures::Stream<Item = Option<Event>> + Send>>,
    last_event_id: String,
}

/// An item of a stream.
#[derive(Debug, Clone, PartialEq)]
pub enum Piece {
    /// Generated text.
    Text(String),
    /// The end of a complete response.
    Done,
    /// The kind of the error that ended an incomplete response.
    Failed(String),
    /// The connection closed before the end of the response.
    Broken,
}

impl Stream {
    pub(super) fn new(response: Response) -> Self {
        let events = response.bytes_stream().eventsource().map(Result::ok);
        Self { events: Box::pin(events), last_event_id: String::new() }
    }

    /// Returns the id of the last event with an id, or an empty string.
    pub fn last_event_id(&self) -> &str {
        &self.last_event_id
    }

    /// Waits for the next piece.
    pub async fn next(&mut self) -> Piece {
        let Some(Some(event)) = self.events.next().await else {
            return Piece::Broken;
        };
        if !event.id.is_empty() {
            self.last_event_id.clone_from(&event.id);
        }
        if event.data == "[DONE]" {
            return Piece::Done;
        }
        let data: Value = serde_json::from_str(&event.data).unwrap_or_default();
        if event.event == "error" {
            return Piece::Failed(data["error"]["kind"].as_str().unwrap_or_default().to_owned());
        }
        Piece::Text(data["choices"][0]["text"].as_str().unwrap_or_default().to_owned())
    }

    /// Reads the rest of the stream; returns its text and the piece that ended it.
    pub async fn rest(&mut self) -> (String, Piece) {
        let mut text = String::new();
        loop {
            match self.next().await {
                Piece::Text(more) => text.push_str(&more),
                end => return (text, end),
            }
        }
    }
}
