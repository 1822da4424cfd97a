//! Which backend servers may get work while servers drain or restart and during store outages.

use std::time::Duration;
use std::time::Instant;

use kumquattiller_base::runner;
use kumquattiller_base::time::Moment;
use kumquattiller_gateway::fleet::Change;
use kumquattiller_gateway::fleet::LAPSE_GRACE;
use kumquattiller_gateway::fleet::MIN_OUTAGE;
use kumquattiller_gateway::fleet::RETURN_GRACE;
use kumquattiller_gateway::fleet::Server;
use kumquattiller_gateway::fleet::Table;

const START: Moment = Moment::from_millis(10_000);
/// Number of servers of a large fleet.
const SERVER_COUNT: usize = 3_000;
/// Number of reports whose time is taken together.
const REPORT_COUNT: u32 = 2_000;
/// Time that the servers named in a report may take.
const MAX_REPORT_TIME: Duration = Duration::from_micros(100);

fn id(name: &str) -> runner::Id {
    name.parse().unwrap()
}

fn server(name: &str) -> Server {
    Server {
        id: id(name),
        service: "pool".parse().unwrap(),
        address: ([10, 0, 0, 1], 8_080).into(),
        slots: 16,
        draining: false,
        started_ms: Some(1),
        zone: None,
        cold_left: Duration::ZERO,
    }
}

fn table() -> Table {
    let mut table = Table::default();
    table.replace(vec![server("a"), server("b")], START);
    table
}

fn usable(table: &Table) -> Vec<String> {
    table.usable(&"pool".parse().unwrap()).iter().map(|s| s.id.to_string()).collect()
}

fn later(millis: u64) -> Moment {
    START + Duration::from_millis(millis)
}

#[test]
fn a_draining_server_gets_no_work() {
    let mut table = table();
    let change = table.put(Server { draining: true, ..server("a") });
    assert_eq!((change, usable(&table)), (Change::Draining, vec!["b".to_owned()]));
}

#[test]
fn a_drained_server_gets_no_work_when_its_registration_is_gone_and_comes_back() {
    let mut table = table();
    table.put(Server { draining: true, ..server("a") });
    assert_eq!(table.remove(&id("a"), later(0)), Change::Gone);
    table.expire(later(5_000));
    table.put(server("a"));
    assert_eq!(usable(&table), ["b"]);
    assert!(table.draining_keys().contains(&server("a").start_key()), "peers are told");
    table.put(Server { started_ms: Some(2), ..server("a") });
    assert_eq!(usable(&table), ["a", "b"], "it has restarted");
}

#[test]
fn a_removed_server_gets_no_work() {
    let mut table = table();
    assert_eq!(table.remove(&id("a"), later(1)), Change::Gone);
    assert_eq!(usable(&table), ["b"]);
}

#[test]
fn a_registration_that_lapsed_in_an_outage_is_kept_for_a_grace_period() {
    let mut table = table();
    table.store_responded(MIN_OUTAGE, later(5_000));
    table.replace(vec![server("b")], later(5_000));
    assert_eq!(usable(&table), ["a", "b"]);
    table.expire(later(5_000) + LAPSE_GRACE);
    assert_eq!(usable(&table), ["b"]);
}

#[test]
fn a_registration_that_comes_back_stays() {
    let mut table = table();
    table.store_responded(MIN_OUTAGE, later(5_000));
    table.replace(vec![server("b")], later(5_000));
    assert_eq!(table.put(server("a")), Change::Same);
    table.expire(later(9_000));
    assert_eq!(usable(&table), ["a", "b"]);
}

/// Guards against sending work to a server for longer than its drain time. A server whose
/// registration vanished just after a store outage got work for the whole grace period (2,009 ms in
/// trouble-1 on akcba-ktr).
#[test]
fn a_server_removed_after_an_outage_gets_work_for_less_than_drain_time() {
    let drain = Duration::from_secs(2);
    let notice = Duration::from_millis(500);
    let mut table = table();
    table.store_responded(MIN_OUTAGE, later(5_000));
    let vanished = later(5_000) + RETURN_GRACE - Duration::from_millis(1);
    table.remove(&id("a"), vanished);
    table.expire(vanished + drain - notice);
    assert_eq!(usable(&table), ["b"]);
}

#[test]
fn a_server_removed_after_a_short_silence_of_the_store_gets_no_work() {
    let mut table = table();
    table.store_responded(MIN_OUTAGE - Duration::from_millis(1), later(5_000));
    assert_eq!(table.remove(&id("a"), later(5_000)), Change::Gone);
    assert_eq!(usable(&table), ["b"]);
}

#[test]
fn a_draining_server_that_vanishes_in_an_outage_is_removed() {
    let mut table = table();
    table.put(Server { draining: true, ..server("a") });
    table.store_responded(MIN_OUTAGE, START);
    assert_eq!(table.remove(&id("a"), later(1)), Change::Gone);
}

#[test]
fn a_server_that_a_peer_reports_as_draining_gets_no_work() {
    let mut table = table();
    assert_eq!(table.mark_draining(&[server("a").start_key()]), [id("a")]);
    assert_eq!(table.mark_draining(&[server("a").start_key()]), []);
    table.put(server("a"));
    assert_eq!(usable(&table), ["b"]);
}

#[test]
fn a_server_known_to_drain_stays_so_when_an_older_entry_comes_back() {
    let mut table = table();
    table.put(Server { draining: true, ..server("a") });
    assert_eq!(table.put(server("a")), Change::Same);
    assert_eq!(usable(&table), ["b"]);
}

#[test]
fn a_restarted_server_is_not_draining() {
    let mut table = table();
    table.mark_draining(&[server("a").start_key()]);
    let change = table.put(Server { started_ms: Some(2), ..server("a") });
    assert_eq!((change, usable(&table).len()), (Change::Joined, 2));
}

/// Guards against work for each server on each report. A daemon of a fleet with 300 others gets over
/// a thousand reports a second, and may spend a tenth of a core on them.
#[test]
fn reports_of_peers_cost_little_in_a_fleet_of_many_servers() {
    let mut table = Table::default();
    let servers: Vec<Server> = (0..SERVER_COUNT).map(|n| server(&format!("i-{n}"))).collect();
    let draining = [servers[0].start_key(), servers[1].start_key()];
    table.replace(servers, START);
    let begin = Instant::now();
    for _ in 0..REPORT_COUNT {
        table.mark_draining(&draining);
    }
    assert!(begin.elapsed() < MAX_REPORT_TIME * REPORT_COUNT, "took {:?}", begin.elapsed());
    assert_eq!(table.draining_keys().len(), 2);
}

/// Guards against collisions of start keys. When an incarnation of one server had the key of
/// another server's incarnation, and the first server drained, all daemons treated both as draining
/// (soak test).
#[test]
fn each_incarnation_of_each_server_has_its_own_start_key() {
    let mut keys = std::collections::BTreeSet::new();
    for number in 0..10 {
        for started in 0..100 {
            let server = Server { started_ms: Some(started), ..server(&format!("i-{number}")) };
            assert!(keys.insert(server.start_key()), "{} started {started}", server.id);
        }
    }
}
