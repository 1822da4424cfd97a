use serde::Deserialize;

/// The part of the repeated request body that resuming a stream needs.
#[derive(Debug, Default, Deserialize)]
pub struct Resume {
    /// The model to repeat in each event; empty when the body has none.
    #[serde(default)]
    pub model: String,
}

impl Resume {
    /// Reads a body; invalid JSON gives an empty model.
    pub fn read(data: &[u8]) -> Self {
        serde_json::from_slice(data).unwrap_or_default()
    }
}
