//! Adapters for model engines, plain services and the platform.
