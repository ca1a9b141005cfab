use super::*;
use crate::ids::ModelId;

struct FixedClock;

impl Clock for FixedClock {
    fn monotonic_ms(&self) -> u64 {
        1_000
    }

    fn wall_ms(&self) -> u64 {
        1_000
    }
}

/// Guards against all routers admitting a burst of free requests at the same time: each has
/// just published its own count and does not know the others' recent starts yet.
#[test]
fn admit_free_assumes_starts_at_others_after_publishing() {
    let teams = Teams::new(Arc::new(FixedClock));
    teams.retain_routers(&["r1", "r2", "r3"].map(RouterId::from));
    let team = Team {
        id: TeamId::from("trial"),
        class: Class::Free,
        weight: 1,
    };
    let target = Target::Model(ModelId::from("m"));
    let mut tickets = Vec::new();
    for _ in 0..100 {
        let admission = AdmissionRequest {
            team: &team,
            target: &target,
            urgency: Urgency::Interactive,
            load: tickets.len() as f64,
            slots: 100.0,
            threshold: 0.6,
        };
        tickets.extend(teams.admit(&admission).1);
        teams.counts_to_publish();
    }
    // The threshold allows 60 requests, 20 of each router.
    assert_eq!(tickets.len(), 20);
}
