//! Generates the Rust types of the link protocol.

use std::path::Path;

use crate::Outcome;
use crate::root;

/// Folder of the generated code, from the root of the repository.
const GENERATED: &str = "crates/wire/src/generated";
/// Folder of the protocol definition, from the root of the repository.
const PROTO: &str = "crates/wire/proto";
/// Folder for the comparison, from the root of the repository.
const FRESH: &str = "target/generated";

/// Writes the generated code, or with `--check` compares it with the committed one.
///
/// # Errors
///
/// Fails when the definition does not compile or the committed code is not fresh.
pub fn exec(mut args: pico_args::Arguments) -> Outcome {
    let committed = root().join(GENERATED);
    if !args.contains("--check") {
        return write_to(&committed);
    }
    let fresh = root().join(FRESH);
    std::fs::create_dir_all(&fresh)?;
    write_to(&fresh)?;
    for entry in std::fs::read_dir(&fresh)? {
        compare(&entry?.path(), &committed)?;
    }
    Ok(())
}

/// Writes the generated code into `folder`.
fn write_to(folder: &Path) -> Outcome {
    let files = protox::compile(["link.proto"], [root().join(PROTO)])?;
    prost_build::Config::new().out_dir(folder).bytes(["."]).compile_fds(files)?;
    Ok(())
}

/// Compares a fresh file with the committed one of the same name.
fn compare(fresh: &Path, committed: &Path) -> Outcome {
    let name = fresh.file_name().ok_or("generated file without a name")?;
    if std::fs::read(fresh)? != std::fs::read(committed.join(name))? {
        return Err(format!("{} is not fresh: run cargo xtask generate", name.display()).into());
    }
    Ok(())
}
