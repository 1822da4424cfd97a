//! What the handlers have in common.

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

/// Pieces that wait for the caller.
const OUTPUT_PIECES: usize = 64;

/// Refuses when the daemon is stopping or has no configuration that it can vouch for.
pub fn check_serving(daemon: &Daemon) -> Result<(), Error> {
    if daemon.is_refusing() {
        return Err(error::Kind::Stopping.into());
    }
    if daemon.config_version() == configuration::Version::NONE || !daemon.is_fresh() {
        return Err(error::Kind::NoConfiguration.into());
    }
    Ok(())
}

/// Counts and answers a request that was not admitted.
pub fn refuse(daemon: &Daemon, error: Error) -> Response {
    daemon.recorder().metrics().count_error(error.kind);
    error.into_response()
}

/// Reads a body up to the limit of the rules.
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

/// Starts to drive an admitted request; returns where its answer comes out.
pub fn drive(daemon: &Daemon, request: Admitted) -> mpsc::Receiver<Output> {
    let (sender, receiver) = mpsc::channel(OUTPUT_PIECES);
    daemon.spawn(Driver::new(daemon.clone(), request, sender).run());
    receiver
}
