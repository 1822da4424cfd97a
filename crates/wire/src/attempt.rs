use kumquattiller_base::attempt::Number;
use kumquattiller_base::request;

use crate::Error;
use crate::link;

/// Identifies one attempt of one request on a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Attempt {
    /// The request.
    pub request: request::Id,
    /// The attempt's number.
    pub number: Number,
}

impl Attempt {
    /// Converts the field `attempt` of a frame.
    ///
    /// # Errors
    ///
    /// Fails when the field is missing or not valid.
    pub fn from_field(field: Option<link::AttemptId>) -> Result<Self, Error> {
        field.ok_or(Error::Missing("attempt"))?.try_into()
    }
}

impl TryFrom<link::AttemptId> for Attempt {
    type Error = Error;

    fn try_from(wire: link::AttemptId) -> Result<Self, Error> {
        let request = wire.request.ok_or(Error::Missing("request"))?;
        if wire.number == 0 {
            return Err(Error::Invalid("number"));
        }
        Ok(Self { request: request.into(), number: Number::new(wire.number) })
    }
}

impl From<Attempt> for link::AttemptId {
    fn from(attempt: Attempt) -> Self {
        Self { request: Some(attempt.request.into()), number: attempt.number.get() }
    }
}

impl From<link::RequestId> for request::Id {
    fn from(wire: link::RequestId) -> Self {
        Self::from_u128((u128::from(wire.high) << 64) | u128::from(wire.low))
    }
}

impl From<request::Id> for link::RequestId {
    fn from(id: request::Id) -> Self {
        Self { high: (id.as_u128() >> 64) as u64, low: id.as_u128() as u64 }
    }
}
