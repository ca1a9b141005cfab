//! Copies the tables from another seed at the start of a seed.
//!
//! Seeds read the tables themselves, and a source that was restored may hold an older configuration
//! than the one in force, and servers that have left.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;

use crate::gateway::relay::publish::{encode_update, send_in_time};
use crate::gateway::relay::table_receiver::TableReceiver;
use crate::gateway::relay::wire::{Admission, Message};
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
    let own = relay.settings.listen;
    let others = relay.settings.seeds.iter().filter(|seed| **seed != own);
    let copies = others.map(|seed| async move {
        match copy_from(relay, *seed).await {
            Ok(()) => log::info!("event=tables_copied seed={seed}"),
            Err(error) => log::debug!("event=tables_not_copied seed={seed} error=\"{error}\""),
        }
    });
    with_timeout(COPY_TIMEOUT, join_all(copies)).await;
}

async fn copy_from(relay: &Relay, seed: SocketAddr) -> Result<(), LinkError> {
    let (mut writer, mut reader) = relay.dial(seed).await?;
    writer.send(&relay.copy_request()).await?;
    let mut tables = TableReceiver::new(&relay.mirrors);
    while !has_tables(relay) {
        let (message, _) = reader.receive::<Message>(SILENCE_TIMEOUT).await?;
        let admission = message.admission.as_ref();
        if admission.is_some_and(|admission| admission.has_no_tables || admission.path.is_empty()) {
            return Err(LinkError::Closed);
        }
        if message.table != NO_TABLE {
            tables.apply(message, relay.state.now_ms())?;
        }
    }
    Ok(())
}

/// Sends the tables to a router that copies them.
pub(super) async fn send_copy(relay: &Relay, writer: &mut FrameWriter) -> Result<(), LinkError> {
    let admission = Message {
        table: NO_TABLE,
        admission: Some(Admission {
            path: vec![relay.settings.listen.to_string()],
            redirects: Vec::new(),
            has_no_tables: !has_tables(relay),
        }),
        ..Message::default()
    };
    send_in_time(writer, &admission).await?;
    for (table, mirror) in relay.mirrors.iter().enumerate() {
        let Some(content) = mirror.subscribe(None).try_next() else {
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
