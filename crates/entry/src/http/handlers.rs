//! Functions that several handlers share.

use bytes::Bytes;
use kumquattiller_base::error;
use kumquattiller_inventory::configuration;
use poem::Body;
use poem::IntoResponse;
use poem::Response;
use tokio::sync::mpsc;

use crate::Daemon;
use crate::drive::Driver;
use crate::drive::Output;
use crate::http::Error;
use crate::request::Admitted;

/// Capacity of the channel between a driver and its response, in chunks.
const OUTPUT_CHUNKS: usize = 64;

/// Checks that the daemon takes new requests.
///
/// # Errors
///
/// Fails when the daemon is stopping, has no configuration, or has one that was not confirmed
/// recently.
pub fn check_serving(daemon: &Daemon) -> Result<(), Error> {
    if daemon.is_refusing() {
        return Err(error::Kind::Stopping.into());
    }
    if daemon.config_version() == configuration::Version::NONE || !daemon.has_fresh_configuration()
    {
        return Err(error::Kind::NoConfiguration.into());
    }
    Ok(())
}

/// Counts a refused request and returns its error response.
pub fn refuse(daemon: &Daemon, error: Error) -> Response {
    daemon.recorder().metrics().count_error(error.kind);
    error.into_response()
}

/// Reads a request body.
///
/// # Errors
///
/// Fails when the body exceeds the size limit of the rules or cannot be read.
pub async fn read_body(daemon: &Daemon, body: Body) -> Result<Bytes, Error> {
    let limit = daemon.snapshot().configuration().rules.body_limit;
    let read = body.into_bytes_limit(limit.get() as usize).await;
    read.map_err(|failure| match failure {
        poem::error::ReadBodyError::PayloadTooLarge => {
            let detail = format!("at most {limit}");
            Error::not_admitted(error::Kind::BodyTooLarge).with_detail(detail)
        }
        _ => error::Kind::MalformedBody.into(),
    })
}

/// Spawns the driver of an admitted request and returns the receiver of its output.
pub fn spawn_driver(daemon: &Daemon, request: Admitted) -> mpsc::Receiver<Output> {
    let (sender, receiver) = mpsc::channel(OUTPUT_CHUNKS);
    daemon.spawn(Driver::new(daemon.clone(), request, sender).run());
    receiver
}
