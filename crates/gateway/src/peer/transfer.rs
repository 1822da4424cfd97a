//! Messages with which a daemon asks a peer for changes.

use std::net::SocketAddr;
use std::time::Duration;

use crate::changes;
use crate::changes::Content;
use crate::changes::Update;
use crate::fleet;
use crate::freshness;
use crate::freshness::Era;
use crate::freshness::Revision;
use crate::freshness::Source;
use crate::peer;
use crate::peer::message::Kind;
use crate::peer::message::Server;
use crate::peer::message::Unreadable;

/// Asks for the objects of a kind, or for their changes since a revision.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct Request {
    /// Kind of the objects.
    #[prost(enumeration = "Kind", tag = "1")]
    pub kind: i32,
    /// Era of the revision.
    #[prost(uint64, tag = "2")]
    pub era: u64,
    /// Revision up to which the copy of the asking daemon is complete; none if it has no copy.
    #[prost(uint64, optional, tag = "3")]
    pub revision: Option<u64>,
}

/// Answer to a [`Request`].
#[derive(Clone, PartialEq, prost::Message)]
pub struct Response {
    /// Kind of the objects.
    #[prost(enumeration = "Kind", tag = "1")]
    pub kind: i32,
    /// Era of all revisions.
    #[prost(uint64, tag = "2")]
    pub era: u64,
    /// Revision after which the changes begin; none if the answer holds all objects.
    #[prost(uint64, optional, tag = "3")]
    pub since: Option<u64>,
    /// Revision up to which a copy is complete with this answer.
    #[prost(uint64, tag = "4")]
    pub revision: u64,
    /// Time since the store or a peer confirmed the copy of the answering daemon, in milliseconds.
    #[prost(uint32, tag = "5")]
    pub age_ms: u32,
    /// The changes, in the order in which they happened, or all objects.
    #[prost(message, repeated, tag = "6")]
    pub changes: Vec<Change>,
}

/// Change of one object.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Change {
    /// Revision of the change.
    #[prost(uint64, tag = "1")]
    pub revision: u64,
    /// What has changed.
    #[prost(oneof = "Object", tags = "2, 3, 4, 5, 6, 7, 8")]
    pub object: Option<Object>,
}

/// The object that has changed.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Object {
    /// The configuration document, as stored by the platform.
    #[prost(bytes = "bytes", tag = "2")]
    Config(bytes::Bytes),
    /// A backend server that was registered, or whose registration has changed.
    #[prost(message, tag = "3")]
    Server(Server),
    /// Id of a backend server whose registration was removed.
    #[prost(string, tag = "4")]
    ServerRemoved(String),
    /// A daemon that was registered, or whose registration has changed.
    #[prost(message, tag = "5")]
    Daemon(Daemon),
    /// Name of a daemon whose registration was removed.
    #[prost(string, tag = "6")]
    DaemonRemoved(String),
    /// Name of an availability zone that is evacuated.
    #[prost(string, tag = "7")]
    Evacuation(String),
    /// Name of an availability zone whose evacuation was taken back.
    #[prost(string, tag = "8")]
    EvacuationRemoved(String),
}

/// A daemon.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Daemon {
    /// Its name.
    #[prost(string, tag = "1")]
    pub id: String,
    /// Address for reports.
    #[prost(string, tag = "2")]
    pub address: String,
    /// Its availability zone, if known.
    #[prost(string, optional, tag = "3")]
    pub zone: Option<String>,
    /// Address at which it passes on changes, if it does.
    #[prost(string, optional, tag = "4")]
    pub changes: Option<String>,
}

impl Request {
    /// Creates a request of a daemon whose copy of a kind is complete up to `revision`.
    pub fn new(kind: freshness::Kind, revision: Option<Revision>) -> Self {
        Self {
            kind: Kind::from(kind).into(),
            era: revision.unwrap_or_default().era().get(),
            revision: revision.map(Revision::number),
        }
    }

    /// Returns the revision up to which the copy of the asking daemon is complete.
    pub fn copy_revision(&self) -> Option<Revision> {
        self.revision.map(|number| Revision::of(Era::new(self.era), number))
    }
}

impl From<&Update> for Response {
    /// Encodes an update; the caller sets the age.
    fn from(update: &Update) -> Self {
        let encode = |revision: Revision, change: &changes::Change| Change {
            revision: revision.number(),
            object: Some(change.into()),
        };
        let (since, changes) = match &update.content {
            Content::Complete(objects) => {
                (None, objects.iter().map(|change| encode(update.revision, change)).collect())
            }
            Content::Since(from, changes) => {
                let changes = changes.iter().map(|(revision, change)| encode(*revision, change));
                (Some(from.number()), changes.collect())
            }
        };
        Self {
            kind: Kind::from(update.kind).into(),
            era: update.revision.era().get(),
            since,
            revision: update.revision.number(),
            age_ms: 0,
            changes,
        }
    }
}

