use kumquattiller_link::Identity;

/// Role of the command line on a link.
const OPERATOR_ROLE: &str = "operator";

/// Returns who the command line is on a link.
pub fn identity() -> Identity {
    Identity {
        name: format!("operator-{}", std::process::id()),
        incarnation: 1,
        zone: String::new(),
        role: OPERATOR_ROLE.to_owned(),
    }
}
