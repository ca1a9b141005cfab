//! Limits on requests in flight and their body bytes, in total and by team.

use std::sync::Arc;

use indexmap::IndexMap;
use parking_lot::Mutex;

use crate::control::teams::TeamTicket;
use crate::ids::TeamId;

#[derive(Debug, Default, Clone, Copy)]
struct Usage {
    requests: usize,
    body_bytes: usize,
}

#[derive(Debug, Default)]
struct Counts {
    total: Usage,
    by_team: IndexMap<TeamId, Usage>,
}

/// Requests in flight in this process and the bytes of their bodies, in total and by team.
#[derive(Debug, Clone, Default)]
pub struct FlightCounter {
    counts: Arc<Mutex<Counts>>,
}

impl FlightCounter {
    /// Creates a counter at zero.
    pub fn new() -> Self {
        Self::default()
    }

    /// Requests in flight.
    pub fn total(&self) -> usize {
        self.counts.lock().total.requests
    }

    /// Counts a request, unless the process or its team has reached its limit.
    pub fn try_enter(&self, team: &TeamId, total_max: usize, team_max: usize) -> Option<InFlight> {
        let mut counts = self.counts.lock();
        let of_team = counts.by_team.get(team).copied().unwrap_or_default();
        if counts.total.requests >= total_max || of_team.requests >= team_max {
            return None;
        }
        counts.total.requests += 1;
        counts.by_team.entry(team.clone()).or_default().requests += 1;
        Some(InFlight {
            counter: self.clone(),
            team: team.clone(),
            body_bytes: 0,
            admitted: None,
        })
    }
}

/// One request in flight; dropping it releases its counts.
#[derive(Debug)]
pub struct InFlight {
    counter: FlightCounter,
    team: TeamId,
    body_bytes: usize,
    admitted: Option<TeamTicket>,
}

impl InFlight {
    /// Retains the admission ticket for as long as the request is in flight.
    pub fn attach_ticket(&mut self, ticket: TeamTicket) {
        self.admitted = Some(ticket);
    }

    /// Reserves bytes for the body; false if a limit would be exceeded.
    ///
    /// One team may use at most half of the total, so that its large bodies do not block
    /// other teams.
    pub fn try_reserve_body(&mut self, bytes: usize, total_max: usize) -> bool {
        let mut counts = self.counter.counts.lock();
        let of_team = counts.by_team.get(&self.team).copied().unwrap_or_default();
        if counts.total.body_bytes + bytes > total_max || of_team.body_bytes + bytes > total_max / 2
        {
            return false;
        }
        counts.total.body_bytes += bytes;
        if let Some(of_team) = counts.by_team.get_mut(&self.team) {
            of_team.body_bytes += bytes;
        }
        self.body_bytes += bytes;
        true
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        let mut counts = self.counter.counts.lock();
        counts.total.requests -= 1;
        counts.total.body_bytes -= self.body_bytes;
        if let Some(of_team) = counts.by_team.get_mut(&self.team) {
            of_team.requests -= 1;
            of_team.body_bytes -= self.body_bytes;
            if of_team.requests == 0 {
                counts.by_team.swap_remove(&self.team);
            }
        }
    }
}
