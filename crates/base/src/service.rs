//! Services: groups of runners that serve the same requests.

use crate::newtype::name;

name!(
    /// Names a service.
    Name
);

name!(
    /// Names a model.
    Model
);

/// What kind of backend servers a service has.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Hash,
    serde::Serialize,
    serde::Deserialize,
    schemars::JsonSchema,
    strum::Display,
    strum::EnumString,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Kind {
    /// Language model engines.
    Model,
    /// Plain HTTP services.
    Plain,
}
