use std::collections::VecDeque;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::*;

const SLOTS: u32 = 16;

fn server(name: usize, held: u32) -> Server {
    Server {
        id: ServerId::from(format!("s-{name}").as_str()),
        slots: SLOTS,
        view: LoadView {
            held: Some(held),
            net: 0,
            known: held,
            ..LoadView::default()
        },
    }
}

/// A prompt of which this router has no other request.
fn prompt(shared_hash: u64) -> PromptDemand {
    PromptDemand {
        shared_hash,
        own_in_flight: 0,
        routers: 7,
        offers: RecentOffers::default(),
    }
}

/// Guards against spreading requests with the same shared parts over several servers, each of
/// which would have to prefill them.
#[test]
fn place_same_parts_go_to_the_same_server_under_even_load() {
    let servers: Vec<Server> = (0..9).map(|name| server(name, 4)).collect();
    for hash in 0..50 {
        let first = place(&servers, Some(prompt(hash)), 1).unwrap();
        let again = place(&servers, Some(prompt(hash)), 2).unwrap();
        assert_eq!(first[0], again[0]);
    }
}

/// Guards against moving prompts on a small load peak of their server: prompts of 10,000 tokens
/// were then prefilled again on another one.
#[test]
fn place_small_load_peak_does_not_move_prompts() {
    let mut servers: Vec<Server> = (0..9).map(|name| server(name, 6)).collect();
    let home = place(&servers, Some(prompt(7)), 0).unwrap()[0].clone();
    let at_home = servers.iter_mut().find(|server| server.id == home).unwrap();
    at_home.view.held = Some(9);
    at_home.view.known = 9;
    assert_eq!(place(&servers, Some(prompt(7)), 0).unwrap()[0], home);
}

/// Guards against sending a hot prompt to a single server: as the counts of other routers arrive
/// with a delay, it filled that server's queue before they were known.
#[test]
fn place_hot_prompt_uses_several_servers() {
    let servers: Vec<Server> = (0..9).map(|name| server(name, 4)).collect();
    let firsts = |own_in_flight: u32| {
        let hot = PromptDemand {
            own_in_flight,
            routers: 75,
            ..prompt(7)
        };
        let firsts = (0..100).map(|draw| place(&servers, Some(hot), draw).unwrap()[0].clone());
        firsts.collect::<std::collections::HashSet<_>>().len()
    };
    assert_eq!(firsts(0), 1);
    assert_eq!(firsts(1), 1);
    assert!(firsts(4) >= 5, "{}", firsts(4));
}

/// Guards against one full server whose report makes all servers without a report look full.
#[test]
fn place_full_server_leaves_servers_without_report_available() {
    let unknown = |name| Server {
        view: LoadView::default(),
        ..server(name, 0)
    };
    let servers = [server(0, 64), unknown(1), unknown(2)];
    let order = place(&servers, None, 1).unwrap();
    assert_eq!(order.len(), 2);
    assert!(!order.contains(&servers[0].id));
}

/// Engine that runs a batch of [`SLOTS`] requests, each for [`RUN_TICKS`] ticks, and queues the
/// others.
#[derive(Default)]
struct Engine {
    running: Vec<u32>,
    waiting: VecDeque<u32>,
}

const RUN_TICKS: u32 = 40;
/// Ticks within which a request has to start running.
const START_TICKS_MAX: u32 = 10;

impl Engine {
    fn held(&self) -> u32 {
        (self.running.len() + self.waiting.len()) as u32
    }

    /// Runs one tick; returns how many requests started in time and how many too late.
    fn tick(&mut self, now: u32) -> (u32, u32) {
        self.running.retain(|end| *end > now);
        let (mut in_time, mut late) = (0, 0);
        while self.running.len() < SLOTS as usize {
            let Some(arrived) = self.waiting.pop_front() else {
                break;
            };
            match now - arrived <= START_TICKS_MAX {
                true => in_time += 1,
                false => late += 1,
            }
            self.running.push(now + RUN_TICKS);
        }
        (in_time, late)
    }
}

