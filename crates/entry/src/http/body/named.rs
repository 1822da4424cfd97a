use serde::Deserialize;

/// The part of a repeated body that a continued stream shows.
#[derive(Debug, Default, Deserialize)]
pub struct Named {
    /// The model; empty when the body names none.
    #[serde(default)]
    pub model: String,
}

impl Named {
    /// Reads a body; one that is not JSON names nothing.
    pub fn read(data: &[u8]) -> Self {
        serde_json::from_slice(data).unwrap_or_default()
    }
}
