use kumquattiller_base::attempt;
use kumquattiller_base::request;
use kumquattiller_base::runner;
use kumquattiller_wire::Attempt;

use crate::drive::Position;

/// The id of a server-sent event: the position from which its stream can be resumed.
///
/// The text form is `runner/incarnation/request/attempt/offset`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EventId(pub Position);

/// The error of a `Last-Event-ID` that this system did not issue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Malformed;

impl std::fmt::Display for Malformed {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Last-Event-ID is not of the form runner/incarnation/request/attempt/offset")
    }
}

impl std::error::Error for Malformed {}

impl std::fmt::Display for EventId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Position { runner, incarnation, attempt, offset } = &self.0;
        let Attempt { request, number } = attempt;
        write!(f, "{runner}/{incarnation}/{request}/{number}/{offset}")
    }
}

impl std::str::FromStr for EventId {
    type Err = Malformed;

    /// Parses the five parts.
    ///
    /// # Errors
    ///
    /// Fails when a part is missing or not valid.
    fn from_str(text: &str) -> Result<Self, Malformed> {
        let parts: Vec<&str> = text.split('/').collect();
        let [runner, incarnation, request, number, offset] = parts[..] else {
            return Err(Malformed);
        };
        let request: request::Id = request.parse().map_err(|_| Malformed)?;
        let number: attempt::Number = number.parse().map_err(|_| Malformed)?;
        let runner: runner::Id = runner.parse().map_err(|_| Malformed)?;
        Ok(Self(Position {
            runner,
            incarnation: incarnation.parse().map_err(|_| Malformed)?,
            attempt: Attempt { request, number },
            offset: offset.parse().map_err(|_| Malformed)?,
        }))
    }
}
