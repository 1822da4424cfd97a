use std::borrow::Cow;

use fastrace::Span;
use fastrace::collector::SpanContext;
use kumquattiller_base::request;

/// HTTP header that carries the trace context.
pub const HEADER: &str = "traceparent";
/// Span property that holds the request id.
const REQUEST_PROPERTY: &str = "request.id";

/// Trace context: the trace id and the parent span of the spans opened from it.
#[derive(Debug, Clone, Copy)]
pub struct Context(SpanContext);

impl Context {
    /// Returns the context of a new trace.
    pub fn random() -> Self {
        Self(SpanContext::random())
    }

    /// Parses a W3C `traceparent` value; a missing or malformed value starts a new trace.
    pub fn from_traceparent(traceparent: Option<&str>) -> Self {
        let decoded = traceparent.and_then(SpanContext::decode_w3c_traceparent);
        decoded.map_or_else(Self::random, Self)
    }

    /// Opens the span of one hop of a request; the span is recorded when it is dropped.
    pub fn span(self, name: impl Into<Cow<'static, str>>, request: request::Id) -> Span {
        Span::root(name, self.0).with_property(|| (REQUEST_PROPERTY, request.to_string()))
    }

    /// Returns the context to propagate from within `span`, or `self` when spans are not recorded.
    pub fn within(self, span: &Span) -> Self {
        SpanContext::from_span(span).map_or(self, Self)
    }
}

impl std::fmt::Display for Context {
    /// Formats the context as a W3C `traceparent` value.
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0.encode_w3c_traceparent())
    }
}
