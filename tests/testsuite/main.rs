//! Tests of the real programs against stand-ins, a module for each topic.

mod api_page;
mod command;
mod memory;
mod path;
mod settings;
mod support;
