use kumquattiller_clients::Transport;
use kumquattiller_clients::configuration;
use kumquattiller_clients::platform;

/// Returns a client of the platform at a base URL.
pub fn platform_client(url: &str) -> platform::Client {
    platform::Client::new(Transport::new(), url)
}

/// Returns the configuration store of the platform at a base URL.
pub fn configuration_store(url: &str) -> configuration::Store {
    configuration::Store::new(platform_client(url))
}
