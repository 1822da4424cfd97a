use std::time::Duration;

use kumquattiller_dialect::platform;
use reqwest::RequestBuilder;
use reqwest::Response;
use reqwest::StatusCode;
use reqwest::header::ETAG;
use reqwest::header::IF_MATCH;
use reqwest::header::IF_NONE_MATCH;
use reqwest::header::RETRY_AFTER;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::Fault;
use crate::Transport;
use crate::platform::Condition;
use crate::platform::Error;
use crate::platform::Stored;

/// Time limit for a call, on top of the wait time of a watch.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Client of the platform's HTTP API.
#[derive(Debug, Clone)]
pub struct Client {
    transport: Transport,
    url: String,
}

impl Client {
    /// Creates a client of the platform at base URL `url`.
    pub fn new(transport: Transport, url: &str) -> Self {
        Self { transport, url: url.trim_end_matches('/').to_owned() }
    }

    /// Reads an object, or `None` when it does not exist.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not respond or the value cannot be deserialized.
    pub async fn get<T: DeserializeOwned>(
        &self,
        kind: &str,
        name: &str,
    ) -> Result<Option<Stored<T>>, Error> {
        let response = self.send(self.transport.http().get(self.object_url(kind, name))).await?;
        let Some(response) = response else {
            return Ok(None);
        };
        let version = version_of(&response)?;
        Ok(Some(Stored { version, value: read_json(response).await? }))
    }

    /// Writes an object if the condition holds; returns the new version.
    ///
    /// # Errors
    ///
    /// Fails when the condition does not hold or the platform does not respond. If
    /// [`Error::may_have_taken_effect`] returns true, the caller has to read the object again to
    /// learn whether it was written.
    pub async fn put<T: Serialize + Sync>(
        &self,
        kind: &str,
        name: &str,
        condition: Condition,
        value: &T,
    ) -> Result<u64, Error> {
        let request = self.transport.http().put(self.object_url(kind, name)).json(value);
        let request = match condition {
            Condition::Absent => request.header(IF_NONE_MATCH, "*"),
            Condition::Version(version) => request.header(IF_MATCH, format!("\"{version}\"")),
        };
        let response = self.send(request).await?.ok_or(Error::Conflict)?;
        let written: platform::Written = read_json(response).await?;
        Ok(written.version)
    }

    /// Deletes an object, only at `version` if one is given; a missing object is not an error.
    ///
    /// # Errors
    ///
    /// Fails when the object has another version or the platform does not respond.
    pub async fn delete(&self, kind: &str, name: &str, version: Option<u64>) -> Result<(), Error> {
        let mut request = self.transport.http().delete(self.object_url(kind, name));
        if let Some(version) = version {
            request = request.header(IF_MATCH, format!("\"{version}\""));
        }
        self.send(request).await.map(|_| ())
    }

    /// Lists all objects of a kind.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not respond.
    pub async fn list(&self, kind: &str) -> Result<platform::List, Error> {
        let request = self.transport.http().get(format!("{}/objects/{kind}", self.url));
        self.fetch(request).await
    }

    /// Waits for at most `wait` for changes to objects of a kind after store version `after`.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not respond.
    pub async fn watch(
        &self,
        kind: &str,
        after: u64,
        wait: Duration,
    ) -> Result<platform::Changes, Error> {
        let wait_ms = wait.as_millis();
        let path = format!("/objects/{kind}?watch_after={after}&wait_ms={wait_ms}");
        let request = self.transport.http().get(format!("{}{path}", self.url));
        self.fetch(request.timeout(wait + CALL_TIMEOUT)).await
    }

    /// Returns the list of VMs, which may be some seconds out of date.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not respond.
    pub async fn vms(&self) -> Result<platform::Vms, Error> {
        self.fetch(self.transport.http().get(format!("{}/vms", self.url))).await
    }

    fn object_url(&self, kind: &str, name: &str) -> String {
        format!("{}/objects/{kind}/{name}", self.url)
    }

    /// Sends a request and maps its status to a result; returns `None` for a missing object.
    async fn send(&self, request: RequestBuilder) -> Result<Option<Response>, Error> {
        let (client, request) = request.build_split();
        let mut request = request.map_err(|error| Fault::from_http_error(&error))?;
        request.timeout_mut().get_or_insert(CALL_TIMEOUT);
        let response =
            client.execute(request).await.map_err(|error| Fault::from_http_error(&error))?;
        match response.status() {
            status if status.is_success() => Ok(Some(response)),
            StatusCode::NOT_FOUND => Ok(None),
            StatusCode::PRECONDITION_FAILED => Err(Error::Conflict),
            StatusCode::PAYLOAD_TOO_LARGE => Err(Error::TooLarge),
            StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
                Err(Error::Unavailable { retry_after: retry_after_of(&response) })
            }
            status => Err(Fault::Malformed(format!("unexpected status {status}")).into()),
        }
    }

    async fn fetch<T: DeserializeOwned>(&self, request: RequestBuilder) -> Result<T, Error> {
        let response = self.send(request).await?;
        let response = response
            .ok_or_else(|| Fault::Malformed("unexpected status 404 Not Found".to_owned()))?;
        read_json(response).await
    }
}

async fn read_json<T: DeserializeOwned>(response: Response) -> Result<T, Error> {
    Ok(response.json().await.map_err(|error| Fault::from_http_error(&error))?)
}

fn version_of(response: &Response) -> Result<u64, Error> {
    let text = response.headers().get(ETAG).and_then(|value| value.to_str().ok());
    let version = text.and_then(|text| text.trim_matches('"').parse().ok());
    version.ok_or_else(|| Fault::Malformed("object has no valid ETag".to_owned()).into())
}

fn retry_after_of(response: &Response) -> Option<Duration> {
    let text = response.headers().get(RETRY_AFTER)?.to_str().ok()?;
    text.parse().ok().map(Duration::from_secs)
}
