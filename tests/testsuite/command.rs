//! The command line: help, exit codes, error messages and suggestions.

use std::process::Command;
use std::process::Output;

use kumquattiller::error::Code;
use test_case::test_case;

fn run_program(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_kumquattiller")).args(args).output().expect("program runs")
}

#[test_case(&["--help"] ; "of the program")]
#[test_case(&["help"] ; "as a command")]
#[test_case(&["explain", "--help"] ; "of explain")]
#[test_case(&["explain", "-h"] ; "short")]
fn help_is_printed(args: &[&str]) {
    let output = run_program(args);
    assert!(output.status.success());
    let text = String::from_utf8(output.stdout).expect("text");
    assert!(text.contains("usage: kumquattiller"), "{text}");
}

#[test_case(&["--version"] ; "of the program")]
#[test_case(&["explain", "-V"] ; "of a command")]
fn version_is_printed(args: &[&str]) {
    let output = run_program(args);
    assert!(output.status.success());
    let text = String::from_utf8(output.stdout).expect("text");
    assert_eq!(text.trim(), concat!("kumquattiller ", env!("CARGO_PKG_VERSION")));
}

#[test_case(&[], Code::Usage, "no command given" ; "no command")]
#[test_case(&["explian"], Code::Usage, "did you mean `explain`?" ; "mistyped command")]
#[test_case(&["--verison"], Code::Usage, "did you mean `--version`?" ; "mistyped option")]
#[test_case(&["explain", "--jsn", "--at", "127.0.0.1:1", "7"], Code::Usage, "did you mean `--json`?" ; "mistyped option of a command")]
#[test_case(&["explain", "--at", "127.0.0.1:1"], Code::Usage, "argument <request> is missing" ; "missing argument")]
#[test_case(&["explain", "--at", "127.0.0.1:1", "x"], Code::Usage, "argument <request> has the value `x`" ; "argument of another form")]
#[test_case(&["explain", "00000000000000000000000000000001"], Code::Usage, "option `--at` is missing" ; "missing option")]
#[test_case(&["explain", "--at", "127.0.0.1:1", "00000000000000000000000000000001"], Code::Unreachable, "no answer from 127.0.0.1:1" ; "nobody answers")]
fn failure_is_clear(args: &[&str], code: Code, message: &str) {
    let output = run_program(args);
    let text = String::from_utf8(output.stderr).expect("text");
    assert_eq!(output.status.code(), Some(i32::from(code.number())), "{text}");
    assert!(text.starts_with("error: "), "{text}");
    assert!(text.contains(message), "{text}");
    assert!(!text.contains(".rs:"), "a stack trace: {text}");
}

#[test_case(&["serve"], "option `--settings` is missing" ; "no settings")]
#[test_case(&["serve", "--setings", "x"], "did you mean `--settings`?" ; "mistyped settings")]
#[test_case(&["serve", "--settings", "none.json"], "cannot read none.json" ; "no such file")]
fn serve_refuses(args: &[&str], message: &str) {
    let output = run_program(args);
    let text = String::from_utf8(output.stderr).expect("text");
    assert!(!output.status.success());
    assert!(text.contains(message), "{text}");
}

#[test]
fn runner_program_has_no_subcommands() {
    let program = env!("CARGO_BIN_EXE_kumquattiller-runner");
    let output = Command::new(program).arg("--help").output().expect("program runs");
    assert!(output.status.success());
    let output = Command::new(program).output().expect("program runs");
    assert_eq!(output.status.code(), Some(i32::from(Code::Usage.number())));
}
