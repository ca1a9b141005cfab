//! A relay tree of 86 routers below 3 seeds, simulated in steps of 5 ms: reports every 200 ms, links
//! with delays, clocks with different origins, and requests that reach the server up to 99 ms after
//! their check.

use std::collections::VecDeque;

use xxhash_rust::xxh3::xxh3_64;

use super::*;

const ROUTERS: usize = 86;
const SEEDS: usize = 3;
/// Number of routers below each seed and each further router.
const DEGREE: usize = 9;
const STEP_MS: u64 = 5;
const PERIOD_MS: u64 = 200;
const DELAY_MS: u64 = 3;

/// Where requests enter.
#[derive(Debug, Clone, Copy)]
pub enum Traffic {
    /// At one router, with this rate a second.
    One(usize, f64),
    /// At all, with this rate in total.
    Even(f64),
    /// At one router after the other, each for this time in ms.
    Moving(f64, u64),
}

impl Traffic {
    fn rate_per_s(self, router: usize, routers: usize, now_ms: u64) -> f64 {
        match self {
            Self::One(only, rate) if router == only => rate,
            Self::Even(rate) => rate / routers as f64,
            Self::Moving(rate, every_ms)
                if draw(&[now_ms / every_ms]) as usize % routers == router =>
            {
                rate
            }
            Self::One(..) | Self::Moving(..) => 0.0,
        }
    }
}

/// A fault of a router, with its begin and end in ms.
#[derive(Debug, Clone, Copy)]
pub enum Fault {
    /// Its messages are lost.
    Cut(usize, u64, u64),
    /// It does nothing, then handles the requests and messages that have come.
    Pause(usize, u64, u64),
    /// It starts anew.
    Restart(usize, u64),
    /// Messages to it arrive later by the last value.
    Late(usize, u64, u64, u64),
    /// Messages between two seeds are lost.
    SeedsApart(usize, usize, u64, u64),
}

#[derive(Debug)]
enum Message {
    Report(Report),
    Grants(GrantAnswer),
}

#[derive(Debug)]
struct Sent {
    arrives_ms: u64,
    from: usize,
    message: Message,
}

struct Node {
    allowances: Allowances,
    /// Origin of the clock.
    offset_ms: u64,
    inbox: VecDeque<Sent>,
    /// Requests that have not been handled yet.
    requests: u32,
}

pub struct Tree {
    bound: Bound,
    seeds: usize,
    nodes: Vec<Node>,
    arrivals_ms: Vec<u64>,
    end_ms: u64,
}

fn draw(values: &[u64]) -> u64 {
    let bytes: Vec<u8> = values.iter().flat_map(|v| v.to_le_bytes()).collect();
    xxh3_64(&bytes)
}

fn parent(router: usize, seeds: usize) -> Option<usize> {
    let below = router.checked_sub(seeds)?;
    Some(match below < seeds * DEGREE {
        true => below % seeds,
        false => seeds + (below - seeds * DEGREE) % (seeds * DEGREE),
    })
}

fn claimant(router: usize, seeds: usize) -> Claimant {
    match router < seeds {
        true => Claimant::Seed(SocketAddr::from(([127, 0, 0, 1], router as u16))),
        false => Claimant::Below(router as u64),
    }
}

fn new_allowances(router: usize, seeds: usize, start_ms: u64, offset_ms: u64) -> Allowances {
    let role = match router < seeds {
        true => Role::Seed(seeds as u32),
        false => Role::Below(seeds as u32),
    };
    let nonce = draw(&[router as u64, start_ms]);
    Allowances::new(role, nonce, start_ms + offset_ms)
}

impl Tree {
    /// The larger fleet.
    pub fn new(bound: Bound) -> Self {
        Self::with_size(bound, ROUTERS, SEEDS)
    }

    pub fn with_size(bound: Bound, routers: usize, seeds: usize) -> Self {
        let node = |router: usize| {
            let offset_ms = draw(&[router as u64]) % 1_000_000;
            Node {
                allowances: new_allowances(router, seeds, 0, offset_ms),
                offset_ms,
                inbox: VecDeque::new(),
                requests: 0,
            }
        };
        Self {
            bound,
            seeds,
            nodes: (0..routers).map(node).collect(),
            arrivals_ms: Vec::new(),
            end_ms: 0,
        }
    }

    pub fn run(&mut self, end_ms: u64, traffic: Traffic, faults: &[Fault]) {
        self.end_ms = end_ms;
        for now_ms in (0..end_ms).step_by(STEP_MS as usize) {
            for router in 0..self.nodes.len() {
                let restarts = faults.iter().filter(|fault| {
                    matches!(fault, Fault::Restart(r, at_ms)
                        if *r == router && (now_ms..now_ms + STEP_MS).contains(at_ms))
                });
                if restarts.count() > 0 {
                    let offset_ms = self.nodes[router].offset_ms;
                    self.nodes[router].allowances =
                        new_allowances(router, self.seeds, now_ms, offset_ms);
                }
                let expected = traffic.rate_per_s(router, self.nodes.len(), now_ms)
                    * STEP_MS as f64
                    / MS_PER_S;
                let fraction = (draw(&[now_ms, router as u64]) % 1_000) as f64 / 1_000.0;
                self.nodes[router].requests += (expected + fraction) as u32;
                let is_paused = faults.iter().any(|fault| {
                    matches!(fault, Fault::Pause(r, from, to)
                        if *r == router && (*from..*to).contains(&now_ms))
                });
                if !is_paused {
                    self.step(router, now_ms, faults);
                }
            }
        }
        self.arrivals_ms.sort_unstable();
    }

