use super::*;

fn first(request: &PlacementRequest<'_>, loads: &[(&ServerId, f64)]) -> ServerId {
    let candidates: Vec<_> = loads
        .iter()
        .map(|(id, load)| Candidate {
            id,
            slots: 32,
            load: *load,
        })
        .collect();
    let bounds = Bounds::from_load_bound(1.25);
    rank_candidates(Policy::Rendezvous, request, &candidates, &bounds, 0).swap_remove(0)
}

/// Guards against moving a chat away from its cache to a server that is merely less loaded.
#[test]
fn rank_candidates_home_under_the_bound_comes_first() {
    let (a, b) = (ServerId::from("a"), ServerId::from("b"));
    for chat in 0..50 {
        let request = PlacementRequest {
            chat: ChatId(chat),
            home: Some(&a),
            is_new: false,
        };
        assert_eq!(first(&request, &[(&a, 22.0), (&b, 18.0)]), a);
        assert_eq!(first(&request, &[(&a, 30.0), (&b, 14.0)]), b);
    }
}

/// Guards against moving chats in a nearly idle fleet, where one request is far over the mean.
#[test]
fn rank_candidates_idle_fleet_keeps_the_home() {
    let (a, b) = (ServerId::from("a"), ServerId::from("b"));
    let request = PlacementRequest {
        chat: ChatId(1),
        home: Some(&a),
        is_new: false,
    };
    assert_eq!(first(&request, &[(&a, 2.0), (&b, 0.0)]), a);
}

/// Guards against routers with the same view that rank servers differently, and against moving
/// chats whose server is still there when another one is lost.
#[test]
fn rank_candidates_same_view_gives_same_order_and_moves_only_lost_chats() {
    let ids = ["a", "b", "c", "d"].map(ServerId::from);
    let all: Vec<_> = ids.iter().map(|id| (id, 8.0)).collect();
    for chat in 0..200 {
        let request = PlacementRequest {
            chat: ChatId(chat),
            home: None,
            is_new: false,
        };
        let with_all = first(&request, &all);
        let without_first = first(&request, &all[1..]);
        assert!(
            with_all == ids[0] || with_all == without_first,
            "chat {chat} moved"
        );
    }
}

/// Guards against routers with the same outdated counts that all choose the least loaded server
/// when none is under the bound.
#[test]
fn rank_candidates_spread_over_the_bound_uses_several_servers() {
    let ids: Vec<ServerId> = ["a", "b", "c", "d"].map(ServerId::from).into();
    let candidates: Vec<Candidate<'_>> = ids
        .iter()
        .zip([9.0, 10.0, 11.0, 12.0])
        .map(|(id, load)| Candidate { id, slots: 4, load })
        .collect();
    let request = PlacementRequest {
        chat: ChatId(7),
        home: None,
        is_new: true,
    };
    let all_over = Bounds {
        returning: 0.1,
        new: 0.1,
    };
    let firsts = |policy| {
        let firsts = (0..50)
            .map(|draw| rank_candidates(policy, &request, &candidates, &all_over, draw)[0].clone());
        firsts.collect::<std::collections::HashSet<_>>().len()
    };
    assert_eq!(firsts(Policy::Rendezvous), 1);
    assert!(firsts(Policy::RendezvousSpread) >= 2);
}
