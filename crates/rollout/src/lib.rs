//! Versions of the accepted configuration and how they spread.
