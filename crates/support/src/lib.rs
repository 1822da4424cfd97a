//! Support for the integration tests.
