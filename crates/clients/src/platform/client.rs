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

/// Longest wait for an answer, beyond the wait that a watch asks for.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Calls the platform.
#[derive(Debug, Clone)]
pub struct Client {
    transport: Transport,
    url: String,
}

impl Client {
    /// Sets up calls to the platform at base URL `url`.
    pub fn new(transport: Transport, url: &str) -> Self {
        Self { transport, url: url.trim_end_matches('/').to_owned() }
    }

    /// Reads an object, or `None` when it does not exist.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not answer or the value has another shape.
    pub async fn get<T: DeserializeOwned>(
        &self,
        kind: &str,
        name: &str,
    ) -> Result<Option<Stored<T>>, Error> {
        let response = self.send(self.transport.http().get(self.object(kind, name))).await?;
        let Some(response) = response else {
            return Ok(None);
        };
        let version = version_of(&response)?;
        Ok(Some(Stored { version, value: read(response).await? }))
    }

    /// Writes an object when the condition holds; returns the new version.
    ///
    /// # Errors
    ///
    /// Fails when the condition does not hold or the platform does not answer; then
    /// [`Error::may_have_taken_effect`] tells whether the object has to be read again.
    pub async fn put<T: Serialize + Sync>(
        &self,
        kind: &str,
        name: &str,
        condition: Condition,
        value: &T,
    ) -> Result<u64, Error> {
        let request = self.transport.http().put(self.object(kind, name)).json(value);
        let request = match condition {
            Condition::Absent => request.header(IF_NONE_MATCH, "*"),
            Condition::Version(version) => request.header(IF_MATCH, format!("\"{version}\"")),
        };
        let response = self.send(request).await?.ok_or(Error::Conflict)?;
        let written: platform::Written = read(response).await?;
        Ok(written.version)
    }

    /// Deletes an object, when it has `version` if one is given; a missing object is no error.
    ///
    /// # Errors
    ///
    /// Fails when the object has another version or the platform does not answer.
    pub async fn delete(&self, kind: &str, name: &str, version: Option<u64>) -> Result<(), Error> {
        let mut request = self.transport.http().delete(self.object(kind, name));
        if let Some(version) = version {
            request = request.header(IF_MATCH, format!("\"{version}\""));
        }
        self.send(request).await.map(|_| ())
    }

    /// Lists the objects of a kind.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not answer.
    pub async fn list(&self, kind: &str) -> Result<platform::List, Error> {
        let request = self.transport.http().get(format!("{}/objects/{kind}", self.url));
        self.read_required(request).await
    }

    /// Waits for changes of a kind after a version of the store, at most `wait`.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not answer.
    pub async fn watch(
        &self,
        kind: &str,
        after: u64,
        wait: Duration,
    ) -> Result<platform::Changes, Error> {
        let wait_ms = wait.as_millis();
        let path = format!("/objects/{kind}?watch_after={after}&wait_ms={wait_ms}");
        let request = self.transport.http().get(format!("{}{path}", self.url));
        self.read_required(request.timeout(wait + CALL_TIMEOUT)).await
    }

    /// Returns the list of VMs, which lags.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not answer.
    pub async fn vms(&self) -> Result<platform::Vms, Error> {
        self.read_required(self.transport.http().get(format!("{}/vms", self.url))).await
    }

    fn object(&self, kind: &str, name: &str) -> String {
        format!("{}/objects/{kind}/{name}", self.url)
    }

    /// Sends a request and sorts its status; a missing object gives `None`.
    async fn send(&self, request: RequestBuilder) -> Result<Option<Response>, Error> {
        let (client, request) = request.build_split();
        let mut request = request.map_err(|error| Fault::of(&error))?;
        request.timeout_mut().get_or_insert(CALL_TIMEOUT);
        let response = client.execute(request).await.map_err(|error| Fault::of(&error))?;
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

    async fn read_required<T: DeserializeOwned>(
        &self,
        request: RequestBuilder,
    ) -> Result<T, Error> {
        let response = self.send(request).await?;
        let response = response.ok_or_else(|| Fault::Malformed("path is unknown".to_owned()))?;
        read(response).await
    }
}

async fn read<T: DeserializeOwned>(response: Response) -> Result<T, Error> {
    Ok(response.json().await.map_err(|error| Fault::of(&error))?)
}

fn version_of(response: &Response) -> Result<u64, Error> {
    let text = response.headers().get(ETAG).and_then(|value| value.to_str().ok());
    let version = text.and_then(|text| text.trim_matches('"').parse().ok());
    version.ok_or_else(|| Fault::Malformed("object without a version".to_owned()).into())
}

fn retry_after_of(response: &Response) -> Option<Duration> {
    let text = response.headers().get(RETRY_AFTER)?.to_str().ok()?;
    text.parse().ok().map(Duration::from_secs)
}
