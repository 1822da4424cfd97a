use serde::Deserialize;

/// The part of a request body that is needed to resume a stream. The caller repeats the body of the
/// original request.
#[derive(Debug, Default, Deserialize)]
pub struct Resume {
    /// The model to repeat in each event; empty when the body has none.
    #[serde(default)]
    pub model: String,
}

impl Resume {
    /// Parses the body; the model is empty if the body is malformed.
    pub fn read(data: &[u8]) -> Self {
        serde_json::from_slice(data).unwrap_or_default()
    }
}
