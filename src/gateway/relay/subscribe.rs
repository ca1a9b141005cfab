//! Subscription to another router, and the search for one that accepts this router.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_lite::FutureExt;
use rand::seq::SliceRandom;

use crate::decide::fleet_counts::Scope;
use crate::decide::link_delay::LinkDelay;
use crate::decide::table_position::{Era, Position};
use crate::decide::table_supply::{Supply, age_max_ms, choose_supply};
use crate::gateway::relay::counts::{CountLink, report_counts};
use crate::gateway::relay::table_receiver::TableReceiver;
use crate::gateway::relay::wire::{Admission, Message};
use crate::gateway::relay::{
    Mirrors, NO_TABLE, RETRY_PAUSE, Relay, SILENCE_TIMEOUT_MS, START_RETRY_PAUSE,
};
use crate::peer::frame::{FrameReader, LinkError};

/// Maximum number of routers that are asked below one seed, which bounds the time of a search.
const SEARCH_MAX: usize = 8;

/// How a subscription ended without a failure of the link.
pub(super) enum Ended {
    /// The router did not accept this one; these may.
    Redirected(Vec<SocketAddr>),
    /// The router, or the one that relays to it, cannot reach the tables.
    SourceLost,
    /// The router's tables have been outdated for long.
    Outdated,
    /// Messages wait for this many ms in front of the link.
    Delayed(u64),
}

/// Subscribes below one seed after the other, and pauses after each round of failures.
pub(super) async fn subscribe_loop(relay: Arc<Relay>) {
    // A previous run that ended in a panic may have left its link marked as relaying.
    stop_relaying(&relay);
    loop {
        let mut seeds = relay.settings.seeds.clone();
        seeds.shuffle(&mut rand::rng());
        let mut was_congested = false;
        for seed in seeds {
            was_congested |= search_below(&relay, seed).await;
        }
        let has_tables = relay.mirrors.iter().all(|m| m.position().is_some());
        // A new link starts with empty buffers. Without the source, nothing else brings new content.
        smol::Timer::after(match has_tables && !was_congested {
            true => RETRY_PAUSE,
            false => START_RETRY_PAUSE,
        })
        .await;
    }
}

/// Asks a seed and the routers to which it redirects, until one relays the tables and its link has
/// ended, or all have refused; then insists at the seed. Returns whether a link was left because
/// messages waited in front of it.
async fn search_below(relay: &Relay, seed: SocketAddr) -> bool {
    let mut candidates = vec![seed];
    let mut asked = vec![relay.settings.listen];
    let mut is_redirected = false;
    while let Some(address) = candidates.pop() {
        if asked.contains(&address) || asked.len() > SEARCH_MAX {
            continue;
        }
        asked.push(address);
        match subscribe(relay, address, false).await {
            Some(Ended::Redirected(redirects)) => {
                is_redirected |= address == seed;
                candidates.extend(redirects.into_iter().rev());
            }
            Some(Ended::SourceLost | Ended::Outdated) => return false,
            Some(Ended::Delayed(_)) => return true,
            None => {}
        }
    }
    let ended = match is_redirected {
        true => subscribe(relay, seed, true).await,
        false => None,
    };
    matches!(ended, Some(Ended::Delayed(_)))
}

