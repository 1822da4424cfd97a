use kumquattiller_link::Identity;

/// Role under which the command line connects to a process.
const OPERATOR_ROLE: &str = "operator";

/// Returns the identity with which the command line connects to a process.
pub fn identity() -> Identity {
    Identity {
        name: format!("operator-{}", std::process::id()),
        incarnation: 1,
        zone: String::new(),
        role: OPERATOR_ROLE.to_owned(),
    }
}
