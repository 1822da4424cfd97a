use kumquattiller_wire::Body;
use kumquattiller_wire::Frame;
use prost::Message;

/// Size of the length prefix of each frame, in bytes.
const LENGTH_BYTES: usize = 4;

/// Returns the size on the wire of a control frame in bytes, or 0 for a frame of a request.
pub fn frame_bytes(frame: &Frame) -> u64 {
    if frame.body.as_ref().is_none_or(belongs_to_request) {
        return 0;
    }
    (frame.encoded_len() + LENGTH_BYTES) as u64
}

/// Returns whether a frame belongs to a request rather than to the control traffic.
const fn belongs_to_request(body: &Body) -> bool {
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
