use kumquattiller_base::time::Moment;

use crate::pace::Measure;

/// What a daemon has measured of the pace of a server.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct Pace {
    /// Hash of the server's incarnation, as in `leaving`.
    #[prost(fixed64, tag = "1")]
    pub server: u64,
    /// Mean logarithm of seen to expected times, relative to the median of the daemon's servers.
    #[prost(float, tag = "2")]
    pub log: f32,
    /// Number of samples; older ones count less.
    #[prost(float, tag = "3")]
    pub weight: f32,
}

impl Pace {
    /// Creates the message of a measure.
    pub fn of(server: u64, measure: &Measure) -> Self {
        Self { server, log: measure.log as f32, weight: measure.weight as f32 }
    }

    /// Returns the measure as of the report's arrival.
    pub fn measure(&self, now: Moment) -> Measure {
        Measure::reported(f64::from(self.log), f64::from(self.weight), now)
    }
}
