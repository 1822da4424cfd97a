//! Checks of the settings of the two programs.

use crate::settings::Check;
use crate::settings::Problem;

impl Check for kumquattiller_entry::Settings {
    fn required() -> &'static [&'static str] {
        &["id", "region", "zone", "http_address", "link_address", "platform_url"]
    }

    fn check(&self) -> Vec<Problem> {
        problems(&self.problems())
    }
}

impl Check for kumquattiller_runner::Settings {
    fn required() -> &'static [&'static str] {
        &["id", "zone", "link_address", "http_address", "backend"]
    }

    fn check(&self) -> Vec<Problem> {
        problems(&self.problems())
    }
}

/// Splits texts that begin with a field's path.
fn problems(texts: &[String]) -> Vec<Problem> {
    let split = |text: &String| match text.split_once(' ') {
        Some((field, message)) => Problem::new(field, message),
        None => Problem::new("", text.clone()),
    };
    texts.iter().map(split).collect()
}