/// Guards against queueing more requests than can start in time. With several times the traffic
/// that the engines can run, for ten times the duration of a request, what is accepted has to
/// start in time and the rest has to be refused immediately.
#[test]
fn place_traffic_over_capacity_starts_no_request_late() {
    let mut engines: Vec<Engine> = (0..9).map(|_| Engine::default()).collect();
    let (mut in_time, mut late, mut refused) = (0, 0, 0);
    for now in 0..10 * RUN_TICKS {
        for arrival in 0..8 {
            let servers: Vec<Server> = engines
                .iter()
                .enumerate()
                .map(|(name, engine)| server(name, engine.held()))
                .collect();
            let hash = u64::from(now * 8 + arrival) % 48;
            match place(&servers, Some(prompt(hash)), 0) {
                Ok(order) => {
                    let index = servers.iter().position(|s| s.id == order[0]).unwrap();
                    engines[index].waiting.push_back(now);
                }
                Err(AtCapacity) => refused += 1,
            }
        }
        for engine in &mut engines {
            let (started_in_time, started_late) = engine.tick(now);
            in_time += started_in_time;
            late += started_late;
        }
    }
    assert!(refused > 0, "the traffic is not over capacity");
    // Nine engines with 16 slots, for ten times the duration of a request.
    let capacity = 9 * SLOTS * 10;
    assert!(
        in_time * 10 >= capacity * 9,
        "{in_time} of {capacity} in time"
    );
    assert_eq!(late, 0, "late");
}

/// Share of calls that find all slots of their server taken, when 100 routers place 260 calls a
/// second of 60 ms on six servers with six slots, with counts that are 400 ms old.
fn share_of_waiting_calls(is_smoothed: bool) -> f64 {
    const SERVERS: usize = 6;
    const PLAIN_SLOTS: u32 = 6;
    const CALLS: u64 = 10_000;
    const RUN_US: u64 = 60_000;
    const AGE_US: u64 = 400_000;
    let mut rng = StdRng::seed_from_u64(5);
    let mut running: Vec<VecDeque<u64>> = vec![VecDeque::new(); SERVERS];
    let mut counted: VecDeque<(u64, Vec<u32>)> = VecDeque::new();
    let mut now_us = 0;
    let mut waiting = 0;
    for _ in 0..CALLS {
        now_us += rng.random_range(0..2 * 3_846);
        for ends in &mut running {
            ends.retain(|end_us| *end_us > now_us);
        }
        while counted.len() > 1 && counted[1].0 + AGE_US <= now_us {
            counted.pop_front();
        }
        let known = counted
            .front()
            .map_or(vec![0; SERVERS], |(_, counts)| counts.clone());
        let server = |(name, known): (usize, &u32)| Server {
            slots: PLAIN_SLOTS,
            view: LoadView {
                held: None,
                net: 0,
                known: *known,
                ..LoadView::default()
            },
            ..server(name, 0)
        };
        let mut servers: Vec<Server> = known.iter().enumerate().map(server).collect();
        if is_smoothed {
            smooth_counts(&mut servers, &[0; SERVERS], 60.0);
        }
        let Ok(order) = place(&servers, None, rng.random()) else {
            waiting += 1;
            continue;
        };
        let chosen = servers.iter().position(|s| s.id == order[0]).unwrap();
        let ends = &mut running[chosen];
        let is_waiting = ends.len() >= PLAIN_SLOTS as usize;
        waiting += u32::from(is_waiting);
        let start_us = match is_waiting {
            true => ends[ends.len() - PLAIN_SLOTS as usize],
            false => now_us,
        };
        ends.push_back(start_us + RUN_US);
        let counts = running.iter().map(|ends| ends.len() as u32).collect();
        counted.push_back((now_us, counts));
    }
    f64::from(waiting) / CALLS as f64
}

/// Guards against short calls of many routers that all go to the servers that were idle when they
/// were counted. The calls take 43% of the slots, so few of them need to wait.
#[test]
fn smooth_counts_of_short_calls_few_wait_or_are_refused() {
    let stale = share_of_waiting_calls(false);
    let smoothed = share_of_waiting_calls(true);
    assert!(smoothed < 0.1, "{smoothed} wait, {stale} with stale counts");
    assert!(smoothed * 3.0 < stale, "{smoothed} and {stale}");
}

