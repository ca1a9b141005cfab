//! State dump for operators.

use serde_json::{Value, json};

use crate::decide::capacity::Availability;
use crate::gateway::state::State;

impl State {
    /// State of this process as JSON, for operators.
    pub fn dump(&self) -> Value {
        let now_ms = self.now_ms();
        let settings = self.settings();
        let routing = self.routing();
        let units = self.allowances.counts();
        let availabilities = self.all_availabilities();
        let registry = self.registry.lock();
        let servers: Vec<Value> = registry
            .all()
            .map(|server| {
                json!({
                    "server": server.id,
                    "service": server.service,
                    "address": server.address,
                    "zone": server.zone,
                    "is_leaving": server.is_leaving,
                    "leaving_source": registry.leaving_source(&server.id).map(|s| s.as_str()),
                    "incarnation": server.incarnation,
                    "is_reachable": self.reachability.unreachable_since_ms(&server.id).is_none(),
                    "held_back": availabilities
                        .get(&server.id)
                        .and_then(|availability| held_back(availability, now_ms)),
                    "cold": self.cold(server, now_ms).map(|cold| json!({
                        "cause": cold.cause.as_str(),
                        "for_ms": now_ms.saturating_sub(cold.since_ms),
                        "left_ms": cold.until_ms.saturating_sub(now_ms),
                    })),
                    "paused_for_ms": self
                        .reachability
                        .pause_end_ms(server, now_ms)
                        .map(|end_ms| end_ms - now_ms),
                    "limit_per_s": self.reachability.limit_per_s(server, now_ms),
                    "own_requests": self.load.own_requests(&server.id),
                    "known_requests": self.load.view(&server.id).known,
                    "speed_percent": self.load.view(&server.id).speed_percent,
                    "load_age_ms": self.load.age_ms(&server.id),
                    "known_for_ms": registry.known_for_ms(&server.id, now_ms),
                })
            })
            .collect();
        let evacuated_zones = self.evacuated_zones().into_iter().map(|(zone, since_ms)| {
            json!({"zone": zone, "evacuated_for_ms": now_ms.saturating_sub(since_ms)})
        });
        let evacuated_zones: Vec<Value> = evacuated_zones.collect();
        json!({
            "router": settings.name,
            "zone": settings.zone,
            "evacuated_zones": evacuated_zones,
            "is_stopping": self.is_stopping(),
            "uptime_ms": now_ms,
            "requests_in_flight": self.in_flight(),
            "requests_struck": self.strikes.len(),
            "requests_quarantined": self.strikes.quarantines(now_ms).len(),
            "routers": self.router_count(),
            "router_index": self.fleet_counts.lock().index(),
            "allowance_units": {
                "granted": units.granted,
                "used": units.used,
                "expired": units.expired,
            },
            "tables": self.dump_tables(),
            "config_version": routing.as_ref().map(|routing| routing.version),
            "queues": self.queues.dump(),
            "servers": servers,
        })
    }
}

/// Why a server gets no request now; `None` if it may get one.
fn held_back(availability: &Availability, now_ms: u64) -> Option<Value> {
    let Availability::Held(hold) = availability else {
        return None;
    };
    Some(json!({
        "reason": hold.reason.as_str(),
        "for_ms": hold.since_ms.map(|since_ms| now_ms.saturating_sub(since_ms)),
        "left_ms": hold.until_ms.map(|until_ms| until_ms.saturating_sub(now_ms)),
    }))
}
