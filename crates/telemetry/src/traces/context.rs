use std::borrow::Cow;

use fastrace::Span;
use fastrace::collector::SpanContext;
use kumquattiller_base::request;

/// HTTP header that carries the context.
pub const HEADER: &str = "traceparent";
/// Property of spans that names the request.
const REQUEST_PROPERTY: &str = "request.id";

/// Where a span stands in its trace.
#[derive(Debug, Clone, Copy)]
pub struct Context(SpanContext);

impl Context {
    /// Starts a trace.
    pub fn random() -> Self {
        Self(SpanContext::random())
    }

    /// Reads the W3C form; anything else starts a trace.
    pub fn of(traceparent: Option<&str>) -> Self {
        let decoded = traceparent.and_then(SpanContext::decode_w3c_traceparent);
        decoded.map_or_else(Self::random, Self)
    }

    /// Opens the span of a hop; it is recorded when it is dropped.
    pub fn span(self, name: impl Into<Cow<'static, str>>, request: request::Id) -> Span {
        Span::root(name, self.0).with_property(|| (REQUEST_PROPERTY, request.to_string()))
    }

    /// Returns the context to send on from within `span`, or `self` when nothing is recorded.
    pub fn within(self, span: &Span) -> Self {
        SpanContext::from_span(span).map_or(self, Self)
    }
}

impl std::fmt::Display for Context {
    /// Writes the W3C form.
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0.encode_w3c_traceparent())
    }
}