/// The requests of long streams are still running when their counts arrive, and servers that report
/// their load need no other estimate.
#[test]
fn smooth_counts_long_runs_and_reports_stay() {
    let mut servers = vec![server(0, 4), server(1, 9)];
    let unchanged = servers.clone();
    smooth_counts(&mut servers, &[0, 0], 60.0);
    assert_eq!(servers, unchanged);
    for server in &mut servers {
        server.view.held = None;
    }
    smooth_counts(&mut servers, &[1, 0], 60_000.0);
    let known = |servers: &[Server]| -> Vec<u32> { servers.iter().map(|s| s.view.known).collect() };
    assert_eq!(known(&servers), [4, 9]);
    smooth_counts(&mut servers, &[1, 0], 60.0);
    assert_eq!(known(&servers), [7, 6]);
}

/// Guards against limits that are not used, which overloads the servers without one: at 87 routers
/// 0.86 of the requests were served.
#[test]
fn prefer_limited_servers_with_room_come_first() {
    let ids = |names: [&str; 3]| names.map(ServerId::from).to_vec();
    let mut ordered = ids(["a", "b", "c"]);
    prefer_limited(&mut ordered, &IndexSet::new());
    assert_eq!(ordered, ids(["a", "b", "c"]));
    prefer_limited(&mut ordered, &IndexSet::from([ServerId::from("c")]));
    assert_eq!(ordered, ids(["c", "a", "b"]));
}

/// Guards against a server on a slowed host that gets as many requests as the others: it holds half
/// as many at twice the time for its work.
#[test]
fn place_slow_host_carries_half() {
    let mut held = [0; 4];
    for hash in 0..32 {
        let mut servers: Vec<Server> = (0..4).map(|name| server(name, held[name])).collect();
        servers[0].view.speed_percent = Some(200);
        let first = place(&servers, Some(prompt(hash * 7_919)), 0).unwrap()[0].clone();
        let chosen = servers.iter().position(|s| s.id == first).unwrap();
        held[chosen] += 1;
    }
    assert!(held[0] <= 8, "{held:?}");
    let mut servers: Vec<Server> = (0..2).map(|name| server(name, SLOTS / 2)).collect();
    servers[0].view.speed_percent = Some(200);
    let order = place(&servers, Some(prompt(1)), 0).unwrap();
    assert_eq!(
        order,
        [servers[1].id.clone()],
        "half the slots fill a slow server"
    );
}

/// Servers of which the other routers hold `known - own` requests, and a prompt of a router that
/// offers `offered` requests while the counts are late.
fn share_placed(known: u32, own: u32, offered: f64) -> f64 {
    let mut servers: Vec<Server> = (0..9).map(|name| server(name, known)).collect();
    for server in &mut servers {
        server.view.own = own;
    }
    let placed = |draw: &u64| {
        let demand = PromptDemand {
            offers: RecentOffers {
                offered,
                placed: 0.0,
            },
            ..prompt(*draw)
        };
        place(&servers, Some(demand), *draw).is_ok()
    };
    (0..1_000).filter(placed).count() as f64 / 1_000.0
}

/// Guards against all routers sending to the last free slots within the delay of the counts: at five
/// times the traffic of fleet A the engines then held 70 requests on average, with 32 slots.
#[test]
fn place_unseen_starts_fill_the_free_slots_only() {
    // 18 slots are free, and the others, which hold 117 requests and this router 9, are expected to
    // offer 10 x 117 / 10.
    let share = share_placed(SLOTS - 2, 1, 10.0);
    let expected = 18.0 / (10.0 * 9.0 * 13.0 / 10.0);
    assert!((share - expected).abs() < 0.05, "{share} and {expected}");
    assert_eq!(
        share_placed(SLOTS / 2, 1, 1.0),
        1.0,
        "usual traffic is refused"
    );
}

/// Guards against refusals where all traffic enters at one router, which knows every request.
#[test]
fn place_single_router_uses_all_slots() {
    assert_eq!(share_placed(SLOTS - 1, SLOTS - 1, 50.0), 1.0);
}
