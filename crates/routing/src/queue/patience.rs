/// How much a request may cost others when it is placed, by how long it has waited.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Patience {
    /// The request can still wait. The number is the part of its wait that is over, from 0 to 1.
    /// A caller may ignore it.
    Waited(f64),
    /// This is its last chance before it is refused.
    Exhausted,
    /// It was promised to be served, so it may cost others more than a request without a promise.
    Promised,
}
