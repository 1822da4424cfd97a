//! Tests of the real programs against stand-ins, a module for each topic.

mod api_page;
mod claims;
mod combined;
mod command;
mod configuration;
mod drain;
mod files;
mod membership;
mod memory;
mod path;
mod sessions;
mod settings;
mod support;
mod telemetry;
