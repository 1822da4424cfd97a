//! Look-up of routes, API keys and services in a configuration.

use std::collections::HashMap;
use std::time::Duration;

use kumquattiller_gateway::config::Account;
use kumquattiller_gateway::config::Config;
use kumquattiller_gateway::config::Denied;
use kumquattiller_gateway::config::Limits;
use kumquattiller_gateway::config::Retry;
use kumquattiller_gateway::config::Route;
use kumquattiller_gateway::config::Target;
use kumquattiller_gateway::config::Version;
use test_case::test_case;

fn target(service: &str, weight: u32) -> Target {
    Target { service: service.parse().unwrap(), weight }
}

fn route(name: &str, prefix: &str, public: bool) -> Route {
    Route {
        name: name.to_owned(),
        host: "a.example".to_owned(),
        prefix: prefix.to_owned(),
        streaming: false,
        retry: Retry::Never,
        timeout: Duration::from_secs(1),
        target_latency: Duration::from_millis(100),
        target_gap: Duration::from_millis(100),
        priority: 1,
        targets: vec![target("one", 90), target("two", 10)],
        max_attempts: 1,
        public,
        regions: Vec::new(),
    }
}

fn config() -> Config {
    let account = Account { id: "family".parse().unwrap(), priority: Some(1), regions: Vec::new() };
    let routes = vec![route("short", "/a/", false), route("long", "/a/b/", true)];
    let keys = HashMap::from([("key".to_owned(), account)]);
    Config::new(Version::new(3), Limits::default(), routes, Vec::new(), Some(keys))
}

#[test_case("a.example", "/a/x", Some("short"); "prefix")]
#[test_case("A.example:8080", "/a/x", Some("short"); "case and port of the host")]
#[test_case("a.example", "/a/b/x", Some("long"); "longest prefix")]
#[test_case("a.example", "/a", None; "without the slash")]
#[test_case("b.example", "/a/x", None; "another host")]
fn finds_the_route(host: &str, path: &str, expected: Option<&str>) {
    let found = config().route(host, path).map(|r| r.name.clone()).ok();
    assert_eq!(found.as_deref(), expected);
}

#[test_case("/a/x", Some("key"), Ok(true); "known key")]
#[test_case("/a/x", Some("other"), Err(Denied::UnknownKey); "unknown key")]
#[test_case("/a/x", None, Err(Denied::UnknownKey); "no key")]
#[test_case("/a/b/x", None, Ok(false); "public without key")]
#[test_case("/a/b/x", Some("key"), Ok(true); "public with key")]
fn checks_the_api_key(path: &str, key: Option<&str>, expected: Result<bool, Denied>) {
    let config = config();
    let route = config.route("a.example", path).unwrap();
    assert_eq!(config.account(&route, key).map(|a| a.is_some()), expected);
}

#[test_case(0.0, "one"; "first")]
#[test_case(0.89, "one"; "end of the first")]
#[test_case(0.91, "two"; "second")]
#[test_case(1.0, "two"; "end")]
fn splits_requests_by_weight(draw: f64, expected: &str) {
    let route = route("r", "/", true);
    assert_eq!(route.service(draw).unwrap().as_str(), expected);
}

/// Guards against an order of requests on deployments that state none, and against none where client
/// accounts or routes differ.
#[test_case(&[1, 1], &[], false; "equal routes")]
#[test_case(&[0, 2], &[], true; "routes that differ")]
#[test_case(&[1, 1], &[1], false; "an account like the routes")]
#[test_case(&[1, 1], &[1, 0], true; "accounts that differ")]
fn priorities_are_known_where_requests_differ(routes: &[u8], accounts: &[u8], expected: bool) {
    let routes = routes.iter().map(|priority| Route {
        priority: *priority,
        ..route("name", &format!("/{priority}/"), false)
    });
    let accounts = accounts.iter().map(|priority| {
        let id = format!("account-{priority}").parse().unwrap();
        (format!("key-{priority}"), Account { id, priority: Some(*priority), regions: Vec::new() })
    });
    let config = Config::new(
        Version::new(3),
        Limits::default(),
        routes.collect(),
        Vec::new(),
        Some(accounts.collect()),
    );
    assert_eq!(config.has_priorities(&"one".parse().unwrap()), expected);
}
