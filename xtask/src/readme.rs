//! Updates the output of the demo in the README.

use std::process::Command;

use crate::Result;
use crate::root;

/// Page with the output, relative to the root of the repository.
const PAGE: &str = "README.md";
/// Marker line before the output.
const BEGIN: &str = "<!-- demo -->\n";
/// Marker line after the output.
const END: &str = "<!-- end of demo -->";

/// Runs the demo and writes its output into the page.
///
/// # Errors
///
/// Fails when the demo fails or the page lacks a marker.
pub fn exec(_: pico_args::Arguments) -> Result {
    let output = Command::new(std::env::current_exe()?).arg("demo").output()?;
    if !output.status.success() {
        return Err(String::from_utf8(output.stderr)?.into());
    }
    let printed = String::from_utf8(output.stdout)?;
    let path = root().join(PAGE);
    let page = std::fs::read_to_string(&path)?;
    let begin = page.find(BEGIN).ok_or("README.md has no marker `<!-- demo -->`")? + BEGIN.len();
    let end = page.find(END).ok_or("README.md has no marker `<!-- end of demo -->`")?;
    let updated = format!("{}```text\n{}```\n{}", &page[..begin], printed, &page[end..]);
    std::fs::write(path, updated)?;
    Ok(())
}
