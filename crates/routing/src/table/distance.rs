/// Distance of a runner from the entry daemon.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    strum::Display,
    strum::IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum Distance {
    /// The same availability zone.
    #[default]
    OwnZone,
    /// Another availability zone of the same region.
    OwnRegion,
    /// Another region.
    OtherRegion,
}
