use super::*;
use crate::ids::ModelId;

struct Still;

impl Clock for Still {
    fn monotonic_ms(&self) -> u64 {
        1_000
    }

    fn wall_ms(&self) -> u64 {
        1_000
    }
}

/// Guards against a wave of free work that all routers admit at once, because each has just
/// told its own count and knows nothing yet of the others' latest starts.
#[test]
fn admit_free_counts_the_others_starts_after_telling() {
    let teams = Teams::open(Arc::new(Still));
    teams.retain_routers(&["r1", "r2", "r3"].map(RouterId::from));
    let team = Team {
        id: TeamId::from("trial"),
        class: Class::Free,
        weight: 1,
    };
    let target = Target::Model(ModelId::from("m"));
    let mut tickets = Vec::new();
    for _ in 0..100 {
        let ask = AdmissionRequest {
            team: &team,
            target: &target,
            urgency: Urgency::Interactive,
            load: tickets.len() as f64,
            slots: 100.0,
            threshold: 0.6,
        };
        tickets.extend(teams.admit(&ask).1);
        teams.counts_to_publish();
    }
    // The threshold allows 60 requests, 20 of each router.
    assert_eq!(tickets.len(), 20);
}
