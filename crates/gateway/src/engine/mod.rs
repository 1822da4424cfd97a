//! Performance model of a model engine.
//!
//! An engine works in passes. A decode pass runs [`Profile::stride`] steps, and each step may also
//! prefill one chunk of the waiting prompts. The prefill of a long prompt therefore lengthens the
//! gaps between events of the streams on the same engine.

mod profile;

pub use profile::Profile;
