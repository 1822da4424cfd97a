/// Group of entries of the register or the rules that are identified by ids.
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
    /// Rules for client accounts.
    AccountRules,
    /// Rules for requests.
    RequestRules,
    /// Rules for services.
    ServiceRules,
    /// Models and adapters that engines are to have loaded.
    Desired,
    /// Rules that are single values, identified by their field names.
    Settings,
}

impl Section {
    /// Returns the file (`register` or `rules`) and the field that contain the section, or `None`
    /// for the section of single values.
    pub(crate) const fn location(self) -> Option<(&'static str, &'static str)> {
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

    /// Returns the fields that make up the id of an entry, in order.
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
