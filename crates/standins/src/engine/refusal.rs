use kumquattiller_dialect::engine::Error;
use poem::IntoResponse;
use poem::Response;
use poem::error::ResponseError;
use poem::http::StatusCode;
use poem::web::Json;

/// Reason why an engine rejects a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub(super) enum Refusal {
    /// The KV memory is full.
    MemoryFull,
    /// The model is not loaded.
    UnknownModel,
    /// The stream does not exist.
    UnknownStream,
    /// A handle does not exist on this engine or on the engine that it names.
    UnknownHandle,
    /// The order's fencing number is lower than the highest one seen.
    OldFencing,
    /// The body is not valid.
    Malformed,
}

impl std::error::Error for Refusal {}

impl ResponseError for Refusal {
    fn status(&self) -> StatusCode {
        match self {
            Self::MemoryFull => StatusCode::SERVICE_UNAVAILABLE,
            Self::UnknownModel | Self::UnknownStream | Self::UnknownHandle => StatusCode::NOT_FOUND,
            Self::OldFencing => StatusCode::CONFLICT,
            Self::Malformed => StatusCode::BAD_REQUEST,
        }
    }

    fn as_response(&self) -> Response {
        let error = Error { kind: self.to_string(), message: format!("refused: {self}") };
        Json(error).with_status(self.status()).into_response()
    }
}
