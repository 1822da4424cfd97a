/// A list of register or rules whose entries have ids.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    serde::Serialize,
    serde::Deserialize,
    strum::Display,
    strum::EnumString,
    strum::EnumIter,
    strum::IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Section {
    /// Regions and their availability zones.
    Places,
    /// Services.
    Services,
    /// Runners.
    Runners,
    /// Client accounts.
    Accounts,
    /// Rules of client accounts.
    AccountRules,
    /// Rules of calls.
    RequestRules,
    /// Rules of services.
    ServiceRules,
    /// What engines are to have loaded.
    Desired,
    /// Rules that are single values, by field.
    Settings,
}

impl Section {
    /// Returns the part of the configuration and the field that hold the section.
    pub(crate) const fn field(self) -> Option<(&'static str, &'static str)> {
        match self {
            Self::Places => Some(("register", "places")),
            Self::Services => Some(("register", "services")),
            Self::Runners => Some(("register", "runners")),
            Self::Accounts => Some(("register", "accounts")),
            Self::AccountRules => Some(("rules", "accounts")),
            Self::RequestRules => Some(("rules", "requests")),
            Self::ServiceRules => Some(("rules", "services")),
            Self::Desired => Some(("rules", "desired")),
            Self::Settings => None,
        }
    }

    /// Returns the fields that make up the id of an entry.
    pub(crate) const fn id_fields(self) -> &'static [&'static str] {
        match self {
            Self::Places => &["region"],
            Self::Services => &["name"],
            Self::Runners | Self::Accounts => &["id"],
            Self::AccountRules => &["account"],
            Self::RequestRules => &["service", "method", "path"],
            Self::ServiceRules => &["service"],
            Self::Desired => &["service", "runners"],
            Self::Settings => &[],
        }
    }
}
