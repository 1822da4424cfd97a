use std::time::Duration;

use crate::rate_limit;
use crate::rate_limit::ColdStatement;
use crate::rate_limit::InvalidRate;
use crate::rate_limit::Rate;

/// What a daemon knows of the rate limit of a server.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct RateLimit {
    /// Hash of the server's incarnation, as in `leaving`.
    #[prost(fixed64, tag = "1")]
    pub server: u64,
    /// Whether the daemon has requests for the server.
    #[prost(bool, tag = "2")]
    pub wanted: bool,
    /// What the server stated to the daemon itself.
    #[prost(message, optional, tag = "3")]
    pub statement: Option<RateStatement>,
    /// How much longer the server is cold, in milliseconds, by what it stated to the daemon itself; 0
    /// if it is warm.
    #[prost(uint32, optional, tag = "5")]
    pub cold_left_ms: Option<u32>,
    /// Time since that response, in milliseconds.
    #[prost(uint32, tag = "6")]
    pub cold_age_ms: u32,
}

/// What a server stated of its rate limit.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct RateStatement {
    /// The limit in requests a second; absent if the server stated none any more.
    #[prost(double, optional, tag = "1")]
    pub per_second: Option<f64>,
    /// Time since the response, in milliseconds.
    #[prost(uint32, tag = "2")]
    pub age_ms: u32,
}

impl From<rate_limit::Report> for RateLimit {
    fn from(report: rate_limit::Report) -> Self {
        Self {
            server: report.server,
            wanted: report.wanted,
            statement: report.statement.map(Into::into),
            cold_left_ms: report.cold.map(|cold| saturating_millis(cold.left)),
            cold_age_ms: report.cold.map_or(0, |cold| saturating_millis(cold.age)),
        }
    }
}

impl From<rate_limit::Statement> for RateStatement {
    fn from(statement: rate_limit::Statement) -> Self {
        Self {
            per_second: statement.rate.map(Rate::per_second),
            age_ms: saturating_millis(statement.age),
        }
    }
}

impl TryFrom<&RateLimit> for rate_limit::Report {
    type Error = InvalidRate;

    fn try_from(limit: &RateLimit) -> Result<Self, Self::Error> {
        let statement = limit.statement.as_ref().map(TryInto::try_into).transpose()?;
        let cold = limit.cold_left_ms.map(|left| ColdStatement {
            left: Duration::from_millis(left.into()),
            age: Duration::from_millis(limit.cold_age_ms.into()),
        });
        Ok(Self { server: limit.server, wanted: limit.wanted, statement, cold })
    }
}

impl TryFrom<&RateStatement> for rate_limit::Statement {
    type Error = InvalidRate;

    fn try_from(statement: &RateStatement) -> Result<Self, Self::Error> {
        Ok(Self {
            rate: statement.per_second.map(Rate::new).transpose()?,
            age: Duration::from_millis(statement.age_ms.into()),
        })
    }
}

fn saturating_millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}
