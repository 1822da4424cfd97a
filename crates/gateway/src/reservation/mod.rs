//! Reservations of server memory for the parts of a prompt that exceeds the memory of one engine.
//!
//! The daemon generates the id of a reservation, its ticket, and sends it with the request to the
//! server that runs it, together with the address of the helper that holds the memory.
//!
//! A reservation expires after a short time and is renewed while the request is in progress, so
//! that a daemon that crashes or freezes does not block memory for long. The reservations of a
//! request are made one after the other, ordered by server id. No server queues a reservation:
//! either all succeed at once or all are released.
//!
//! Memory that shows no use for too long is given back (`Usage`): the reservations are not renewed
//! beyond that time, and the attempt ends then (`Dispatch::deadline`), whatever it waits for.
//!
//! A call without a response may be carried out seconds later, so the daemon releases a reservation
//! until nothing can be held for it any more ([`release`]).
//!
//! A server that has asked for a pause gets no new reservation. One that it already holds is renewed
//! once, until after the pause, and released when the server may be called.
//!
//! A server in an evacuated zone gets no new reservation either. One that it already holds is renewed as
//! before until its request ends, so that it does not outlast a daemon that dies.

mod call;
mod held;
pub mod release;
pub mod renewal;
mod reservations;
mod usage;

use call::Call;
use call::call;
use held::Held;
use release::Release;
pub use reservations::NoMemory;
pub use reservations::Reservations;
use usage::Usage;
