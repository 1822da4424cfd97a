//! Tests of the real programs against stand-ins, a module for each topic.

mod api_page;
mod command;
mod configuration;
mod drain;
mod path;
mod settings;
mod support;
