//! Checks rules that rustfmt and clippy do not: imports, file sizes and the places of tests.

use std::path::Path;
use std::path::PathBuf;

use crate::Result;
use crate::root;

/// Maximum number of lines of a file.
const MAX_FILE_LINES: usize = 400;
/// Folders without hand-written sources.
const SKIPPED_FOLDERS: [&str; 3] = ["target", ".git", "generated"];

/// The group that an import belongs to, in the order of the groups.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum ImportGroup {
    Std,
    External,
    Own,
}

/// Checks every Rust file of the repository.
///
/// # Errors
///
/// Fails when a file cannot be read or breaks a rule; each problem is printed.
pub fn exec(_: pico_args::Arguments) -> Result {
    let mut problems = Vec::new();
    for file in rust_files(&root())? {
        let text = std::fs::read_to_string(&file)?;
        problems.extend(check_file(&file, &text));
    }
    for problem in &problems {
        println!("{problem}");
    }
    if problems.is_empty() {
        return Ok(());
    }
    Err(format!("{} problems", problems.len()).into())
}

/// Returns the Rust files below `folder` in sorted order.
fn rust_files(folder: &Path) -> Result<Vec<PathBuf>, std::io::Error> {
    let mut files = Vec::new();
    for entry in std::fs::read_dir(folder)? {
        let path = entry?.path();
        let name = path.file_name().unwrap_or_default().to_string_lossy().into_owned();
        if path.is_dir() && !SKIPPED_FOLDERS.contains(&name.as_str()) {
            files.extend(rust_files(&path)?);
        } else if path.extension().is_some_and(|e| e == "rs") {
            files.push(path);
        }
    }
    files.sort();
    Ok(files)
}

/// Returns the problems of a file.
fn check_file(file: &Path, text: &str) -> Vec<String> {
    let mut problems = Vec::new();
    let count = text.lines().count();
    if count > MAX_FILE_LINES {
        problems
            .push(format!("{}: {count} lines; the maximum is {MAX_FILE_LINES}", file.display()));
    }
    if text.contains("#[cfg(test)]\nmod tests {") {
        problems.push(format!("{}: tests must be in a file of their own", file.display()));
    }
    problems.extend(check_imports(file, text));
    problems
}

/// Checks that each import has its own line and that imports form three groups.
fn check_imports(file: &Path, text: &str) -> Vec<String> {
    let mut problems = Vec::new();
    let mut previous: Option<ImportGroup> = None;
    let mut after_blank = false;
    for (index, line) in text.lines().enumerate() {
        let Some(path) = line.strip_prefix("use ") else {
            after_blank = line.is_empty();
            if !after_blank {
                previous = None;
            }
            continue;
        };
        let at = format!("{}:{}", file.display(), index + 1);
        if path.contains('{') {
            problems.push(format!("{at}: each import must have its own line"));
        }
        let group = group_of(path);
        if previous.is_some_and(|previous| group < previous || (group == previous) == after_blank) {
            problems.push(format!("{at}: imports must form three groups: std, external, own"));
        }
        previous = Some(group);
        after_blank = false;
    }
    problems
}

/// Returns the group of an import's path.
fn group_of(path: &str) -> ImportGroup {
    let first = path.split("::").next().unwrap_or_default();
    match first.trim_end_matches(';') {
        "std" | "core" | "alloc" => ImportGroup::Std,
        "crate" | "self" | "super" => ImportGroup::Own,
        _ => ImportGroup::External,
    }
}
