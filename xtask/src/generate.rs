//! Generates the Rust types of the link protocol from its protobuf definition.

use std::path::Path;

use crate::Result;
use crate::root;

/// Folder of the committed generated code, relative to the root of the repository.
const COMMITTED_FOLDER: &str = "crates/wire/src/generated";
/// Folder of the protocol definition, relative to the root of the repository.
const PROTO_FOLDER: &str = "crates/wire/proto";
/// Folder for the code that `--check` generates, relative to the root of the repository.
const CHECK_FOLDER: &str = "target/generated";

/// Generates the code, or with `--check` compares it with the committed code.
///
/// # Errors
///
/// Fails when the definition does not compile or the committed code is out of date.
pub fn exec(mut args: pico_args::Arguments) -> Result {
    let committed = root().join(COMMITTED_FOLDER);
    if !args.contains("--check") {
        return write_to(&committed);
    }
    let generated = root().join(CHECK_FOLDER);
    std::fs::create_dir_all(&generated)?;
    write_to(&generated)?;
    for entry in std::fs::read_dir(&generated)? {
        compare_file(&entry?.path(), &committed)?;
    }
    Ok(())
}

/// Generates the code into `folder`.
fn write_to(folder: &Path) -> Result {
    let files = protox::compile(["link.proto"], [root().join(PROTO_FOLDER)])?;
    prost_build::Config::new().out_dir(folder).bytes(["."]).compile_fds(files)?;
    Ok(())
}

/// Compares a generated file with the committed one of the same name.
fn compare_file(generated: &Path, committed: &Path) -> Result {
    let name = generated.file_name().ok_or("generated file has no name")?;
    if std::fs::read(generated)? != std::fs::read(committed.join(name))? {
        return Err(format!("{} is out of date; run `cargo xtask generate`", name.display()).into());
    }
    Ok(())
}
