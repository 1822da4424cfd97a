//! Conversion of configuration messages to and from frames of a link.

use std::sync::Arc;

use bytes::Bytes;
use kumquattiller_inventory::Version;
use kumquattiller_inventory::diff::Delta;
use kumquattiller_rollout::spread::Message;
use kumquattiller_rollout::spread::PROBE_NONCE_BIT;
use kumquattiller_wire::Body;
use kumquattiller_wire::Error;
use kumquattiller_wire::link;

/// Converts a message to a frame.
///
/// # Panics
///
/// Panics when a delta cannot be serialized as JSON, which its type rules out.
pub fn from_message(message: Message) -> Body {
    match message {
        Message::Probe { nonce, version } => heartbeat(nonce, version, false, false),
        Message::Reply { nonce, version, ready } => heartbeat(nonce, version, true, ready),
        Message::Fetch { have } => Body::Fetch(link::Fetch { have: have.get() }),
        Message::Update(delta) => {
            let data = serde_json::to_vec(&*delta).expect("a delta serializes as JSON");
            Body::Update(link::Update {
                version: delta.version.get(),
                base: delta.base.get(),
                data: Bytes::from(data),
            })
        }
    }
}

fn heartbeat(nonce: u64, version: Version, reply: bool, ready: bool) -> Body {
    let config_version = version.get();
    Body::Heartbeat(link::Heartbeat { config_version, load: None, nonce, reply, ready })
}

/// Converts a frame to a message; returns `None` for a frame that is not about configuration.
///
/// # Errors
///
/// Fails when an update is malformed.
pub fn to_message(body: &Body) -> Result<Option<Message>, Error> {
    let message = match body {
        Body::Heartbeat(heartbeat) if heartbeat.nonce & PROBE_NONCE_BIT != 0 => {
            let nonce = heartbeat.nonce;
            let version = Version::new(heartbeat.config_version);
            if heartbeat.reply {
                Message::Reply { nonce, version, ready: heartbeat.ready }
            } else {
                Message::Probe { nonce, version }
            }
        }
        Body::Fetch(fetch) => Message::Fetch { have: Version::new(fetch.have) },
        Body::Update(update) => {
            let delta: Delta =
                serde_json::from_slice(&update.data).map_err(|_| Error::Invalid("data"))?;
            Message::Update(Arc::new(delta))
        }
        _ => return Ok(None),
    };
    Ok(Some(message))
}
