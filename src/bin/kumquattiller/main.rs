//! The entry daemon and the operators' command line.
fn main() {}
