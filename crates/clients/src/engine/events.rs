use std::pin::Pin;

use eventsource_stream::EventStreamError;
use eventsource_stream::Eventsource;
use futures::Stream;
use futures::StreamExt;
use kumquattiller_dialect::engine::Event;

use crate::Fault;
use crate::engine::limit::Limit;

/// Data of the event that ends a stream.
const END_DATA: &str = "[DONE]";

type DataStream = Pin<Box<dyn Stream<Item = Result<String, Fault>> + Send>>;

/// Events of one stream.
pub struct Events {
    data: DataStream,
}

impl Events {
    pub(crate) fn new(response: reqwest::Response) -> Self {
        let mut limit = Limit::default();
        let bytes = response.bytes_stream().map(move |item| match item {
            Ok(bytes) => limit.count(bytes),
            Err(error) => Err(Fault::Lost(error.to_string())),
        });
        let data = bytes.eventsource().map(|item| match item {
            Ok(event) => Ok(event.data),
            Err(EventStreamError::Transport(fault)) => Err(fault),
            Err(error) => Err(Fault::Lost(error.to_string())),
        });
        Self { data: Box::pin(data) }
    }

    /// Returns the next event, or `None` at the end of the stream.
    ///
    /// # Errors
    ///
    /// Fails when the connection closes before the end of the stream or an event is malformed.
    pub async fn next(&mut self) -> Result<Option<Event>, Fault> {
        match self.data.next().await {
            None => Err(Fault::Lost("stream ended without its end".to_owned())),
            Some(Err(fault)) => Err(fault),
            Some(Ok(data)) if data == END_DATA => Ok(None),
            Some(Ok(data)) => match serde_json::from_str(&data) {
                Ok(event) => Ok(Some(event)),
                Err(error) => Err(Fault::Malformed(error.to_string())),
            },
        }
    }
}
