use bytes::Bytes;
use bytes::BytesMut;
use prost::Message;
use tokio_util::codec::Decoder;
use tokio_util::codec::Encoder;
use tokio_util::codec::LengthDelimitedCodec;

use crate::Error;
use crate::Frame;

/// Largest frame that is read or written, in bytes, without its length prefix.
pub const MAX_FRAME_BYTES: usize = 4 << 20;

/// Encodes and decodes frames, each with a length prefix.
#[derive(Debug)]
pub struct Codec {
    framing: LengthDelimitedCodec,
}

impl Default for Codec {
    fn default() -> Self {
        let framing = LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec();
        Self { framing }
    }
}

impl Decoder for Codec {
    type Item = Frame;
    type Error = Error;

    fn decode(&mut self, source: &mut BytesMut) -> Result<Option<Frame>, Error> {
        let Some(data) = self.framing.decode(source)? else {
            return Ok(None);
        };
        Ok(Some(Frame::decode(data.freeze())?))
    }
}

impl Encoder<Frame> for Codec {
    type Error = Error;

    fn encode(&mut self, frame: Frame, target: &mut BytesMut) -> Result<(), Error> {
        let data = Bytes::from(frame.encode_to_vec());
        self.framing.encode(data, target).map_err(Error::Io)
    }
}
