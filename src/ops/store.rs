use kumquattiller_clients::Transport;
use kumquattiller_clients::configuration;
use kumquattiller_clients::platform;

/// Returns the adapter of the platform at a base URL.
pub fn platform(url: &str) -> platform::Client {
    platform::Client::new(Transport::new(), url)
}

/// Returns the configuration in the store of the platform at a base URL.
pub fn configuration(url: &str) -> configuration::Store {
    configuration::Store::new(platform(url))
}