    /// Requests come before messages: a woken router knows nothing newer when it handles them.
    fn step(&mut self, router: usize, now_ms: u64, faults: &[Fault]) {
        let (seeds, routers) = (self.seeds, self.nodes.len());
        let node = &mut self.nodes[router];
        let local_ms = now_ms + node.offset_ms;
        for _ in 0..std::mem::take(&mut node.requests) {
            let room = node.allowances.room(KEY, &self.bound, local_ms);
            if room == Room::Free && node.allowances.take(KEY, local_ms) {
                let number = self.arrivals_ms.len() as u64;
                let way_ms = draw(&[number, now_ms]) % (HOLD_MS + TRANSIT_MS);
                self.arrivals_ms.push(now_ms + way_ms);
            }
        }
        let mut has_grants = false;
        while node
            .inbox
            .front()
            .is_some_and(|sent| sent.arrives_ms <= now_ms)
            && let Some(sent) = node.inbox.pop_front()
        {
            match sent.message {
                Message::Report(report) => {
                    let from = claimant(sent.from, seeds);
                    node.allowances.apply_report(from, &report, local_ms);
                }
                Message::Grants(answer) => {
                    node.allowances.apply_grants(&answer, local_ms);
                    has_grants = true;
                }
            }
        }
        let phase_ms = draw(&[9, router as u64]) % PERIOD_MS / STEP_MS * STEP_MS;
        let is_tick = now_ms % PERIOD_MS == phase_ms;
        let is_seed = router < seeds;
        let above: Vec<usize> = match parent(router, seeds) {
            Some(parent) => vec![parent],
            None => (0..seeds).filter(|seed| *seed != router).collect(),
        };
        if is_tick {
            for other in &above {
                let receiver = match claimant(*other, seeds) {
                    Claimant::Seed(seed) if is_seed => Receiver::Seed(seed),
                    _ => Receiver::Above,
                };
                if let Some(report) = self.nodes[router].allowances.report(receiver, local_ms) {
                    self.send(router, *other, Message::Report(report), now_ms, faults);
                }
            }
        }
        if (is_seed && is_tick) || (!is_seed && has_grants) {
            let below = (seeds..routers).filter(|other| parent(*other, seeds) == Some(router));
            let others = above.into_iter().filter(|_| is_seed);
            for other in below.chain(others) {
                let to = claimant(other, seeds);
                if let Some(answer) = self.nodes[router].allowances.grants_for(to, local_ms) {
                    self.send(router, other, Message::Grants(answer), now_ms, faults);
                }
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, message: Message, now_ms: u64, faults: &[Fault]) {
        let mut late_ms = 0;
        for fault in faults {
            match *fault {
                Fault::Cut(router, begin_ms, end_ms) => {
                    if (router == from || router == to) && (begin_ms..end_ms).contains(&now_ms) {
                        return;
                    }
                }
                Fault::SeedsApart(a, b, begin_ms, end_ms) => {
                    let is_between = (a, b) == (from, to) || (b, a) == (from, to);
                    if is_between && (begin_ms..end_ms).contains(&now_ms) {
                        return;
                    }
                }
                Fault::Late(router, begin_ms, end_ms, by_ms) => {
                    if router == to && (begin_ms..end_ms).contains(&now_ms) {
                        late_ms = by_ms;
                    }
                }
                Fault::Pause(..) | Fault::Restart(..) => {}
            }
        }
        let inbox = &mut self.nodes[to].inbox;
        let last_ms = inbox.back().map_or(0, |sent| sent.arrives_ms);
        inbox.push_back(Sent {
            arrives_ms: last_ms.max(now_ms + DELAY_MS + late_ms),
            from,
            message,
        });
    }

    /// Most requests that reached the server in any window.
    pub fn busiest_window(&self) -> usize {
        let windows = self.arrivals_ms.iter().enumerate();
        let count = |(first, from): (usize, &u64)| {
            let end_ms = from + self.bound.window_ms;
            self.arrivals_ms.partition_point(|at| *at < end_ms) - first
        };
        windows.map(count).max().unwrap_or(0)
    }

    /// Share of the rate that was used after `from_ms`.
    pub fn used_share(&self, from_ms: u64) -> f64 {
        let used = self.arrivals_ms.iter().filter(|at| **at >= from_ms).count();
        let elapsed_s = (self.end_ms - from_ms) as f64 / MS_PER_S;
        used as f64 / (elapsed_s * self.bound.rate_per_s)
    }
}
