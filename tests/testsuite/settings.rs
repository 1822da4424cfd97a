//! Problems of a settings file are reported all at once, each with field and line.

use std::net::SocketAddr;

use kumquattiller::settings::Check;
use kumquattiller::settings::Problem;
use kumquattiller::settings::parse;
use test_case::test_case;

#[derive(Debug, serde::Deserialize)]
#[serde(deny_unknown_fields)]
struct Sample {
    zone: String,
    listen: SocketAddr,
    #[serde(default)]
    seeds: Vec<SocketAddr>,
}

impl Check for Sample {
    fn required_fields() -> &'static [&'static str] {
        &["zone", "listen"]
    }

    fn check(&self) -> Vec<Problem> {
        let mut problems = Vec::new();
        if self.zone.is_empty() {
            problems.push(Problem::new("zone", "is empty"));
        }
        if let Some(index) = self.seeds.iter().position(|s| *s == self.listen) {
            problems.push(Problem::new(format!("seeds[{index}]"), "is the own address"));
        }
        problems
    }
}

#[test_case("{\n \"zone\": }", &["2: malformed JSON"] ; "malformed")]
#[test_case("{}", &["1: field `zone` is missing", "1: field `listen` is missing"] ; "two missing")]
#[test_case("{\n\"zone\":\"a\",\n\"listen\":\"x\",\n\"zonne\":1}", &["3: field `listen`:", "4: field `zonne`: unknown field"] ; "wrong value and unknown field")]
#[test_case("{\"listen\":\"x\",\n\"seeds\":[\n\"127.0.0.1:1\",\n\"y\"]}", &["1: field `zone` is missing", "1: field `listen`:", "4: field `seeds[1]`:"] ; "missing and two wrong")]
#[test_case("{\"zone\":\"\",\n\"listen\":\"127.0.0.1:1\",\n\"seeds\":[\n\"127.0.0.1:1\"]}", &["1: field `zone`: is empty", "4: field `seeds[0]`: is the own address"] ; "checks after types")]
fn problems_are_all_found(text: &str, expected: &[&str]) {
    let problems = parse::<Sample>(text).expect_err("refused");
    let found: Vec<String> = problems.iter().map(ToString::to_string).collect();
    assert_eq!(found.len(), expected.len(), "{found:?}");
    for start in expected {
        assert!(found.iter().any(|f| f.starts_with(start)), "{start} not in {found:?}");
    }
}

#[test]
fn good_settings_are_read() {
    let text = r#"{"zone": "bole", "listen": "127.0.0.1:4000"}"#;
    let sample = parse::<Sample>(text).expect("good");
    assert_eq!(sample.zone, "bole");
}
