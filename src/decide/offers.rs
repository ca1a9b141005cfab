//! How often a router offers requests to the servers of one service, and how many of them it places.
//!
//! Answers several times the usual traffic at many routers: the counts of the other routers are some
//! 400 ms old, and within that time all routers send to the few servers that seemed to have room.
//! From its own offers a router infers how many requests the others have placed since.

#[cfg(test)]
mod tests;

/// Time over which the rates are averaged. A router of a large fleet gets about five requests a
/// second, so a shorter time would show little but chance.
const AVERAGING_MS: f64 = 1_000.0;

/// Mean number of this router's requests within the time by which the counts of the other routers
/// are late.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct RecentOffers {
    /// Requests for which a server with capacity was sought, whether there was one or not.
    pub offered: f64,
    /// Requests that were sent to a server.
    pub placed: f64,
}

#[derive(Debug, Clone, Copy, Default)]
struct Rate {
    per_ms: f64,
    as_of_ms: u64,
}

impl Rate {
    fn record(&mut self, now_ms: u64) {
        self.per_ms = self.per_ms(now_ms) + 1.0 / AVERAGING_MS;
        self.as_of_ms = now_ms.max(self.as_of_ms);
    }

    fn per_ms(&self, now_ms: u64) -> f64 {
        let elapsed_ms = now_ms.saturating_sub(self.as_of_ms) as f64;
        self.per_ms * (-elapsed_ms / AVERAGING_MS).exp()
    }
}

/// Offers of one router to the servers of one service.
#[derive(Debug, Clone, Copy, Default)]
pub struct Offers {
    offered: Rate,
    placed: Rate,
}

impl Offers {
    /// Records a request for which a server with capacity is sought.
    pub fn record_offer(&mut self, now_ms: u64) {
        self.offered.record(now_ms);
    }

    /// Records that a request is sent to a server.
    pub fn record_placed(&mut self, now_ms: u64) {
        self.placed.record(now_ms);
    }

    /// Mean numbers of requests within `span_ms`.
    ///
    /// ```
    /// use jujubeusher::decide::offers::Offers;
    /// let mut offers = Offers::default();
    /// for at_ms in (0..10_000).step_by(20) {
    ///     offers.record_offer(at_ms);
    /// }
    /// let recent = offers.recent(400.0, 10_000);
    /// assert!((18.0..22.0).contains(&recent.offered));
    /// assert_eq!(recent.placed, 0.0);
    /// ```
    pub fn recent(&self, span_ms: f64, now_ms: u64) -> RecentOffers {
        RecentOffers {
            offered: self.offered.per_ms(now_ms) * span_ms,
            placed: self.placed.per_ms(now_ms) * span_ms,
        }
    }
}
