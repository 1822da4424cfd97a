//! Tests of the real programs against stand-ins, a module for each topic.

mod api_page;
mod combined;
mod command;
mod files;
mod path;
mod sessions;
mod settings;
mod support;
mod telemetry;
