//! Offers of this router to the servers of each service.

use indexmap::IndexMap;
use parking_lot::Mutex;

use crate::decide::offers::{Offers, RecentOffers};
use crate::decide::placement::COUNTS_AGE_MS;
use crate::ids::ServiceId;

/// Offers by service.
#[derive(Debug, Default)]
pub struct ServiceOffers(Mutex<IndexMap<ServiceId, Offers>>);

impl ServiceOffers {
    /// Records a search for a server; returns the recent ones.
    pub fn record_offer(&self, service: &ServiceId, now_ms: u64) -> RecentOffers {
        let mut services = self.0.lock();
        let offers = services.entry(service.clone()).or_default();
        offers.record_offer(now_ms);
        offers.recent(COUNTS_AGE_MS, now_ms)
    }

    /// Records that a search found a server.
    pub fn record_placed(&self, service: &ServiceId, now_ms: u64) {
        let mut services = self.0.lock();
        services
            .entry(service.clone())
            .or_default()
            .record_placed(now_ms);
    }
}
