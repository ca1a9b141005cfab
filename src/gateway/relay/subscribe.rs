//! Subscription to another router, and the search for one that accepts this router.

use std::net::SocketAddr;
use std::sync::Arc;

use futures_lite::FutureExt;
use rand::seq::SliceRandom;

use crate::decide::fleet_counts::Scope;
use crate::decide::link_delay::LinkDelay;
use crate::decide::table_position::{Era, Position};
use crate::gateway::relay::counts::{CountLink, report_counts};
use crate::gateway::relay::table_receiver::TableReceiver;
use crate::gateway::relay::wire::{Admission, Message};
use crate::gateway::relay::{
    Mirrors, NO_TABLE, RETRY_PAUSE, Relay, SILENCE_TIMEOUT, START_RETRY_PAUSE,
};
use crate::peer::frame::{FrameReader, LinkError};

/// Maximum number of routers that are asked below one seed, which bounds the time of a search.
const SEARCH_MAX: usize = 8;

/// How a subscription ended without a failure of the link.
enum Ended {
    /// The router did not accept this one; these may.
    Redirected(Vec<SocketAddr>),
    /// The router, or the one that relays to it, cannot reach the tables.
    SourceLost,
}

/// Subscribes below one seed after the other, and pauses after each round of failures.
pub(super) async fn subscribe_loop(relay: Arc<Relay>) {
    // A previous run that ended in a panic may have left its link marked as relaying.
    stop_relaying(&relay);
    loop {
        let mut seeds = relay.settings.seeds.clone();
        seeds.shuffle(&mut rand::rng());
        for seed in seeds {
            search_below(&relay, seed).await;
        }
        let has_tables = relay.mirrors.iter().all(|m| m.position().is_some());
        smol::Timer::after(match has_tables {
            true => RETRY_PAUSE,
            false => START_RETRY_PAUSE,
        })
        .await;
    }
}

/// Asks a seed and the routers to which it redirects, until one relays the tables and its link has
/// ended, or all have refused; then insists at the seed.
async fn search_below(relay: &Relay, seed: SocketAddr) {
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
            Some(Ended::SourceLost) => return,
            None => {}
        }
    }
    if is_redirected {
        subscribe(relay, seed, true).await;
    }
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
fn stop_relaying(relay: &Relay) {
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

/// Applies the updates of another router until the link fails, the router redirects this one, or it
/// cannot reach the tables and has sent an update of each.
async fn receive_updates(
    relay: &Relay,
    reader: &mut FrameReader,
    address: SocketAddr,
    link: &CountLink<'_>,
) -> Result<Ended, LinkError> {
    let mirrors = &relay.mirrors;
    let mut tables = TableReceiver::new(mirrors);
    let mut delay = LinkDelay::default();
    loop {
        let (message, _) = reader.receive::<Message>(SILENCE_TIMEOUT).await?;
        let now_ms = relay.state.now_ms();
        if let Some(sent_ms) = message.sent_ms {
            let delay_ms = delay.record(sent_ms, now_ms);
            relay.state.metrics.record_relay_delay(delay_ms);
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
            continue;
        }
        log_changes(mirrors, &message, address, delay.last_ms());
        tables.apply(message, now_ms.saturating_sub(delay.last_ms()))?;
        if !tables.has_all() {
            continue;
        }
        // A router that cannot reach the tables may still have content that this one has never
        // read, so an update of each table is received before the link is closed.
        if tables.is_unavailable {
            return Ok(Ended::SourceLost);
        }
        let is_current = tables.is_current();
        if is_current == mirrors.iter().all(|mirror| mirror.is_relayed()) {
            continue;
        }
        match is_current {
            true => log::info!("event=relayed seed={address}"),
            false => log::info!("event=relay_outdated seed={address}"),
        }
        mirrors
            .iter()
            .for_each(|mirror| mirror.set_relayed(is_current));
    }
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
fn apply_admission(relay: &Relay, admission: &Admission) -> Result<Option<Ended>, LinkError> {
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
