//! Parse errors name the file, field, line and column.

use kumquattiller_inventory::read::Source;
use kumquattiller_inventory::register::Register;
use kumquattiller_inventory::rules::Rules;
use test_case::test_case;

#[test_case("{", "register.json:1:1: field .: EOF while parsing an object"; "malformed")]
#[test_case(
    "{\"places\": [], \"services\": [],\n \"runers\": [], \"accounts\": []}",
    "register.json:2:9: field runers: unknown field `runers`, expected one of `places`, \
     `services`, `runners`, `accounts`; did you mean `runners`?";
    "unknown field"
)]
#[test_case(
    "{\"places\": [], \"services\": [], \"runners\": [\n{\"id\": 7}], \"accounts\": []}",
    "register.json:2:8: field runners[0].id: invalid type: integer `7`, expected a string";
    "wrong type"
)]
#[test_case(
    "{\"places\": [], \"services\": [], \"runners\": [], \"accounts\": [{\"id\": \"a\"}]}",
    "register.json:1:70: field accounts[0]: missing field `credential`";
    "account without credential"
)]
#[test_case(
    "{\"places\": [], \"services\": [], \"runners\": [], \"accounts\": []} x",
    "register.json:1:63: field .: trailing characters";
    "trailing text"
)]
fn register_error(text: &str, expected: &str) {
    let error = Source::new("register.json", text).read::<Register>().unwrap_err();
    assert_eq!(error.to_string(), expected);
}

#[test]
fn rules_may_be_empty() {
    let rules = Source::new("rules.json", "{}").read::<Rules>().unwrap();
    assert_eq!(rules, Rules::default());
}

#[test]
fn fields_are_located() {
    let source = Source::new("r", "{\n \"runners\": [\n  {\"id\": \"a\"},\n  {\"id\": \"b\"}]}");
    assert_eq!(source.locate("runners[1].id").unwrap().to_string(), "4:10");
    assert_eq!(source.locate("runners[1].zone").unwrap().to_string(), "4:3");
}

#[test]
fn schemas_name_every_field() {
    let register = kumquattiller_inventory::schema::register();
    let rules = kumquattiller_inventory::schema::rules();
    insta::assert_json_snapshot!("schema_register", register);
    insta::assert_json_snapshot!("schema_rules", rules);
}
