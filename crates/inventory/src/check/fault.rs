use std::net::SocketAddr;

/// What is wrong with a field.
#[derive(Debug, Clone, PartialEq)]
pub enum Fault {
    /// The id is taken by an earlier entry.
    Duplicate {
        /// What carries ids, such as `runner`.
        what: &'static str,
        /// The id.
        id: String,
    },
    /// The field names something that the register lacks.
    Unknown {
        /// What was looked for, such as `service`.
        what: &'static str,
        /// The name.
        name: String,
        /// A similar name that exists.
        suggestion: Option<String>,
    },
    /// The address is taken by an earlier runner.
    DuplicateAddress(SocketAddr),
    /// The address cannot be connected to.
    UnusableAddress(SocketAddr),
    /// The field must not be empty.
    Empty {
        /// What is missing, such as `credential`.
        what: &'static str,
    },
    /// The credential is taken by an earlier client account.
    DuplicateCredential,
    /// No runner serves the model.
    Unserved {
        /// The model.
        model: String,
    },
    /// The number is out of range.
    OutOfRange {
        /// The number.
        value: String,
        /// The range.
        range: &'static str,
    },
    /// The field does not go with the kind of the service.
    WrongKind {
        /// The field's meaning, such as `models`.
        what: &'static str,
        /// The kind that it goes with.
        kind: &'static str,
    },
    /// The runner belongs to another service.
    OtherService {
        /// The runner.
        runner: String,
        /// The service that it belongs to.
        service: String,
    },
    /// The value is none of the allowed ones.
    NotAllowed {
        /// The value.
        value: String,
        /// The allowed ones.
        allowed: &'static str,
    },
}

impl std::fmt::Display for Fault {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Duplicate { what, id } => write!(f, "{what} `{id}` is listed twice"),
            Self::Unknown { what, name, suggestion: None } => {
                write!(f, "no {what} `{name}` in the register")
            }
            Self::Unknown { what, name, suggestion: Some(near) } => {
                write!(f, "no {what} `{name}` in the register; did you mean `{near}`?")
            }
            Self::DuplicateAddress(address) => write!(f, "two runners at address {address}"),
            Self::UnusableAddress(address) => {
                write!(f, "address {address} needs an IP number and a port that are not 0")
            }
            Self::Empty { what } => write!(f, "{what} is empty"),
            Self::DuplicateCredential => {
                f.write_str("the credential belongs to another client account as well")
            }
            Self::Unserved { model } => write!(f, "no runner serves model `{model}`"),
            Self::OutOfRange { value, range } => write!(f, "{value} is not {range}"),
            Self::WrongKind { what, kind } => write!(f, "{what} goes with {kind} services only"),
            Self::OtherService { runner, service } => {
                write!(f, "runner `{runner}` belongs to service `{service}`")
            }
            Self::NotAllowed { value, allowed } => write!(f, "`{value}` is not one of {allowed}"),
        }
    }
}
