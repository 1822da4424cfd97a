use tokio::net::TcpStream;
use tokio_util::codec::Framed;
use tokio_util::codec::LengthDelimitedCodec;

/// Maximum size of a document or of the answer to a request for changes.
pub const MAX_MESSAGE_BYTES: usize = 8 * 1024 * 1024;

/// Messages with a length prefix on a connection between daemons.
pub type Frames = Framed<TcpStream, LengthDelimitedCodec>;

/// Splits a stream into messages of at most `max_bytes`.
pub fn framed(stream: TcpStream, max_bytes: usize) -> Frames {
    LengthDelimitedCodec::builder().max_frame_length(max_bytes).new_framed(stream)
}
