use std::fmt::Display;
use std::str::FromStr;

use pico_args::Arguments;

use crate::command::closest;
use crate::error;
use crate::error::Error;

/// Takes the value of a required option out of the arguments.
///
/// # Errors
///
/// Fails when the option is missing, or its value is missing or cannot be parsed. When the option
/// is missing, an argument that the help text does not name is reported instead, as it may be the
/// same option mistyped.
pub fn required_value<T>(args: &mut Arguments, name: &'static str, help: &str) -> error::Result<T>
where
    T: FromStr,
    T::Err: Display,
{
    match optional_value(args, name)? {
        Some(value) => Ok(value),
        None => {
            reject_remaining(args.clone(), help)?;
            Err(Error::usage(format!("option `{name}` is missing")).into())
        }
    }
}

/// Takes the value of an optional option out of the arguments.
///
/// # Errors
///
/// Fails when the value is missing or cannot be parsed.
pub fn optional_value<T>(args: &mut Arguments, name: &'static str) -> error::Result<Option<T>>
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

/// Takes a positional argument, which `placeholder` names in the help text.
///
/// All options must have been taken out of the arguments before.
///
/// # Errors
///
/// Fails when the argument is missing, cannot be parsed or is an option.
pub fn positional<T>(args: &mut Arguments, placeholder: &str, help: &str) -> error::Result<T>
where
    T: FromStr,
    T::Err: Display,
{
    let text: Option<String> = args.opt_free_from_str().map_err(Error::from)?;
    let Some(text) = text else {
        return Err(Error::usage(format!("argument <{placeholder}> is missing")).into());
    };
    if text.starts_with('-') {
        return Err(unexpected_argument(&text, help).into());
    }
    text.parse().map_err(|error| {
        Error::usage(format!("argument <{placeholder}> has the value `{text}`: {error}")).into()
    })
}

/// Rejects arguments that the command did not take; `help` is the text that lists its options.
///
/// # Errors
///
/// Fails when an argument remains.
pub fn reject_remaining(args: Arguments, help: &str) -> error::Result {
    let remaining = args.finish();
    let Some(first) = remaining.first() else {
        return Ok(());
    };
    Err(unexpected_argument(&first.to_string_lossy(), help).into())
}

/// Returns the error for an unexpected argument, with the most similar option as a suggestion.
fn unexpected_argument(text: &str, help: &str) -> Error {
    let name = text.split('=').next().unwrap_or_default();
    let mut message = format!("unexpected argument `{text}`");
    if let Some(suggestion) = closest(name, options_in(help)).filter(|n| *n != name) {
        message.push_str(&format!("; did you mean `{suggestion}`?"));
    }
    Error::usage(message)
}

/// Returns the long options that a help text mentions.
fn options_in(help: &str) -> impl Iterator<Item = &str> {
    help.split(|c: char| !c.is_ascii_alphanumeric() && c != '-').filter(|w| w.starts_with("--"))
}
