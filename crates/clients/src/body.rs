//! Reading the bodies of responses.
//!
//! A faulty server may send a body without end, so its size is bounded, and so is the memory of all
//! bodies that are being read.

use std::sync::Arc;

use bytes::Bytes;
use bytes::BytesMut;
use reqwest::Response;
use tokio::sync::Semaphore;

use crate::Fault;

/// Largest body, in bytes.
pub const MAX_BYTES: usize = 16 * 1024 * 1024;
/// Memory of all bodies that a process reads, in units of [`UNIT_BYTES`].
const MEMORY_UNITS: usize = 4 * MAX_BYTES / UNIT_BYTES;
/// Unit in which memory is assigned to bodies, in bytes.
const UNIT_BYTES: usize = 16 * 1024;

/// The memory of all bodies that are being read.
#[derive(Debug, Clone)]
pub struct Memory(Arc<Semaphore>);

impl Default for Memory {
    fn default() -> Self {
        Self(Arc::new(Semaphore::new(MEMORY_UNITS)))
    }
}

impl Memory {
    /// Reads the body of a response.
    ///
    /// # Errors
    ///
    /// Fails if the connection does, or if the body is too large or finds no memory.
    pub async fn read(&self, mut response: Response) -> Result<Bytes, Fault> {
        let mut body = BytesMut::new();
        let mut permits = Vec::new();
        while let Some(data) = response.chunk().await.map_err(|e| Fault::Lost(e.to_string()))? {
            body.extend_from_slice(&data);
            if body.len() > MAX_BYTES {
                return Err(Fault::Lost("the body exceeds the size limit".to_owned()));
            }
            while permits.len() * UNIT_BYTES < body.len() {
                let no_memory = |_| Fault::Lost("other bodies take all memory".to_owned());
                permits.push(self.0.try_acquire().map_err(no_memory)?);
            }
        }
        Ok(body.freeze())
    }
}
