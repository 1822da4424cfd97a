//! Claims that let a non-idempotent request start at most once.
