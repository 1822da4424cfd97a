//! The process beside each backend server.
fn main() {}
