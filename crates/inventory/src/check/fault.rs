use std::net::SocketAddr;

/// Reason why the value of a field is invalid.
#[derive(Debug, Clone, PartialEq)]
pub enum Fault {
    /// An earlier entry has the same id.
    Duplicate {
        /// Kind of the entry, such as `runner`.
        what: &'static str,
        /// The id.
        id: String,
    },
    /// The field refers to an entry that does not exist in the register.
    Unknown {
        /// Kind of the entry, such as `service`.
        what: &'static str,
        /// Name that was not found.
        name: String,
        /// Similar name that exists.
        suggestion: Option<String>,
    },
    /// An earlier runner has the same address.
    DuplicateAddress(SocketAddr),
    /// The IP address is unspecified or the port is 0, so that no connection is possible.
    UnusableAddress(SocketAddr),
    /// The field is empty although a value is required.
    Empty {
        /// Description of the field, such as `the credential`.
        what: &'static str,
    },
    /// An earlier client account has the same credential.
    DuplicateCredential,
    /// No runner belongs to the service of the model.
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
    /// The field is not allowed for services of this kind.
    WrongKind {
        /// Description of the field, such as `models`.
        what: &'static str,
        /// Kind of service that the field is allowed for.
        kind: &'static str,
    },
    /// The runner belongs to another service.
    OtherService {
        /// The runner.
        runner: String,
        /// The service that it belongs to.
        service: String,
    },
    /// The value is not one of the allowed ones.
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
                write!(
                    f,
                    "address {address} is unusable: the IP address must not be unspecified and the \
                     port must not be 0"
                )
            }
            Self::Empty { what } => write!(f, "{what} is empty"),
            Self::DuplicateCredential => {
                f.write_str("the credential belongs to another client account as well")
            }
            Self::Unserved { model } => write!(f, "no runner serves model `{model}`"),
            Self::OutOfRange { value, range } => {
                write!(f, "{value} is out of range: must be {range}")
            }
            Self::WrongKind { what, kind } => write!(f, "only {kind} services may have {what}"),
            Self::OtherService { runner, service } => {
                write!(f, "runner `{runner}` belongs to service `{service}`")
            }
            Self::NotAllowed { value, allowed } => write!(f, "`{value}` is not one of {allowed}"),
        }
    }
}
