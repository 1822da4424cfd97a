use kumquattiller_wire::Body;
use kumquattiller_wire::Frame;
use prost::Message;

/// Bytes of the length before each frame.
const LENGTH_BYTES: usize = 4;

/// Returns the bytes of a frame that serves no request, or zero.
pub fn bytes_of(frame: &Frame) -> u64 {
    if frame.body.as_ref().is_none_or(serves_request) {
        return 0;
    }
    (frame.encoded_len() + LENGTH_BYTES) as u64
}

/// Tells whether a frame belongs to a request, rather than to control.
const fn serves_request(body: &Body) -> bool {
    matches!(
        body,
        Body::Start(_)
            | Body::BodyPart(_)
            | Body::Cancel(_)
            | Body::Resume(_)
            | Body::Accepted(_)
            | Body::Refused(_)
            | Body::Chunk(_)
            | Body::Final(_)
            | Body::Failed(_)
            | Body::Prefill(_)
            | Body::Prefilled(_)
    )
}
