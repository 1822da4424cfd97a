//! The operations behind the command line.