impl Response {
    /// Sets the time since the copy of the answering daemon was confirmed.
    #[must_use]
    pub fn with_age(self, age: Duration) -> Self {
        Self { age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX), ..self }
    }

    /// Decodes the answer to a question that was asked at `asked_at`.
    ///
    /// # Errors
    ///
    /// Fails if the kind is unknown, a field cannot be parsed, or a change is of another kind.
    pub fn decode_update(
        self,
        asked_at: kumquattiller_base::time::Moment,
    ) -> Result<Update, Unreadable> {
        let kind = self.kind().try_into()?;
        let age = Duration::from_millis(self.age_ms.into());
        let era = Era::new(self.era);
        let revision = Revision::of(era, self.revision);
        let mut changes = Vec::with_capacity(self.changes.len());
        for change in self.changes {
            let at = Revision::of(era, change.revision);
            changes.push((at, decode_change(change.object, kind)?));
        }
        if let Some((at, _)) = changes.iter().find(|(at, _)| *at > revision) {
            return Err(Unreadable(format!("change {at} is later than the answer {revision}")));
        }
        let content = match self.since {
            Some(since) => Content::Since(Revision::of(era, since), changes),
            None => Content::Complete(changes.into_iter().map(|(_, change)| change).collect()),
        };
        Ok(Update { kind, source: Source::Peer, content, revision, shown_at: asked_at - age })
    }
}

/// Decodes a change, which has to be of `kind`.
fn decode_change(
    object: Option<Object>,
    kind: freshness::Kind,
) -> Result<changes::Change, Unreadable> {
    let (change, found) = match object {
        None => return Err(Unreadable("a change without an object".to_owned())),
        Some(Object::Config(document)) => {
            (changes::Change::Config(document), freshness::Kind::Config)
        }
        Some(Object::Server(server)) => {
            let server = fleet::Server::try_from(&server)?;
            (changes::Change::Server(server), freshness::Kind::Servers)
        }
        Some(Object::ServerRemoved(id)) => {
            (changes::Change::ServerRemoved(parse(&id, "id")?), freshness::Kind::Servers)
        }
        Some(Object::Daemon(daemon)) => {
            (changes::Change::Daemon((&daemon).try_into()?), freshness::Kind::Daemons)
        }
        Some(Object::DaemonRemoved(id)) => {
            (changes::Change::DaemonRemoved(parse(&id, "id")?), freshness::Kind::Daemons)
        }
        Some(Object::Evacuation(zone)) => {
            (changes::Change::Evacuation(parse(&zone, "zone")?), freshness::Kind::Evacuations)
        }
        Some(Object::EvacuationRemoved(zone)) => (
            changes::Change::EvacuationRemoved(parse(&zone, "zone")?),
            freshness::Kind::Evacuations,
        ),
    };
    match found == kind {
        true => Ok(change),
        false => Err(Unreadable(format!("a change of {found} among those of {kind}"))),
    }
}

impl From<&changes::Change> for Object {
    fn from(change: &changes::Change) -> Self {
        match change {
            changes::Change::Config(document) => Self::Config(document.clone()),
            changes::Change::Server(server) => Self::Server(server.into()),
            changes::Change::ServerRemoved(id) => Self::ServerRemoved(id.to_string()),
            changes::Change::Daemon(member) => Self::Daemon(member.into()),
            changes::Change::DaemonRemoved(id) => Self::DaemonRemoved(id.to_string()),
            changes::Change::Evacuation(zone) => Self::Evacuation(zone.to_string()),
            changes::Change::EvacuationRemoved(zone) => Self::EvacuationRemoved(zone.to_string()),
        }
    }
}

impl From<&peer::Member> for Daemon {
    fn from(member: &peer::Member) -> Self {
        Self {
            id: member.id.to_string(),
            address: member.address.to_string(),
            zone: member.zone.as_ref().map(ToString::to_string),
            changes: member.changes.as_ref().map(SocketAddr::to_string),
        }
    }
}

impl TryFrom<&Daemon> for peer::Member {
    type Error = Unreadable;

    fn try_from(daemon: &Daemon) -> Result<Self, Self::Error> {
        Ok(Self {
            id: parse(&daemon.id, "id")?,
            address: parse(&daemon.address, "address")?,
            zone: daemon.zone.as_deref().map(|zone| parse(zone, "zone")).transpose()?,
            changes: daemon.changes.as_deref().map(|text| parse(text, "changes")).transpose()?,
        })
    }
}

fn parse<T: std::str::FromStr<Err: std::fmt::Display>>(
    text: &str,
    field: &str,
) -> Result<T, Unreadable> {
    text.parse().map_err(|error: T::Err| Unreadable(format!("{field}: {error}")))
}
