//! A small deployment of stand-ins.

use std::io;
use std::net::Ipv4Addr;
use std::net::TcpListener;
use std::path::PathBuf;

use serde_json::Value;
use serde_json::json;

use crate::client::HOST;
use crate::client::KEY;

/// Returns loopback addresses on which the ports of a daemon are free.
pub fn free_ips(count: usize) -> io::Result<Vec<Ipv4Addr>> {
    let pid = std::process::id();
    let mut found = Vec::new();
    for n in 0..200 {
        let mixed = pid.wrapping_mul(2_654_435_761).wrapping_add(n * 7_919);
        let ip =
            Ipv4Addr::new(127, 60 + (mixed >> 16) as u8 % 100, (mixed >> 8) as u8, 10 + n as u8);
        let is_free = [8_227, 8_220, 7_340, 7_341, 9_464]
            .iter()
            .all(|port| TcpListener::bind((ip, *port)).is_ok());
        if is_free {
            found.push(ip);
        }
        if found.len() == count {
            return Ok(found);
        }
    }
    Err(io::Error::other("no free loopback addresses"))
}

/// Creates a temporary folder for settings and logs.
pub fn folder() -> io::Result<PathBuf> {
    let folder = std::env::temp_dir().join(format!("kumquattiller-review-{}", std::process::id()));
    std::fs::create_dir_all(&folder)?;
    Ok(folder)
}

/// Times of an engine's step, in milliseconds.
#[derive(Debug, Clone, Copy)]
pub struct Engine {
    /// Of each step.
    pub step_ms: f64,
    /// For each request that is writing.
    pub per_seq_ms: f64,
    /// Tokens of an event.
    pub stride: u32,
    /// Requests at once.
    pub slots: u32,
}

/// The engines of [`config_with_engines`].
pub const ENGINE: Engine = Engine { step_ms: 1.0, per_seq_ms: 0.15, stride: 46, slots: 16 };

/// Returns a configuration like [`config`], whose service `models` has engines.
pub fn config_with_engines(version: u64) -> Value {
    let mut config = config(version);
    let Engine { step_ms, per_seq_ms, stride, slots } = ENGINE;
    config["services"][0]["engine"] = json!({
        "slots": slots, "kvCapacityTokens": 450_000, "stride": stride, "step_ms": step_ms,
        "per_seq_ms": per_seq_ms, "context_per_k": 0.0, "read_per_s": 256_000.0,
        "pairs_per_m": 0.09, "chunk": 2_048, "usual": {"prompt": 5_000, "answer": 1_500},
        "report_lag_ms": 200,
    });
    config
}

/// Returns a configuration: streams at `models`, other requests at `desk`.
pub fn config(version: u64) -> Value {
    let route = |prefix: &str, kind: &str, service: &str, attempts: u32, resumable: bool| {
        json!({
            "name": prefix, "host": HOST, "pathPrefix": prefix, "routeKind": kind,
            "timeoutMs": 15_000, "targetLatencyMs": 300, "targetGapMs": 250, "priority": 1,
            "service": service, "maxAttempts": attempts, "public": false, "resumable": resumable,
            "sticky": resumable,
        })
    };
    json!({
        "version": version,
        "routes": [
            route("/stream/", "streaming", "models", 2, true),
            route("/post/", "non_idempotent", "desk", 1, false),
            route("/read/", "idempotent", "desk", 2, false),
        ],
        "services": [
            {"name": "models", "healthPath": "/healthz", "maxConns": 400},
            {"name": "desk", "healthPath": "/healthz", "maxConns": 200},
        ],
        "limits": {
            "maxHeaderBytes": 16_384, "maxBodyBytes": 4_194_304, "headerTimeoutMs": 5_000,
            "idleTimeoutMs": 15_000,
        },
        "tenants": [{"name": "family", "apiKeys": [KEY]}],
    })
}
