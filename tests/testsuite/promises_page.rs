//! Every test that docs/PROMISES.md names exists.

use std::path::Path;

/// Path of the page from the root of the repository.
const PAGE: &str = "docs/PROMISES.md";
/// Minimum number of underscores in a name that is treated as the name of a test.
const MIN_UNDERSCORES: usize = 2;

/// Returns the names in backticks that look like names of tests.
fn test_names(page: &str) -> Vec<&str> {
    let is_test = |name: &&str| {
        name.chars().all(|c| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '_')
            && name.matches('_').count() >= MIN_UNDERSCORES
    };
    page.split('`').skip(1).step_by(2).filter(is_test).collect()
}

/// Appends the text of every Rust file that lies in a folder named `tests` below `folder`.
fn append_test_sources(folder: &Path, in_tests: bool, text: &mut String) {
    for entry in std::fs::read_dir(folder).expect("folder can be read") {
        let path = entry.expect("entry can be read").path();
        let name = path.file_name().unwrap_or_default().to_string_lossy().into_owned();
        if path.is_dir() && name != "target" && name != ".git" {
            append_test_sources(&path, in_tests || name == "tests", text);
        } else if in_tests && name.ends_with(".rs") {
            text.push_str(&std::fs::read_to_string(&path).expect("file can be read"));
        }
    }
}

#[test]
fn every_named_test_exists() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let page = std::fs::read_to_string(root.join(PAGE)).expect("page can be read");
    let mut tests = String::new();
    append_test_sources(root, false, &mut tests);
    let names = test_names(&page);
    assert!(names.len() > 40, "the page names only {} tests", names.len());
    let missing: Vec<&&str> =
        names.iter().filter(|name| !tests.contains(&format!("fn {name}("))).collect();
    assert!(missing.is_empty(), "no such tests: {missing:?}");
}
