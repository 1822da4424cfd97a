use std::time::Duration;

use kumquattiller_base::time::Moment;

use crate::rate_limit::Bucket;
use crate::rate_limit::Rate;

/// What a daemon may send under one limit: its share, and what it has saved of it.
#[derive(Debug, Clone, Copy)]
pub(super) struct Allowance {
    /// This daemon's part of the rate; `None` while it may send nothing.
    share: Option<Rate>,
    bucket: Bucket,
}

impl Allowance {
    /// Creates an allowance without a share and with nothing saved.
    pub(super) const fn empty(now: Moment) -> Self {
        Self { share: None, bucket: Bucket::empty(now) }
    }

    /// Returns the share.
    pub(super) const fn share(&self) -> Option<Rate> {
        self.share
    }

    /// Replaces the share. What was saved is lost with the share.
    pub(super) fn set_share(&mut self, share: Option<Rate>, now: Moment) {
        self.bucket.fill(self.share, now);
        self.share = share;
        if share.is_none() {
            self.bucket.discard();
        }
    }

    /// Discards what was saved, and debts.
    pub(super) const fn reset(&mut self, now: Moment) {
        self.bucket = Bucket::empty(now);
    }

    /// Returns whether a request may be sent now.
    pub(super) fn is_open(&self, now: Moment) -> bool {
        self.filled(now).has_token()
    }

    /// Returns the time until a request may be sent; `None` without a share.
    pub(super) fn time_left(&self, now: Moment) -> Option<Duration> {
        self.share.map(|share| self.filled(now).time_left(share))
    }

    /// Counts a request.
    pub(super) fn take(&mut self, now: Moment) {
        self.bucket.fill(self.share, now);
        self.bucket.take();
    }

    fn filled(&self, now: Moment) -> Bucket {
        let mut bucket = self.bucket;
        bucket.fill(self.share, now);
        bucket
    }
}
