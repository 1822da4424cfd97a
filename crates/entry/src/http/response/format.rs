use kumquattiller_base::request;
use serde_json::Value;
use serde_json::json;

/// The response format, given by the endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Format {
    /// The format of `/v1/completions`.
    Completion,
    /// The format of `/v1/chat/completions`.
    Chat,
}

impl Format {
    /// Returns the data of one event of a streamed response.
    pub fn event(self, id: request::Id, model: &str, text: &str, reason: Option<&str>) -> Value {
        match self {
            Self::Completion => json!({
                "id": id.to_string(),
                "object": "text_completion",
                "model": model,
                "choices": [{"index": 0, "text": text, "finish_reason": reason}],
            }),
            Self::Chat => json!({
                "id": id.to_string(),
                "object": "chat.completion.chunk",
                "model": model,
                "choices": [{"index": 0, "delta": {"content": text}, "finish_reason": reason}],
            }),
        }
    }

    /// Returns the body of a complete response.
    pub fn complete(
        self,
        id: request::Id,
        model: &str,
        text: &str,
        reason: &str,
        usage: &Value,
    ) -> Value {
        match self {
            Self::Completion => json!({
                "id": id.to_string(),
                "object": "text_completion",
                "model": model,
                "choices": [{"index": 0, "text": text, "finish_reason": reason}],
                "usage": usage,
            }),
            Self::Chat => {
                let message = json!({"role": "assistant", "content": text});
                json!({
                    "id": id.to_string(),
                    "object": "chat.completion",
                    "model": model,
                    "choices": [{"index": 0, "message": message, "finish_reason": reason}],
                    "usage": usage,
                })
            }
        }
    }
}
