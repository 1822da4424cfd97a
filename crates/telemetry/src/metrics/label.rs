use kumquattiller_base::outcome::Outcome;

/// Kind of a request's outcome, as a label value.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, strum::Display, strum::EnumIter, strum::IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum OutcomeKind {
    /// The complete response was delivered.
    Done,
    /// The request was not started.
    NotRun,
    /// The request started and failed.
    Failed,
    /// It is not known whether the request ran.
    Unknown,
}

impl From<&Outcome> for OutcomeKind {
    fn from(outcome: &Outcome) -> Self {
        match outcome {
            Outcome::Done { .. } => Self::Done,
            Outcome::NotRun(_) => Self::NotRun,
            Outcome::Failed(_) => Self::Failed,
            Outcome::Unknown(_) => Self::Unknown,
        }
    }
}

/// Kind of the peer of a link, as a label value.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, strum::Display, strum::EnumString, strum::IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum LinkKind {
    /// An entry daemon.
    Entry,
    /// A runner process.
    Runner,
    /// The operator's command line.
    Operator,
}
