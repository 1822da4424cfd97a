use reqwest::Method;
use reqwest::header::CONTENT_TYPE;

use crate::Fault;
use crate::Transport;
use crate::service::Call;
use crate::service::Response;

/// Header that forwards the caller's idempotency key to the service.
const IDEMPOTENCY_KEY_HEADER: &str = "Idempotency-Key";

/// Client of one plain service.
#[derive(Debug, Clone)]
pub struct Client {
    transport: Transport,
    url: String,
}

impl Client {
    /// Creates a client of the service at base URL `url`.
    pub fn new(transport: Transport, url: &str) -> Self {
        Self { transport, url: url.trim_end_matches('/').to_owned() }
    }

    /// Makes a call and reads the complete response.
    ///
    /// # Errors
    ///
    /// Fails when the HTTP method is invalid or the service does not respond in time.
    pub async fn call(&self, call: Call) -> Result<Response, Fault> {
        let method = Method::from_bytes(call.method.as_bytes())
            .map_err(|error| Fault::Unsent(error.to_string()))?;
        let mut request = self
            .transport
            .http()
            .request(method, format!("{}{}", self.url, call.path))
            .header(CONTENT_TYPE, call.content_type)
            .timeout(call.timeout)
            .body(call.body);
        if let Some(key) = call.key {
            request = request.header(IDEMPOTENCY_KEY_HEADER, key);
        }
        let response = request.send().await.map_err(|error| Fault::from_http_error(&error))?;
        let status = response.status().as_u16();
        let content_type = content_type_of(&response);
        let body = self.transport.read(response).await?;
        Ok(Response { status, content_type, body })
    }

    /// Returns whether the service accepts connections; the response does not matter.
    pub async fn is_alive(&self) -> bool {
        let request = self.transport.http().get(format!("{}/healthz", self.url));
        !matches!(request.send().await, Err(error) if error.is_connect())
    }
}

fn content_type_of(response: &reqwest::Response) -> String {
    let value = response.headers().get(CONTENT_TYPE).and_then(|value| value.to_str().ok());
    value.unwrap_or("application/octet-stream").to_owned()
}
