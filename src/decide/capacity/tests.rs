use super::*;
use crate::decide::cold_start::ColdCause;

fn open() -> Knowledge {
    Knowledge {
        evacuated_since_ms: None,
        unreachable_since_ms: None,
        pause_end_ms: None,
        cold: None,
        cold_room: Room::Free,
        limit_room: Room::Free,
    }
}

fn all_reasons() -> Knowledge {
    Knowledge {
        evacuated_since_ms: Some(1),
        unreachable_since_ms: Some(2),
        pause_end_ms: Some(30),
        cold: Some(Cold {
            cause: ColdCause::Joined,
            since_ms: 4,
            until_ms: 40,
        }),
        cold_room: Room::UsedUp(Some(20)),
        limit_room: Room::UsedUp(Some(50)),
    }
}

fn hold(reason: HoldReason, since_ms: Option<u64>, until_ms: Option<u64>) -> Availability {
    Availability::Held(Hold {
        reason,
        since_ms,
        until_ms,
    })
}

/// Guards against a caller that is told to come back at the end of a pause although the server's zone
/// is evacuated, and against a reason that is not looked at.
#[test]
fn availability_longest_reason_counts() {
    let mut knowledge = all_reasons();
    let evacuated = hold(HoldReason::Evacuated, Some(1), None);
    assert_eq!(knowledge.availability(), evacuated);
    knowledge.evacuated_since_ms = None;
    let unreachable = hold(HoldReason::Unreachable, Some(2), None);
    assert_eq!(knowledge.availability(), unreachable);
    knowledge.unreachable_since_ms = None;
    let paused = hold(HoldReason::Paused, None, Some(30));
    assert_eq!(knowledge.availability(), paused);
    knowledge.pause_end_ms = None;
    let cold = hold(HoldReason::Cold, Some(4), Some(20));
    assert_eq!(knowledge.availability(), cold);
    knowledge.cold_room = Room::Free;
    let at_limit = hold(HoldReason::AtLimit, None, Some(50));
    assert_eq!(knowledge.availability(), at_limit);
    knowledge.limit_room = Room::Free;
    assert_eq!(
        knowledge.availability(),
        Availability::Open { is_cold: true }
    );
    assert_eq!(open().availability(), Availability::Open { is_cold: false });
}

/// Guards against requests that wait for good because this router gets no units of a cold server.
#[test]
fn availability_without_a_share_ends_with_the_cold_time() {
    let knowledge = Knowledge {
        cold_room: Room::UsedUp(None),
        cold: all_reasons().cold,
        ..open()
    };
    let cold = hold(HoldReason::Cold, Some(4), Some(40));
    assert_eq!(knowledge.availability(), cold);
}

/// Guards against a request that is withheld because it used up the last room itself, and against one
/// that is written after its server's zone was evacuated.
#[test]
fn may_write_only_lasting_reasons_withhold() {
    let selected = Knowledge {
        evacuated_since_ms: None,
        pause_end_ms: None,
        ..all_reasons()
    };
    assert!(selected.may_write());
    let evacuated = Knowledge {
        evacuated_since_ms: Some(1),
        ..selected
    };
    assert!(!evacuated.may_write());
    let paused = Knowledge {
        pause_end_ms: Some(30),
        ..selected
    };
    assert!(!paused.may_write());
}
