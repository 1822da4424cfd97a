/// An error while reading or writing a frame.
#[derive(Debug)]
pub enum Error {
    /// The connection failed.
    Io(std::io::Error),
    /// The data is not a valid frame.
    Decode(prost::DecodeError),
    /// A required field is missing.
    Missing(&'static str),
    /// A field has an invalid value.
    Invalid(&'static str),
}

impl std::fmt::Display for Error {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Io(error) => write!(f, "connection failed: {error}"),
            Self::Decode(error) => write!(f, "failed to decode frame: {error}"),
            Self::Missing(field) => write!(f, "frame is missing field {field:?}"),
            Self::Invalid(field) => write!(f, "frame has an invalid value in field {field:?}"),
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
