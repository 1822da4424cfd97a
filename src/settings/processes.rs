//! Checks of the settings of entry daemons and runner processes.

use crate::settings::Check;
use crate::settings::Problem;

impl Check for kumquattiller_entry::Settings {
    fn required_fields() -> &'static [&'static str] {
        &["id", "region", "zone", "http_address", "link_address", "platform_url"]
    }

    fn check(&self) -> Vec<Problem> {
        parse_problems(&self.problems())
    }
}

impl Check for kumquattiller_runner::Settings {
    fn required_fields() -> &'static [&'static str] {
        &["id", "zone", "link_address", "http_address", "backend"]
    }

    fn check(&self) -> Vec<Problem> {
        parse_problems(&self.problems())
    }
}

/// Parses texts that begin with the path of a field, followed by a space and the message.
fn parse_problems(texts: &[String]) -> Vec<Problem> {
    let parse_text = |text: &String| match text.split_once(' ') {
        Some((field, message)) => Problem::new(field, message),
        None => Problem::new("", text.clone()),
    };
    texts.iter().map(parse_text).collect()
}
