//! Answers of model requests, in the two shapes that callers use.

mod shape;
mod streamed;
mod whole;

pub use shape::Shape;
pub use streamed::streamed;
pub use whole::whole;
