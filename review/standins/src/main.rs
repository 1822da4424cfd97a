//! Stand-ins of clients, servers and the platform, and the cases of the review that use them.
//!
//! Usage: `review-standins CASE RECORD`, in the root of the repository. The exit code is 0 if the
//! rule was kept, 1 if it was broken and 2 if the case could not run. With `TROUBLE=0` the case runs
//! without its disruption.

mod cases;
mod client;
mod daemon;
mod fleet;
mod http;
mod record;
mod server;
mod store;

use std::path::Path;
use std::process::ExitCode;

use crate::record::Log;
use crate::server::Stream;

/// Events of the sizes that the sheets state.
const SMALL_EVENTS: Stream = Stream {
    events: 70,
    event_bytes: 390,
    pause: std::time::Duration::from_millis(20),
    is_sized: false,
    reset_after: None,
};
/// Events of the size that the project's own test uses.
const LARGE_EVENTS: Stream = Stream {
    events: 6,
    event_bytes: 128 * 1024,
    pause: std::time::Duration::from_millis(20),
    is_sized: false,
    reset_after: None,
};

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, record] = &arguments[..] else {
        eprintln!("usage: review-standins CASE RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let result = Log::create(Path::new(record)).and_then(|log| {
        log.line(&format!("case {case}, trouble: {trouble}"));
        let result = match case.as_str() {
            "slow-readers" => cases::slow_readers::run(trouble, &log),
            "busy-stop" => cases::busy_stop::run(trouble, &log),
            "idle-readers-small" => cases::idle_readers::run(SMALL_EVENTS, &log),
            "idle-readers-large" => cases::idle_readers::run(LARGE_EVENTS, &log),
            "large-prompts" => cases::large_prompts::run(trouble, &log),
            "restored-store" => cases::restored_store::run(trouble, &log),
            "torn-entry" => cases::torn_entry::run(trouble, &log),
            "sized-streams" => cases::sized_streams::run(trouble, &log),
            "unregistered" => cases::unregistered::run(trouble, &log),
            other => Err(std::io::Error::other(format!("unknown case {other}"))),
        };
        log.line(&format!("result: {result:?}"));
        result
    });
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}
