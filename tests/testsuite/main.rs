//! Tests of whole fleets: the two programs against stand-ins for the engines, the plain services
//! and the platform.

mod api_page;
mod claims;
mod combined;
mod command;
mod configuration;
mod crashing;
mod drain;
mod files;
mod long_prompts;
mod membership;
mod memory;
mod orders;
mod path;
mod promises_page;
mod resume;
mod routing;
mod sessions;
mod settings;
mod support;
mod telemetry;
