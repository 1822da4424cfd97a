/// Reason why nothing may be sent to a server at the moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Exclusion {
    /// The server has asked for a pause.
    Paused,
    /// The availability zone of the server is evacuated.
    Evacuated,
    /// The request may not run in the region of the server or of one of its helpers.
    OutOfRegion,
    /// The server has become cold after the request was placed.
    Cold,
}
