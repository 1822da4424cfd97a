//! Memory reservations, and prefills of the segments of prompts that do not fit into one engine.

use std::collections::HashMap;
use std::time::Duration;

use bytes::BytesMut;
use kumquattiller_base::error;
use kumquattiller_base::size::Tokens;
use kumquattiller_clients::engine::Error;
use kumquattiller_dialect::engine;
use kumquattiller_link::Sender;
use kumquattiller_memory::Daemon;
use kumquattiller_memory::Item;
use kumquattiller_memory::Owner;
use kumquattiller_memory::Refusal;
use kumquattiller_memory::reservation;
use kumquattiller_wire as wire;
use kumquattiller_wire::Attempt;
use kumquattiller_wire::Body;
use kumquattiller_wire::link;
use tokio::time::timeout;

use crate::Process;
use crate::work;

/// The prefills of one link whose bodies have not arrived completely.
#[derive(Debug)]
pub struct Segments {
    process: Process,
    sender: Sender,
    incoming: HashMap<Attempt, Segment>,
}

impl Segments {
    /// Creates an empty set for the link of `sender`.
    pub fn new(process: Process, sender: Sender) -> Self {
        Self { process, sender, incoming: HashMap::new() }
    }

    /// Tells whether a prefill of the attempt waits for its body.
    pub fn contains(&self, attempt: Attempt) -> bool {
        self.incoming.contains_key(&attempt)
    }

    /// Adds a prefill, which waits for its body unless that is empty.
    ///
    /// # Errors
    ///
    /// Fails when the frame names no attempt.
    pub fn add(&mut self, prefill: link::Prefill) -> Result<(), wire::Error> {
        let attempt = Attempt::from_field(prefill.attempt)?;
        self.incoming.insert(attempt, Segment { prefill, body: BytesMut::new() });
        self.run_if_complete(attempt);
        Ok(())
    }

    /// Appends a part of a prefill's body.
    ///
    /// # Errors
    ///
    /// Fails when the part does not follow the last one or exceeds the announced size; the prefill
    /// is then removed.
    pub fn append(&mut self, attempt: Attempt, part: &link::Body) -> Result<(), wire::Error> {
        let fits = self.incoming.get_mut(&attempt).is_some_and(|segment| segment.append(part));
        if !fits {
            self.incoming.remove(&attempt);
            return Err(wire::Error::Invalid("offset"));
        }
        self.run_if_complete(attempt);
        Ok(())
    }

    /// Runs the prefill of an attempt once its body is complete.
    fn run_if_complete(&mut self, attempt: Attempt) {
        if !self.incoming.get(&attempt).is_some_and(Segment::is_complete) {
            return;
        }
        if let Some(segment) = self.incoming.remove(&attempt) {
            self.process.spawn(run_prefill(self.process.clone(), self.sender.clone(), segment));
        }
    }
}

/// A prefill of one prompt segment, with the body received so far.
#[derive(Debug)]
struct Segment {
    prefill: link::Prefill,
    body: BytesMut,
}

impl Segment {
    /// Appends a part of the body.
    ///
    /// Returns false when the part does not follow the last one or exceeds the announced size.
    fn append(&mut self, part: &link::Body) -> bool {
        let end = part.offset.saturating_add(part.data.len() as u64);
        let fits = part.offset == self.body.len() as u64 && end <= self.prefill.body_bytes;
        if fits {
            self.body.extend_from_slice(&part.data);
        }
        fits
    }

    /// Tells whether the body is complete.
    fn is_complete(&self) -> bool {
        self.body.len() as u64 == self.prefill.body_bytes
    }
}

/// Reserves memory for `owner`, either all that the frame asks for or none; returns the answer.
pub fn reserve(process: &Process, owner: Option<&Daemon>, frame: &link::Reserve) -> Body {
    let kind = match owner {
        _ if process.is_draining() => Some(error::Kind::Leaving),
        None => Some(error::Kind::Internal),
        Some(owner) => {
            let id = reservation::Id::new(frame.reservation);
            let tokens = Tokens::new(frame.tokens);
            let ttl = Duration::from_millis(frame.ttl_ms);
            let mut table = process.memory().table();
            table.reserve(id, owner, tokens, ttl, process.now()).err().map(refusal_kind)
        }
    };
    Body::Reserved(link::Reserved {
        reservation: frame.reservation,
        granted: kind.is_none(),
        kind: kind.map(|kind| kind.to_string()).unwrap_or_default(),
        load: Some(process.load().into()),
        attempt: frame.attempt,
    })
}

