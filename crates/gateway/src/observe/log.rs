use std::collections::HashMap;
use std::io;
use std::io::Write;
use std::num::NonZeroU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use env_logger::Target;
use env_logger::fmt::Formatter;
use governor::DefaultDirectRateLimiter;
use governor::Quota;
use governor::RateLimiter;
use log::LevelFilter;
use log::Record;
use log::kv;
use serde_json::Map;
use serde_json::Value;
use tracing_appender::non_blocking::NonBlockingBuilder;
use tracing_appender::non_blocking::WorkerGuard;

/// Log lines per second with the target [`REQUEST_TARGET`].
const REQUEST_LINES_PER_SECOND: NonZeroU32 = NonZeroU32::new(400).expect("not zero");
/// Log lines per second of each other target.
const OTHER_LINES_PER_SECOND: NonZeroU32 = NonZeroU32::new(50).expect("not zero");
/// Target of log lines about requests.
const REQUEST_TARGET: &str = "request";
/// Other targets that have a rate limit of their own.
const OTHER_TARGETS: [&str; 6] = ["process", "config", "fleet", "store", "peer", "connection"];
/// Lines buffered for standard output; lines beyond that are dropped.
const MAX_BUFFERED_LINES: usize = 2_048;

/// Rate limits of log lines by target, and the number of lines dropped by them since the last line
/// that was written.
struct Limiter {
    limiters: HashMap<&'static str, DefaultDirectRateLimiter>,
    other: DefaultDirectRateLimiter,
    dropped: AtomicU64,
}

/// Installs the logger of the process, which writes one JSON object per line to standard output.
///
/// Logging never blocks. Lines over the rate limit of their target are dropped, and the next line
/// states how many. Lines that do not fit the buffer for standard output are dropped too, and all
/// later lines state their total number. The logger works until the returned guard is dropped, which
/// flushes the buffer.
pub fn init(level: LevelFilter) -> WorkerGuard {
    let (writer, guard) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(MAX_BUFFERED_LINES)
        .finish(io::stdout());
    let limiter = Limiter::new();
    let lost = writer.error_counter();
    let set = env_logger::Builder::new()
        .filter_level(level)
        .format(move |out, record| limiter.write(out, record, lost.dropped_lines()))
        .target(Target::Pipe(Box::new(writer)))
        .try_init();
    if let Err(error) = set {
        eprintln!("failed to install the logger: {error}");
    }
    guard
}

impl Limiter {
    fn new() -> Self {
        let limiter = |lines| RateLimiter::direct(Quota::per_second(lines));
        let mut limiters = HashMap::from([(REQUEST_TARGET, limiter(REQUEST_LINES_PER_SECOND))]);
        limiters.extend(OTHER_TARGETS.map(|target| (target, limiter(OTHER_LINES_PER_SECOND))));
        Self { limiters, other: limiter(OTHER_LINES_PER_SECOND), dropped: AtomicU64::new(0) }
    }

    /// Writes a record unless it exceeds the rate limit of its target. `lost` is the number of
    /// lines so far that did not fit the buffer for standard output.
    fn write(&self, out: &mut Formatter, record: &Record<'_>, lost: usize) -> io::Result<()> {
        let limiter = self.limiters.get(record.target()).unwrap_or(&self.other);
        if limiter.check().is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
            return Ok(());
        }
        let mut line = line(record);
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            line.insert("dropped_lines".to_owned(), dropped.into());
        }
        if lost > 0 {
            line.insert("lost_lines".to_owned(), lost.into());
        }
        serde_json::to_writer(&mut *out, &line)?;
        out.write_all(b"\n")
    }
}

/// Returns a record as a JSON object.
fn line(record: &Record<'_>) -> Map<String, Value> {
    let mut line = Map::new();
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    let unix_ms = since.map(|s| s.as_millis() as u64).unwrap_or_default();
    line.insert("unix_ms".to_owned(), unix_ms.into());
    line.insert("level".to_owned(), record.level().as_str().into());
    line.insert("about".to_owned(), record.target().into());
    line.insert("what".to_owned(), record.args().to_string().into());
    let mut fields = Fields(&mut line);
    if let Err(error) = record.key_values().visit(&mut fields) {
        line.insert("fields_error".to_owned(), error.to_string().into());
    }
    line
}

/// Visitor that collects the key-value pairs of a record.
struct Fields<'a>(&'a mut Map<String, Value>);

impl<'kvs> kv::VisitSource<'kvs> for Fields<'_> {
    fn visit_pair(&mut self, key: kv::Key<'kvs>, value: kv::Value<'kvs>) -> Result<(), kv::Error> {
        let value = match (value.to_u64(), value.to_f64(), value.to_bool()) {
            (Some(number), _, _) => Value::from(number),
            (_, Some(number), _) => Value::from(number),
            (_, _, Some(boolean)) => Value::from(boolean),
            _ => Value::from(value.to_string()),
        };
        self.0.insert(key.to_string(), value);
        Ok(())
    }
}
