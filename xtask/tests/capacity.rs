//! docs/CAPACITY.md agrees with the committed results of the measurements.

use std::process::Command;

#[test]
fn the_tables_agree_with_the_result() {
    let output = Command::new(env!("CARGO_BIN_EXE_xtask"))
        .args(["slopes", "--check"])
        .output()
        .expect("xtask runs");
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
}
