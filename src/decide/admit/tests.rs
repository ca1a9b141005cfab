use super::*;

const REQUEST: Request = Request {
    class: Class::Paying,
    urgency: Urgency::Interactive,
    usage: 0.9,
    threshold: 1.0,
    level: 1.0,
};

/// Guards against enforcing shares while there is capacity for all teams.
#[test]
fn decide_spare_capacity_admits_over_share() {
    let over_share = Request {
        usage: 0.6,
        level: 5.0,
        ..REQUEST
    };
    assert_eq!(decide(&over_share), Decision::Admit);
}

/// Guards against a load spike of one team that uses up the shares of the others.
#[test]
fn decide_contention_refuses_only_teams_over_share() {
    let refused = Decision::Refuse(Reason::OverShare);
    for (level, decision) in [
        (0.5, Decision::Admit),
        (1.0, Decision::Admit),
        (2.0, refused),
    ] {
        assert_eq!(decide(&Request { level, ..REQUEST }), decision, "{level}");
    }
}

/// Guards against a race for each free slot at the threshold, which the team with the highest
/// request rate would win.
#[test]
fn decide_over_the_threshold_admits_only_teams_under_share() {
    let full = Request {
        usage: 1.0,
        ..REQUEST
    };
    assert_eq!(decide(&full), Decision::Refuse(Reason::Overloaded));
    assert_eq!(decide(&Request { level: 0.8, ..full }), Decision::Admit);
    let overloaded = Request {
        usage: 1.25,
        level: 0.0,
        ..REQUEST
    };
    assert_eq!(decide(&overloaded), Decision::Refuse(Reason::Overloaded));
}

/// Guards against refusing a request that may be deferred.
#[test]
fn decide_deferred_request_waits() {
    let deferred = Request {
        urgency: Urgency::Deferred,
        usage: 1.2,
        ..REQUEST
    };
    assert_eq!(decide(&deferred), Decision::Wait(Reason::Overloaded));
}

/// Guards against admitting free work to an idle fleet when its threshold is 0.
#[test]
fn decide_threshold_zero_admits_nothing() {
    let free = Request {
        class: Class::Free,
        usage: 0.0,
        threshold: 0.0,
        ..REQUEST
    };
    assert_eq!(decide(&free), Decision::Refuse(Reason::Overloaded));
}