/// Subscribes to a router and waits until the link ends; `None` if it failed.
async fn subscribe(relay: &Relay, address: SocketAddr, is_insisting: bool) -> Option<Ended> {
    let ended = run_subscription(relay, address, is_insisting).await;
    let was_relayed = relay.mirrors.iter().any(|mirror| mirror.is_relayed());
    stop_relaying(relay);
    match (&ended, was_relayed) {
        (Err(error), true) => log::info!("event=relay_lost seed={address} error=\"{error}\""),
        (Err(error), false) => log::debug!("event=relay_failed seed={address} error=\"{error}\""),
        (Ok(Ended::SourceLost), true) => {
            log::info!("event=relay_ended seed={address} reason=source_lost");
        }
        (Ok(Ended::SourceLost), false) => log::debug!("event=relay_lost_source seed={address}"),
        (Ok(Ended::Outdated), _) => {
            log::warn!("event=relay_ended seed={address} reason=outdated");
        }
        (Ok(Ended::Delayed(delay_ms)), _) => {
            log::warn!("event=relay_ended seed={address} reason=delayed delay_ms={delay_ms}");
        }
        (Ok(Ended::Redirected(redirects)), _) => log::debug!(
            "event=relay_redirected seed={address} routers={}",
            redirects.len()
        ),
    }
    match ended {
        // A link that has relayed and failed is followed by a new search.
        Err(_) if was_relayed => Some(Ended::SourceLost),
        Err(_) => None,
        Ok(ended) => Some(ended),
    }
}

/// Records that no router relays to this one.
pub(super) fn stop_relaying(relay: &Relay) {
    let mirrors = relay.mirrors.iter();
    mirrors.for_each(|mirror| mirror.set_relayed(false));
    relay.tree.lock().clear_parents();
    relay.state.set_relay_path(&[]);
}

async fn run_subscription(
    relay: &Relay,
    address: SocketAddr,
    is_insisting: bool,
) -> Result<Ended, LinkError> {
    let (mut writer, mut reader) = relay.dial(address).await?;
    writer.send(&relay.introduction(is_insisting)).await?;
    // A router of an older version states no path.
    relay.tree.lock().set_parents(vec![address]);
    relay.state.set_relay_path(&[address]);
    let feed = relay.state.strike_feed.open_link();
    let link = CountLink::open(relay, Scope::Fleet, Some(&feed), None);
    let report = async {
        report_counts(relay, &mut writer, &feed, None)
            .await
            .map(|()| Ended::SourceLost)
    };
    receive_updates(relay, &mut reader, address, &link)
        .or(report)
        .await
}

/// Applies the updates of another router until the link fails, the router redirects this one, its
/// tables or the link are too late for too long, or it cannot reach the tables and has sent an update of
/// each.
async fn receive_updates(
    relay: &Relay,
    reader: &mut FrameReader,
    address: SocketAddr,
    link: &CountLink<'_>,
) -> Result<Ended, LinkError> {
    let mirrors = &relay.mirrors;
    let mut tables = TableReceiver::new(mirrors);
    let mut delay = LinkDelay::default();
    let mut heard_ms = relay.state.now_ms();
    loop {
        let received = reader.receive::<Message>(silence_left(relay, &tables, heard_ms));
        let received = received.await;
        let now_ms = relay.state.now_ms();
        let message = match received {
            Ok((message, _)) => Some(message),
            Err(LinkError::TimedOut) if now_ms < heard_ms + SILENCE_TIMEOUT_MS => None,
            Err(error) => return Err(error),
        };
        if let Some(message) = message {
            heard_ms = now_ms;
            if let Some(sent_ms) = message.sent_ms {
                let delay_ms = delay.record(sent_ms, now_ms);
                relay.state.metrics.record_relay_delay(delay_ms);
            }
            if delay.is_congested(now_ms) {
                return Ok(Ended::Delayed(delay.last_ms()));
            }
            if let Some(admission) = &message.admission {
                if let Some(ended) = apply_admission(relay, admission)? {
                    return Ok(ended);
                }
                continue;
            }
            if message.table == NO_TABLE {
                link.apply(&message);
                // Messages with strikes carry no counts.
                if message.routers > 0 {
                    relay.state.expire_fleet_totals();
                    relay.totals_received.send();
                }
            } else {
                log_changes(mirrors, &message, address, delay.last_ms());
                tables.apply(message, now_ms.saturating_sub(delay.last_ms()))?;
            }
        }
        if !tables.has_all() {
            continue;
        }
        // A router that cannot reach the tables may still have content that this one has never
        // read, so an update of each table is received before the link is closed.
        if tables.is_unavailable {
            return Ok(Ended::SourceLost);
        }
        if let Some(ended) = update_supply(relay, &tables, address, now_ms) {
            return Ok(ended);
        }
    }
}

