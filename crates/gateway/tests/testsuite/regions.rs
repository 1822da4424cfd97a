//! Regions in which requests may run.

use kumquattiller_base::place::Region;
use kumquattiller_gateway::regions::Allowed;
use kumquattiller_gateway::regions::NoRegion;
use test_case::test_case;

fn regions(names: &[&str]) -> Vec<Region> {
    names.iter().map(|name| name.parse().unwrap()).collect()
}

#[test_case(&[], &[], Ok(&["n", "s", "w"]); "no rule")]
#[test_case(&["n"], &[], Ok(&["n"]); "of the route")]
#[test_case(&[], &["s", "w"], Ok(&["s", "w"]); "of the account")]
#[test_case(&["n", "s"], &["s", "w"], Ok(&["s"]); "of both")]
#[test_case(&["n"], &["s"], Err(NoRegion); "of both with none in common")]
fn the_rules_of_route_and_account_bind(
    route: &[&str],
    account: &[&str],
    expected: Result<&[&str], NoRegion>,
) {
    let allowed = Allowed::of(&regions(route), &regions(account));
    let found = allowed.map(|allowed| {
        let all = regions(&["n", "s", "w"]);
        all.into_iter().filter(|region| allowed.allows(Some(region))).collect::<Vec<_>>()
    });
    assert_eq!(found, expected.map(regions));
}

#[test_case(&[], true; "without a rule")]
#[test_case(&["n"], false; "with a rule")]
fn a_server_of_an_unknown_region_is_used(route: &[&str], is_used: bool) {
    let allowed = Allowed::of(&regions(route), &[]).unwrap();
    assert_eq!(allowed.allows(None), is_used);
    assert_eq!(allowed.is_any(), is_used);
}
