//! Invalid register files: `check` exits with the right code and reports file, line and problem.

use std::path::Path;
use std::path::PathBuf;
use std::process::Command;

use kumquattiller::error::Code;
use test_case::test_case;

/// Folder of an example with valid files.
const EXAMPLE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/examples/bayanihan");

/// Writes a copy of the example register in which the first `from` is replaced by `to`.
fn write_altered_register(name: &str, from: &str, to: &str) -> PathBuf {
    let text = std::fs::read_to_string(Path::new(EXAMPLE).join("register.json")).expect("example");
    assert!(text.contains(from), "{from} is not in the example");
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR"));
    let file = folder.join(format!("{name}-{}.json", std::process::id()));
    std::fs::write(&file, text.replacen(from, to, 1)).expect("file can be written");
    file
}

#[test_case("malformed", "\"places\": [", "\"places\" [", "expected `:`" ; "malformed JSON")]
#[test_case("unknown", "\"service\": \"language\", \"zone\"", "\"servise\": \"language\", \"zone\"", "servise" ; "unknown field")]
#[test_case("nowhere", "\"zone\": \"pasig\"", "\"zone\": \"pasigg\"", "pasigg" ; "runner in an unknown zone")]
#[test_case("twice", "127.0.0.1:21001", "127.0.0.1:21000", "21000" ; "two runners at one address")]
#[test_case("bare", "\"credential\"", "\"credentials\"", "credential" ; "account without credential")]
fn a_problem_is_reported_with_file_and_line(name: &str, from: &str, to: &str, part: &str) {
    let file = write_altered_register(name, from, to);
    let output = Command::new(env!("CARGO_BIN_EXE_kumquattiller"))
        .args(["check", "--register"])
        .arg(&file)
        .args(["--rules", &format!("{EXAMPLE}/rules.json")])
        .output()
        .expect("program runs");
    let _ = std::fs::remove_file(&file);
    let text = String::from_utf8(output.stderr).expect("text");
    assert_eq!(output.status.code(), Some(i32::from(Code::Invalid.number())), "{text}");
    let file_prefix = format!("{}:", file.file_name().expect("a name").to_string_lossy());
    let rest = text.split_once(&file_prefix).unwrap_or_else(|| panic!("no file in {text}")).1;
    assert!(rest.starts_with(|c: char| c.is_ascii_digit()), "no line in {text}");
    assert!(text.contains(part), "{part} not in {text}");
    assert!(!text.contains(".rs:"), "a stack trace: {text}");
}

#[test_case("serve" ; "serve")]
#[test_case("check" ; "check")]
#[test_case("apply" ; "apply")]
#[test_case("diff" ; "diff")]
#[test_case("status" ; "status")]
#[test_case("explain" ; "explain")]
#[test_case("drain" ; "drain")]
fn every_command_has_help_and_refuses_what_it_does_not_know(name: &str) {
    let program = env!("CARGO_BIN_EXE_kumquattiller");
    let help = Command::new(program).args([name, "--help"]).output().expect("program runs");
    assert!(help.status.success());
    let text = String::from_utf8(help.stdout).expect("text");
    assert!(text.contains(&format!("usage: kumquattiller {name}")), "{text}");
    let output = Command::new(program).args([name, "--nonsense"]).output().expect("program runs");
    assert_eq!(output.status.code(), Some(i32::from(Code::Usage.number())));
}
