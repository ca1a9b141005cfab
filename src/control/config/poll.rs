//! Reads the configuration from the platform's table and object store.

use std::sync::Arc;
use std::time::Duration;

use futures_lite::FutureExt;
use rand::RngExt;

use crate::control::config::{ApplyResult, ConfigApplier, HEAD_KEY, Head, change_key};
use crate::decide::version::{UpdatePlan, plan_update};
use crate::edge::object::ObjectStore;
use crate::edge::table::Table;
use crate::error::{Error, Result};
use crate::ids::ConfigVersion;
use crate::peer::row::ConfigPush;
use crate::peer::{Delta, PeerHandle};
use crate::runtime::Shutdown;

/// Polls the platform for new configuration versions and announces them to peers.
pub struct ConfigPoller {
    /// Verifies new versions and puts them in force.
    pub applier: ConfigApplier,
    /// The platform's table.
    pub table: Arc<dyn Table>,
    /// The platform's object store.
    pub objects: Arc<dyn ObjectStore>,
    /// Mean time between polls.
    pub period: Duration,
    /// Peers to which new versions are announced; none for a process without peers.
    pub peers: Option<PeerHandle>,
}

/// Random variation as a fraction of the period, so that nodes do not poll at the same time.
const PERIOD_JITTER: f64 = 0.25;

impl ConfigPoller {
    /// Polls until the shutdown.
    pub async fn run(self, stop: Shutdown) {
        while !stop.is_triggered() {
            if let Err(error) = self.poll_once().await {
                log::warn!("event=config_poll_failed error=\"{error}\"");
            }
            let factor = rand::rng().random_range(1.0 - PERIOD_JITTER..1.0 + PERIOD_JITTER);
            let pause = smol::Timer::after(self.period.mul_f64(factor));
            async {
                pause.await;
            }
            .or(stop.wait())
            .await;
        }
    }

    /// Applies the newest version if it is higher than the one in force.
    pub async fn poll_once(&self) -> Result<()> {
        let Some(row) = self.table.get(HEAD_KEY).await? else {
            return Ok(());
        };
        let head: Head = decode(HEAD_KEY, &row.value)?;
        match plan_update(self.applier.version(), head.version) {
            UpdatePlan::Ignore => Ok(()),
            UpdatePlan::FullText => self.fetch_full_text(head).await,
            UpdatePlan::Changes(to) => match self.apply_changes(to).await? {
                true => Ok(()),
                false => self.fetch_full_text(head).await,
            },
        }
    }

    /// Applies the changes up to a version one by one; false if the full text is needed.
    async fn apply_changes(&self, to: ConfigVersion) -> Result<bool> {
        loop {
            let next = ConfigVersion(self.applier.version().0 + 1);
            if next > to {
                return Ok(true);
            }
            let key = change_key(next);
            let Some(row) = self.table.get(&key).await? else {
                return Ok(false);
            };
            let push: ConfigPush = decode(&key, &row.value)?;
            match self.applier.apply_change(&push) {
                ApplyResult::Applied => self.announce(push),
                ApplyResult::Stale => {}
                ApplyResult::Gap | ApplyResult::Invalid => return Ok(false),
            }
        }
    }

    async fn fetch_full_text(&self, head: Head) -> Result<()> {
        let key = head.object_key();
        let found = self
            .objects
            .get(&key)
            .await
            .map_err(|error| Error::command(error.to_string(), "check the object store"))?;
        let bytes = found.ok_or_else(|| {
            Error::command(
                format!("object {key} is missing"),
                "apply the inventory again with jujubeusher-ctl",
            )
        })?;
        let push = ConfigPush {
            version: head.version,
            change_id: head.change_id.clone(),
            operator: head.operator.clone(),
            accepted_wall_ms: head.accepted_wall_ms,
            digest: head.digest.clone(),
            sections: None,
        };
        if self.applier.apply_full_text(head, &bytes) == ApplyResult::Applied {
            self.announce(push);
        }
        Ok(())
    }

    fn announce(&self, push: ConfigPush) {
        let Some(peers) = &self.peers else {
            return;
        };
        let configuration = self.applier.store().current();
        peers.set_servers(configuration.inventory.servers.keys());
        peers.publish(Delta::Config(push));
        peers.set_config_version(configuration.version);
    }
}

fn decode<T>(key: &str, value: &str) -> Result<T>
where
    T: for<'de> serde::Deserialize<'de>,
{
    serde_json::from_str(value).map_err(|error| {
        Error::command(
            format!("the row {key} is malformed: {error}"),
            "apply the inventory again with jujubeusher-ctl",
        )
    })
}
