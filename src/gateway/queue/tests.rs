use super::*;

fn push(known: &mut ServiceQueue, priority: u32) -> (Ticket, Receiver<()>) {
    let waiting = Waiting {
        priority,
        team: 1,
        work: 1.0,
        bytes: 0,
        arrived_ms: 0,
        latency_target_ms: 1_000,
        deadline_ms: 10_000,
    };
    let (sender, receiver) = async_channel::bounded(1);
    let ticket = known.queue.push(waiting, 0, 0.0).unwrap();
    let waker = Waker {
        sender,
        is_offered: false,
        is_own_place: false,
    };
    known.wakers.insert(ticket, waker);
    (ticket, receiver)
}

/// Guards against a place that stays empty while an urgent request waits, since it was offered to a
/// less urgent one in its turn whose level of load is lower.
#[test]
fn decline_offer_of_less_urgent_request_passes_the_place_on() {
    let mut known = ServiceQueue::new(1 << 20);
    let (less_urgent, offered) = push(&mut known, 2);
    let mut placed = 0;
    // Requests that are more urgent are placed until it is the turn of the less urgent one.
    let (urgent, urgent_offered) = loop {
        let (urgent, urgent_offered) = push(&mut known, 0);
        known.offer_next(false, 0);
        if known.last_offered == Some(less_urgent) {
            break (urgent, urgent_offered);
        }
        known.queue.place(urgent, 0);
        known.wakers.swap_remove(&urgent);
        placed += 1;
        assert!(placed < 100);
    };
    assert!(offered.try_recv().is_ok());
    known.decline_offer(less_urgent, 0);
    assert!(urgent_offered.try_recv().is_ok());
    assert_eq!(known.last_offered, Some(urgent));
    // Without a place for either, the offers end.
    known.decline_offer(urgent, 0);
    assert!(offered.try_recv().is_err() && urgent_offered.try_recv().is_err());
}

/// Guards against a place that a request of this router has left and that nobody takes, since the
/// requests that other routers are expected to send count against it.
#[test]
fn offer_next_own_place_is_told_from_a_place_of_all_routers() {
    let mut known = ServiceQueue::new(1 << 20);
    let (ticket, _offered) = push(&mut known, 1);
    let is_own_place = |known: &ServiceQueue| known.wakers[&ticket].is_own_place;
    known.offer_next(false, 0);
    assert!(!is_own_place(&known));
    known.offer_next(true, 0);
    known.offer_next(false, 0);
    assert!(is_own_place(&known));
}
