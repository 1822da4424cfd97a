//! Validation reports all problems at once, each with its field.

use std::path::Path;

use kumquattiller_inventory::check::File;
use kumquattiller_inventory::check::check;
use kumquattiller_inventory::read::Source;
use kumquattiller_inventory::register::Register;
use kumquattiller_inventory::rules::Rules;
use serde_json::Value;
use serde_json::json;
use test_case::test_case;

fn example(deployment: &str, file: &str) -> Source {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    let path = root.join(deployment).join(file);
    Source::new(file, std::fs::read_to_string(path).unwrap())
}

fn read_files(deployment: &str) -> (Value, Value) {
    let register = example(deployment, "register.json").read().unwrap();
    let rules = example(deployment, "rules.json").read().unwrap();
    (register, rules)
}

fn problems(register: Value, rules: Value) -> Vec<String> {
    let register: Register = serde_json::from_value(register).unwrap();
    let rules: Rules = serde_json::from_value(rules).unwrap();
    check(&register, &rules).iter().map(ToString::to_string).collect()
}

#[test_case("bayanihan", 15, 3; "bayanihan")]
#[test_case("addis-ketema", 25, 3; "addis ketema")]
fn examples_are_valid(deployment: &str, model_runners: usize, plain_runners: usize) {
    let (register, rules) = read_files(deployment);
    assert_eq!(problems(register.clone(), rules), Vec::<String>::new());
    let register: Register = serde_json::from_value(register).unwrap();
    assert_eq!(register.runners.len(), model_runners + plain_runners);
    assert_eq!(register.places[0].zones.len(), 3);
    assert_eq!(register.accounts.len(), 10);
}

#[test_case("register", "/runners/3/zone", json!("pasigg"),
    "register: field runners[3].zone: no availability zone `pasigg` in the register; \
     did you mean `pasig`?"; "runner in no place")]
#[test_case("register", "/runners/3/service", json!("langage"),
    "register: field runners[3].service: no service `langage` in the register; \
     did you mean `language`?"; "unknown service")]
#[test_case("register", "/runners/3/id", json!("language-01"),
    "register: field runners[3].id: runner `language-01` is listed twice"; "two runners of one id")]
#[test_case("register", "/runners/3/address", json!("127.0.0.1:21000"),
    "register: field runners[3].address: two runners at address 127.0.0.1:21000";
    "two runners at one address")]
#[test_case("register", "/runners/3/address", json!("0.0.0.0:21003"),
    "register: field runners[3].address: address 0.0.0.0:21003 is unusable: the IP address \
     must not be unspecified and the port must not be 0"; "unspecified address")]
#[test_case("register", "/accounts/2/credential", json!(" "),
    "register: field accounts[2].credential: the credential is empty"; "no credential")]
#[test_case("register", "/accounts/2/credential", json!("example-training"),
    "register: field accounts[8].credential: the credential belongs to another client account \
     as well"; "duplicate credential")]
#[test_case("register", "/services/0/engine_memory", json!(0),
    "register: field services[0].engine_memory: engine_memory is empty"; "no memory")]
#[test_case("register", "/services/1/models", json!(["m"]),
    "register: field services[1].models: only model services may have models";
    "plain with models")]
#[test_case("rules", "/accounts/0/account", json!("dispatch-dask"),
    "rules: field accounts[0].account: no client account `dispatch-dask` in the register; \
     did you mean `dispatch-desk`?"; "rule for unknown account")]
#[test_case("rules", "/accounts/1/account", json!("dispatch-desk"),
    "rules: field accounts[1].account: rule for client account `dispatch-desk` is listed twice";
    "two rules for one account")]
#[test_case("rules", "/requests/0/service", json!("hotline"),
    "rules: field requests[0].service: no service `hotline` in the register; \
     did you mean `hotline-cases`?"; "rule for unknown service")]
#[test_case("rules", "/services/0/short_weight", json!(1.5),
    "rules: field services[0].short_weight: 1.5 is out of range: must be from 0 to 1";
    "weight out of range")]
#[test_case("rules", "/services/0/deadline_ms", json!(0),
    "rules: field services[0].deadline_ms: 0 is out of range: must be above 0"; "no deadline")]
#[test_case("rules", "/desired/0/models/0/name", json!("summary-lage"),
    "rules: field desired[0].models[0].name: no model of the service `summary-lage` in the \
     register; did you mean `summary-large`?"; "desired model not in its service")]
#[test_case("rules", "/desired/0/runners", json!(["hotline-cases-01"]),
    "rules: field desired[0].runners[0]: runner `hotline-cases-01` belongs to service \
     `hotline-cases`"; "desired runner of another service")]
#[test_case("rules", "/desired/0/role", json!("prefil"),
    "rules: field desired[0].role: `prefil` is not one of both, prefill, decode"; "unknown role")]
#[test_case("rules", "/body_limit", json!(0),
    "rules: field body_limit: 0 is out of range: must be above 0"; "no body limit")]
fn one_problem(file: &str, pointer: &str, value: Value, expected: &str) {
    let (mut register, mut rules) = read_files("bayanihan");
    let target = if file == "register" { &mut register } else { &mut rules };
    let (parent, field) = pointer.rsplit_once('/').unwrap();
    target.pointer_mut(parent).unwrap()[field] = value;
    assert_eq!(problems(register, rules), [expected]);
}

#[test]
fn model_without_runner() {
    let (mut register, rules) = read_files("bayanihan");
    register["services"][0]["models"] = json!(["summary-large", "transcript-small"]);
    register["runners"].as_array_mut().unwrap().retain(|r| r["service"] != "language");
    let expected = [
        "register: field services[0].models[0]: no runner serves model `summary-large`",
        "register: field services[0].models[1]: no runner serves model `transcript-small`",
    ];
    assert_eq!(problems(register, rules), expected);
}

#[test]
fn all_problems_are_listed_with_lines() {
    let text = std::fs::read_to_string(
        Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/bayanihan/register.json"),
    );
    let text = text.unwrap().replace("\"zone\": \"calamba\"", "\"zone\": \"calambaa\"");
    let source = Source::new("register.json", text.replace("21001", "21000"));
    let register = source.read().unwrap();
    let found = check(&register, &example("bayanihan", "rules.json").read().unwrap());
    assert!(found.iter().all(|problem| problem.file == File::Register));
    let lines: Vec<String> = found.iter().map(|problem| problem.describe(&source)).collect();
    insta::assert_snapshot!(lines.join("\n"));
}
