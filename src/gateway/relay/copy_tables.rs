//! Copies the tables from another seed.
//!
//! Seeds read the tables themselves. At its start, a seed may find a restored source with an older
//! configuration than the one in force, and servers that have left. Later, the source may turn it away
//! while it serves the others.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;

use crate::decide::table_supply::age_max_ms;
use crate::gateway::relay::publish::{encode_update, known_position, send_in_time};
use crate::gateway::relay::subscribe::{apply_admission, stop_relaying};
use crate::gateway::relay::table_receiver::TableReceiver;
use crate::gateway::relay::wire::{Admission, Introduction, Message};
use crate::gateway::relay::{NO_TABLE, Relay, SILENCE_TIMEOUT};
use crate::peer::frame::{FrameWriter, LinkError};
use crate::runtime::with_timeout;

/// Longest time for which a seed waits for the tables of others before it reads them itself. A seed
/// that is alive responds within a few round trips; one whose host is lost does not respond.
const COPY_TIMEOUT: Duration = Duration::from_millis(400);

/// Asks all other seeds for the tables, and returns when each has answered or failed, or the time-out
/// has passed. Tables that arrive are in force at once.
pub(super) async fn copy_from_seeds(relay: Arc<Relay>) {
    let relay = &relay;
    let copies = relay.other_seeds().map(|seed| async move {
        match copy_from(relay, seed).await {
            Ok(()) => log::info!("event=tables_copied seed={seed}"),
            Err(error) => log::debug!("event=tables_not_copied seed={seed} error=\"{error}\""),
        }
    });
    with_timeout(COPY_TIMEOUT, join_all(copies)).await;
    // From now on this seed reads the tables itself.
    stop_relaying(relay);
}

/// Pause between two copies while the source turns this seed away. It adds to the age of the tables at
/// the routers below, which must stay under the age at which they read the source themselves.
const COPY_PAUSE: Duration = Duration::from_millis(300);

/// Copies the tables from the other seeds for as long as this one cannot read the source. Never returns.
pub(super) async fn copy_while_source_lost(relay: Arc<Relay>) {
    let relay = &*relay;
    loop {
        smol::Timer::after(COPY_PAUSE).await;
        let mirrors = &relay.mirrors;
        let was_copying = mirrors.iter().any(|mirror| mirror.is_relayed());
        if mirrors.iter().any(|mirror| mirror.is_source_lost()) {
            let others = relay.other_seeds();
            let copies = others.map(|seed| async move {
                if let Err(error) = copy_from(relay, seed).await {
                    log::debug!("event=tables_not_copied seed={seed} error=\"{error}\"");
                }
            });
            with_timeout(COPY_TIMEOUT, join_all(copies)).await;
        }
        let now_ms = relay.state.now_ms();
        let age_max_ms = age_max_ms(relay.tree.lock().hops());
        for mirror in mirrors.iter() {
            let is_current = mirror.age_ms(now_ms).is_some_and(|ms| ms <= age_max_ms);
            mirror.set_relayed(mirror.is_source_lost() && is_current);
        }
        let is_copying = mirrors.iter().any(|mirror| mirror.is_relayed());
        if is_copying != was_copying {
            log::info!("event=copying_tables is_copying={is_copying}");
        }
        if !is_copying {
            stop_relaying(relay);
        }
    }
}

/// Receives the changes of each table since this router's copy, or the whole content.
async fn copy_from(relay: &Relay, seed: SocketAddr) -> Result<(), LinkError> {
    let (mut writer, mut reader) = relay.dial(seed).await?;
    writer.send(&relay.copy_request()).await?;
    let mut tables = TableReceiver::new(&relay.mirrors);
    while !tables.has_all() {
        let (message, _) = reader.receive::<Message>(SILENCE_TIMEOUT).await?;
        if let Some(admission) = &message.admission {
            if admission.has_no_tables || apply_admission(relay, admission)?.is_some() {
                return Err(LinkError::Closed);
            }
            continue;
        }
        if message.table != NO_TABLE {
            tables.apply(message, relay.state.now_ms())?;
        }
    }
    Ok(())
}

/// Sends the tables to a router that copies them.
pub(super) async fn send_copy(
    relay: &Relay,
    writer: &mut FrameWriter,
    introduction: &Introduction,
) -> Result<(), LinkError> {
    let path = relay.tree.lock().path();
    let admission = Message {
        table: NO_TABLE,
        admission: Some(Admission {
            path: path.iter().map(SocketAddr::to_string).collect(),
            redirects: Vec::new(),
            has_no_tables: !has_tables(relay),
        }),
        ..Message::default()
    };
    send_in_time(writer, &admission).await?;
    for (table, mirror) in relay.mirrors.iter().enumerate() {
        let known = known_position(introduction, table);
        let Some(content) = mirror.subscribe(known).try_next() else {
            return Ok(());
        };
        for message in encode_update(relay, table as u32, &content, true) {
            send_in_time(writer, &message).await?;
        }
    }
    Ok(())
}

fn has_tables(relay: &Relay) -> bool {
    relay.mirrors.iter().all(|m| m.position().is_some())
}
