//! Puts the output of the demo into the README as it was printed.

use std::process::Command;

use crate::Outcome;
use crate::root;

/// Page with the output.
const PAGE: &str = "README.md";
/// Line before the output.
const BEGIN: &str = "<!-- demo -->\n";
/// Line after the output.
const END: &str = "<!-- end of demo -->";

/// Runs the demo and writes its output into the page.
///
/// # Errors
///
/// Fails when the demo fails or the page has no place for it.
pub fn exec(_: pico_args::Arguments) -> Outcome {
    let output = Command::new(std::env::current_exe()?).arg("demo").output()?;
    if !output.status.success() {
        return Err(String::from_utf8(output.stderr)?.into());
    }
    let printed = String::from_utf8(output.stdout)?;
    let path = root().join(PAGE);
    let page = std::fs::read_to_string(&path)?;
    let begin = page.find(BEGIN).ok_or("the page has no beginning of the demo")? + BEGIN.len();
    let end = page.find(END).ok_or("the page has no end of the demo")?;
    let fresh = format!("{}```text\n{}```\n{}", &page[..begin], printed, &page[end..]);
    std::fs::write(path, fresh)?;
    Ok(())
}
