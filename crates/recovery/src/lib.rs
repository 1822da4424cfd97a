//! Retries, stream resumption and requests that crash backend servers.