/// Releases a reservation and every item that it owns.
pub fn release(process: &Process, frame: &link::Release) {
    let id = reservation::Id::new(frame.reservation);
    process.memory().table().release_reservation(id, process.now());
}

/// Runs the prefill of a segment and sends the result to the entry daemon.
async fn run_prefill(process: Process, sender: Sender, segment: Segment) {
    let number = segment.prefill.segment;
    let attempt = segment.prefill.attempt;
    let exported = match Attempt::from_field(attempt) {
        Ok(attempt) => prefill_and_export(&process, attempt, segment).await,
        Err(_) => Err(error::Kind::Internal),
    };
    let (handle, kind) = match exported {
        Ok(handle) => (Some(handle), String::new()),
        Err(kind) => (None, kind.to_string()),
    };
    // A send error means that the link closed; the session ends and the reservation expires.
    let _ = sender
        .send(Body::Prefilled(link::Prefilled { attempt, segment: number, handle, kind }))
        .await;
}

/// Computes the KV of a segment on the engine and exports it; returns the exported handle.
async fn prefill_and_export(
    process: &Process,
    attempt: Attempt,
    segment: Segment,
) -> Result<link::Handle, error::Kind> {
    let prefill = segment.prefill;
    let prompt = String::from_utf8(segment.body.to_vec());
    let prompt = prompt.map_err(|_| error::Kind::MalformedBody)?;
    let name = format!("{}-{}", work::stream_name(attempt), prefill.segment);
    let item = Item::Stream(name.as_str().into());
    let owner = Owner::Reservation(reservation::Id::new(prefill.reservation));
    let tokens = Tokens::new(prefill.tokens);
    let admitted = process.memory().table().admit(item.clone(), owner, tokens, true, process.now());
    admitted.map_err(refusal_kind)?;
    let request = engine::Prefill {
        request: name,
        model: prefill.model,
        prompt,
        prompt_tokens: prefill.tokens,
        priority: 0,
        context: prefill.context.iter().map(work::engine_handle).collect(),
    };
    let left = Duration::from_millis(prefill.left_ms);
    let handle = match timeout(left, process.engine().prefill(&request)).await {
        Ok(Ok(handle)) => handle,
        Ok(Err(error)) => return Err(release_item(process, &item, engine_error_kind(&error))),
        Err(_) => return Err(release_item(process, &item, error::Kind::DeadlineExceeded)),
    };
    let kept = Item::Handle(handle.handle.as_str().into());
    let converted = process.memory().table().convert_prefill(&item, kept, tokens, process.now());
    converted.map_err(|_| error::Kind::Cancelled)?;
    let exported =
        process.engine().export(&handle.handle).await.map_err(|e| engine_error_kind(&e))?;
    Ok(link::Handle {
        runner: process.settings().id.to_string(),
        engine: exported.engine,
        handle: exported.handle,
        tokens: exported.tokens,
    })
}

/// Releases the memory item of a failed prefill, so that the engine frees it; returns `kind`.
fn release_item(process: &Process, item: &Item, kind: error::Kind) -> error::Kind {
    process.memory().table().release_item(item, process.now());
    kind
}

/// Returns the error kind for a failed engine call.
fn engine_error_kind(error: &Error) -> error::Kind {
    match error {
        Error::Refused(refusal) if refusal.kind == "memory_full" => error::Kind::MemoryFull,
        Error::Refused(_) => error::Kind::BackendFailed,
        Error::Fault(_) => error::Kind::RunnerLost,
    }
}

/// Returns the error kind for a refusal of the memory table.
const fn refusal_kind(refusal: Refusal) -> error::Kind {
    match refusal {
        Refusal::Full => error::Kind::MemoryFull,
        Refusal::UnknownReservation | Refusal::UnknownItem => error::Kind::ResumeGone,
        Refusal::Taken => error::Kind::InProgress,
    }
}
