use kumquattiller_base::place::Region;

/// The regions in which a request may run.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Allowed {
    /// The regions; any if there is no rule.
    regions: Option<Vec<Region>>,
}

/// Error for a route and a client account that allow no common region.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NoRegion;

impl std::fmt::Display for NoRegion {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the route and the client account allow no common region")
    }
}

impl std::error::Error for NoRegion {}

impl Allowed {
    /// Returns the regions that both a route and a client account allow; an empty list allows any.
    ///
    /// # Errors
    ///
    /// Fails if both name regions and have none in common.
    pub fn of(route: &[Region], account: &[Region]) -> Result<Self, NoRegion> {
        let regions = match (route, account) {
            ([], []) => return Ok(Self::default()),
            (regions, []) | ([], regions) => regions.to_vec(),
            _ => route.iter().filter(|region| account.contains(region)).cloned().collect(),
        };
        if regions.is_empty() { Err(NoRegion) } else { Ok(Self { regions: Some(regions) }) }
    }

    /// Returns whether the request is bound by no rule.
    pub const fn is_any(&self) -> bool {
        self.regions.is_none()
    }

    /// Returns whether the request may run in a region, which is `None` if it is not known.
    pub fn allows(&self, region: Option<&Region>) -> bool {
        let Some(regions) = &self.regions else {
            return true;
        };
        region.is_some_and(|region| regions.contains(region))
    }
}