/// Time until the link counts as failed without a message, or until the next table becomes outdated if
/// that is sooner.
fn silence_left(relay: &Relay, tables: &TableReceiver<'_>, heard_ms: u64) -> Duration {
    let now_ms = relay.state.now_ms();
    let age_max_ms = age_max_ms(relay.tree.lock().hops());
    let relayed = relay.mirrors.iter().enumerate();
    let relayed = relayed.filter(|(_, mirror)| mirror.is_relayed());
    let ages_ms = relayed.filter_map(|(table, _)| tables.age_ms(table, now_ms));
    let left_ms = ages_ms.map(|age_ms| (age_max_ms + 1).saturating_sub(age_ms));
    let silence_left_ms = (heard_ms + SILENCE_TIMEOUT_MS).saturating_sub(now_ms);
    let left_ms = left_ms.fold(silence_left_ms, u64::min);
    Duration::from_millis(left_ms.max(1))
}

/// Decides for each table whether this router relies on what is relayed, or reads the source; returns
/// how the subscription ends if another router is to be sought.
fn update_supply(
    relay: &Relay,
    tables: &TableReceiver<'_>,
    address: SocketAddr,
    now_ms: u64,
) -> Option<Ended> {
    let hops = relay.tree.lock().hops();
    let was_relayed = relay.mirrors.iter().all(|mirror| mirror.is_relayed());
    for (table, mirror) in relay.mirrors.iter().enumerate() {
        let age_ms = tables.age_ms(table, now_ms)?;
        let supply = choose_supply(age_ms, hops);
        let is_current = supply == Supply::Relay && tables.is_in_era(table);
        if mirror.is_relayed() && !is_current {
            log::warn!(
                "event=relay_outdated seed={address} table={} age_ms={age_ms} hops={hops}",
                mirror.name()
            );
        }
        mirror.set_relayed(is_current);
        if supply == Supply::OtherRelay {
            return Some(Ended::Outdated);
        }
    }
    let is_relayed = relay.mirrors.iter().all(|mirror| mirror.is_relayed());
    if is_relayed && !was_relayed {
        log::info!("event=relayed seed={address}");
    }
    None
}

/// Logs an update that changes rows, with the time since the source was read and the part of it that
/// the link took.
fn log_changes(mirrors: &Mirrors, message: &Message, address: SocketAddr, delay_ms: u64) {
    let has_rows = !message.rows.is_empty() || !message.packed_rows.is_empty();
    let Some(mirror) = mirrors.get(message.table as usize) else {
        return;
    };
    if !has_rows || message.has_more {
        return;
    }
    let age_ms = message.age_ms.map(|ms| ms.saturating_add(delay_ms));
    log::info!(
        "event=table_relayed table={} from={address} position={} age_ms={} delay_ms={delay_ms}",
        mirror.name(),
        Position {
            era: Era(message.era),
            version: message.position,
        },
        age_ms.map_or_else(|| "unknown".to_owned(), |ms| ms.to_string()),
    );
}

/// Applies the response to the introduction, or a changed path; returns how the subscription ends
/// if the router did not accept this one.
pub(super) fn apply_admission(
    relay: &Relay,
    admission: &Admission,
) -> Result<Option<Ended>, LinkError> {
    let parse = |addresses: &[String]| -> Result<Vec<SocketAddr>, LinkError> {
        let addresses = addresses.iter().map(|address| address.parse());
        let addresses: Result<_, _> = addresses.collect();
        addresses.map_err(|_| LinkError::Protocol("the admission has an invalid address"))
    };
    if admission.path.is_empty() {
        return Ok(Some(Ended::Redirected(parse(&admission.redirects)?)));
    }
    let path = parse(&admission.path)?;
    relay.state.set_relay_path(&path);
    match relay.tree.lock().set_parents(path) {
        true => Ok(None),
        false => Err(LinkError::Protocol("the path leads through this router")),
    }
}
