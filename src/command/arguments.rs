use std::fmt::Display;
use std::str::FromStr;

use pico_args::Arguments;

use crate::command::nearest;
use crate::error;
use crate::error::Error;

/// Takes an option that must be there.
///
/// # Errors
///
/// Fails when the option is missing, has no value or a value that cannot be read; an argument
/// that `cli` does not name is then reported first.
pub fn required<T>(args: &mut Arguments, name: &'static str, cli: &str) -> error::Result<T>
where
    T: FromStr,
    T::Err: Display,
{
    match optional(args, name)? {
        Some(value) => Ok(value),
        None => {
            finish(args.clone(), cli)?;
            Err(Error::usage(format!("option `{name}` is missing")).into())
        }
    }
}

/// Takes an option that may be left out.
///
/// # Errors
///
/// Fails when the option has no value or a value that cannot be read.
pub fn optional<T>(args: &mut Arguments, name: &'static str) -> error::Result<Option<T>>
where
    T: FromStr,
    T::Err: Display,
{
    let text: Option<String> = args.opt_value_from_str(name).map_err(Error::from)?;
    let Some(text) = text else {
        return Ok(None);
    };
    match text.parse() {
        Ok(value) => Ok(Some(value)),
        Err(error) => {
            Err(Error::usage(format!("option `{name}` has the value `{text}`: {error}")).into())
        }
    }
}

/// Takes an argument without a name; options are to be taken before.
///
/// # Errors
///
/// Fails when it is missing, cannot be read or is an option that `cli` does not name; `what`
/// names it in the message.
pub fn free<T>(args: &mut Arguments, what: &str, cli: &str) -> error::Result<T>
where
    T: FromStr,
    T::Err: Display,
{
    let text: Option<String> = args.opt_free_from_str().map_err(Error::from)?;
    let Some(text) = text else {
        return Err(Error::usage(format!("argument <{what}> is missing")).into());
    };
    if text.starts_with('-') {
        return Err(unexpected(&text, cli).into());
    }
    text.parse().map_err(|error| {
        Error::usage(format!("argument <{what}> has the value `{text}`: {error}")).into()
    })
}

/// Refuses what is left of the arguments; `cli` is the help text that names the known options.
///
/// # Errors
///
/// Fails when an argument is left.
pub fn finish(args: Arguments, cli: &str) -> error::Result {
    let left = args.finish();
    let Some(first) = left.first() else {
        return Ok(());
    };
    Err(unexpected(&first.to_string_lossy(), cli).into())
}

/// Describes an argument that no command took.
fn unexpected(text: &str, cli: &str) -> Error {
    let name = text.split('=').next().unwrap_or_default();
    let mut message = format!("unexpected argument `{text}`");
    if let Some(near) = nearest(name, options_of(cli)).filter(|n| *n != name) {
        message.push_str(&format!("; did you mean `{near}`?"));
    }
    Error::usage(message)
}

/// Returns the options that a help text names.
fn options_of(cli: &str) -> impl Iterator<Item = &str> {
    cli.split(|c: char| !c.is_ascii_alphanumeric() && c != '-').filter(|w| w.starts_with("--"))
}
