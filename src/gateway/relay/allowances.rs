//! Demands for divided limits and grants of their units, as fields of the messages with counts.

#[cfg(test)]
mod tests;

use crate::decide::allowance::{
    Claimant, Demand, Grant, GrantAnswer, LimitKey, Receiver, Report, Terms,
};
use crate::gateway::allowances::Allowances;
use crate::gateway::relay::wire::{self, Message};

const MILLI: f64 = 1_000.0;

/// Adds the demands of this router and those below it to a message that is sent at once.
pub(super) fn add_report(allowances: &Allowances, message: &mut Message, to: Receiver) {
    let Some(report) = allowances.report(to) else {
        return;
    };
    let demands = report.demands.iter().map(|demand| wire::Demand {
        limit: demand.key.0,
        milli_per_s: (demand.rate_per_s * MILLI).ceil() as u64,
        period_us: demand.terms.period_us,
        valid_ms: demand.terms.valid_ms,
    });
    message.report = Some(report.number);
    message.demands = demands.collect();
}

/// Adds the units that are granted to `to` to a message that is sent to it at once.
pub(super) fn add_grants(allowances: &Allowances, message: &mut Message, to: Claimant) {
    let Some(answer) = allowances.grants_for(to) else {
        return;
    };
    let grants = answer.grants.iter().map(|grant| wire::Grant {
        limit: grant.key.0,
        units: grant.units,
        valid_ms: grant.valid_ms,
    });
    message.answered_report = Some(answer.report);
    message.grants = grants.collect();
}

/// Applies the demands and grants of a message. Demands count only from a `claimant`, and grants
/// only from the router above and from other seeds.
pub(super) fn apply(allowances: &Allowances, message: &Message, claimant: Option<Claimant>) {
    if let (Some(number), Some(from)) = (message.report, claimant) {
        let demands = message.demands.iter().map(|demand| Demand {
            key: LimitKey(demand.limit),
            rate_per_s: demand.milli_per_s as f64 / MILLI,
            terms: Terms {
                period_us: demand.period_us,
                valid_ms: demand.valid_ms,
            },
        });
        let demands = demands.collect();
        allowances.apply_report(from, &Report { number, demands });
    }
    let is_from_below = matches!(claimant, Some(Claimant::Below(_)));
    if let Some(report) = message.answered_report.filter(|_| !is_from_below) {
        let grants = message.grants.iter().map(|grant| Grant {
            key: LimitKey(grant.limit),
            units: grant.units,
            valid_ms: grant.valid_ms,
        });
        let grants = grants.collect();
        allowances.apply_grants(&GrantAnswer { report, grants });
    }
}
