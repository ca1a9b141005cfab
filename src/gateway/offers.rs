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
    /// Records a request for which a server is sought. Further searches for the same one, while it
    /// waits, are not recorded: the other routers' requests are inferred from this router's.
    pub fn record_offer(&self, service: &ServiceId, now_ms: u64) {
        let mut services = self.0.lock();
        services
            .entry(service.clone())
            .or_default()
            .record_offer(now_ms);
    }

    /// The recent requests.
    pub fn recent(&self, service: &ServiceId, now_ms: u64) -> RecentOffers {
        let services = self.0.lock();
        let offers = services.get(service).copied().unwrap_or_default();
        offers.recent(COUNTS_AGE_MS, now_ms)
    }

    /// Records that a request is sent to a server.
    pub fn record_placed(&self, service: &ServiceId, now_ms: u64) {
        let mut services = self.0.lock();
        services
            .entry(service.clone())
            .or_default()
            .record_placed(now_ms);
    }
}
