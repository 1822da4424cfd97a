/// Why a frame could not be read or written.
#[derive(Debug)]
pub enum Error {
    /// The connection failed.
    Io(std::io::Error),
    /// The bytes are not a frame.
    Decode(prost::DecodeError),
    /// A field that the frame needs is missing.
    Missing(&'static str),
    /// A field's value is not valid.
    Invalid(&'static str),
}

impl std::fmt::Display for Error {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Io(error) => write!(f, "link failed: {error}"),
            Self::Decode(error) => write!(f, "frame cannot be decoded: {error}"),
            Self::Missing(field) => write!(f, "frame has no field {field:?}"),
            Self::Invalid(field) => write!(f, "frame has an invalid field {field:?}"),
        }
    }
}

impl std::error::Error for Error {}

impl From<std::io::Error> for Error {
    fn from(error: std::io::Error) -> Self {
        Self::Io(error)
    }
}

impl From<prost::DecodeError> for Error {
    fn from(error: prost::DecodeError) -> Self {
        Self::Decode(error)
    }
}
