use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use kumquattiller_base::time::Moment;
use log::debug;
use log::info;
use tokio::net::TcpStream;

use crate::socket::Stall;
use crate::socket::Stream;
use crate::socket::stream::Socket;

/// Shortest time after a write for which a connection is looked at. A peer that takes nothing shows
/// in the report when the system has waited for its first probe.
const MIN_WATCH_TIME: Duration = Duration::from_millis(1_000);
/// The same, as a multiple of the time after which the system repeats data.
const WATCH_FACTOR: u32 = 2;

/// The open connections, of which those are looked at whose peers may not have taken all data.
///
/// A connection whose writer is finished is kept open until its peer has taken everything or is
/// dead, since nobody would extend its time otherwise.
#[derive(Debug, Default)]
pub struct Table {
    entries: RefCell<Vec<Entry>>,
}

#[derive(Debug)]
struct Entry {
    socket: Rc<Socket>,
    stall: Stall,
    /// When data was last seen to have been written, unless all of it has been taken.
    last_write: Option<Moment>,
}

impl Table {
    /// Adds a connection.
    pub fn open(&self, stream: TcpStream) -> Stream {
        let socket = Rc::new(Socket::new(stream));
        let entry = Entry { socket: socket.clone(), stall: Stall::default(), last_write: None };
        self.entries.borrow_mut().push(entry);
        Stream::new(socket)
    }

    /// Looks at the connections on which data was written, and gives those more time whose peers are
    /// alive and do not read.
    pub fn check(&self, now: Moment) {
        self.entries.borrow_mut().retain_mut(|entry| entry.check(now));
    }

    /// Returns the number of connections whose peers are alive and do not read.
    pub fn stalled(&self) -> usize {
        let entries = self.entries.borrow();
        entries.iter().filter(|e| e.socket.is_open() && e.stall.is_extended()).count()
    }

    /// Returns the number of open connections, also of those that only deliver their last data.
    pub fn len(&self) -> usize {
        self.entries.borrow().iter().filter(|entry| entry.socket.is_open()).count()
    }

    /// Returns whether no connection is open.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

impl Entry {
    /// Looks at the connection if that is due; returns whether it stays open.
    fn check(&mut self, now: Moment) -> bool {
        if !self.socket.is_open() {
            return false;
        }
        if self.socket.take_written() {
            self.last_write = Some(now);
        }
        let is_taken = self.last_write.is_none_or(|last_write| self.is_taken(last_write, now));
        if is_taken {
            self.last_write = None;
        }
        if is_taken && self.socket.is_released() {
            self.socket.close();
        }
        self.socket.is_open()
    }

    /// Returns whether the peer has taken all data, the last of which was written at `last_write`, or
    /// is dead.
    fn is_taken(&mut self, last_write: Moment, now: Moment) -> bool {
        let report = match self.socket.report() {
            Ok(report) => report,
            Err(error) => {
                debug!(target: "connection", error:%; "no report on a connection");
                return true;
            }
        };
        let was_extended = self.stall.is_extended();
        if let Some(timeout) = self.stall.update(report, now) {
            self.extend(timeout);
            if !was_extended {
                info!(target: "connection", "a peer is alive and does not read");
            }
        }
        let watch_time = MIN_WATCH_TIME.max(report.retransmission_timeout * WATCH_FACTOR);
        let is_watched = now.since(last_write) < watch_time;
        !is_watched && !report.is_stalled && !report.is_unacknowledged
    }

    fn extend(&self, timeout: Duration) {
        if let Err(error) = self.socket.set_timeout(timeout) {
            debug!(target: "connection", error:%; "failed to set the time of a connection");
        }
    }
}
