//! Ownership of engine memory and its reconciliation.
