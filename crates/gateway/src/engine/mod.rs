//! How long a model engine works on a prompt.
//!
//! An engine works in passes. A pass that writes runs [`Profile::stride`] steps, and each step may
//! read one chunk of waiting prompts beside, so a long prompt that is read next to a stream
//! lengthens that stream's pauses.

mod profile;

pub use profile::Profile;
