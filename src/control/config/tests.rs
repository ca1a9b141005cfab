use super::{ApplyResult, ConfigApplier, ConfigStore, Head};
use crate::config::inventory_text::InventoryText;
use crate::decide::version::DELTAS_MAX;
use crate::ids::ConfigVersion;
use crate::peer::row::ConfigPush;

fn text(version: u64) -> InventoryText {
    let zones: String = (0..version)
        .map(|n| format!("[zone z{n}]\nregion = g\n"))
        .collect();
    InventoryText::parse("test", format!("[model m]\n{zones}").as_bytes()).expect("INI")
}

/// The change that adds one zone.
fn push(version: u64) -> ConfigPush {
    ConfigPush {
        version: ConfigVersion(version),
        change_id: format!("change-{version}"),
        operator: "ana".to_owned(),
        accepted_wall_ms: 0,
        digest: text(version).digest(),
        sections: Some(text(version - 1).diff(&text(version))),
    }
}

/// An applier with version 1, applied as a full text.
fn applier() -> ConfigApplier {
    let applier = ConfigApplier::new(ConfigStore::new());
    let result = applier.apply_full_text(Head::from(&push(1)), text(1).render().as_bytes());
    assert_eq!(result, ApplyResult::Applied);
    applier
}

/// Guards against applying a version that is lower, repeated or not the next one.
#[test]
fn apply_change_accepts_consecutive_versions_only() {
    let applier = applier();
    assert_eq!(applier.apply_change(&push(3)), ApplyResult::Gap);
    assert_eq!(applier.apply_change(&push(2)), ApplyResult::Applied);
    assert_eq!(applier.apply_change(&push(3)), ApplyResult::Applied);
    assert_eq!(applier.apply_change(&push(2)), ApplyResult::Stale);
    assert_eq!(
        applier.apply_full_text(Head::from(&push(2)), text(2).render().as_bytes()),
        ApplyResult::Stale
    );
    assert_eq!(applier.version(), ConfigVersion(3));
    assert_eq!(applier.store().current().inventory.zones.len(), 3);
}

/// Guards against putting a text in force that differs from the accepted one.
#[test]
fn apply_rejects_a_wrong_digest() {
    let applier = applier();
    let mut altered = push(2);
    altered.digest = text(5).digest();
    assert_eq!(applier.apply_change(&altered), ApplyResult::Invalid);
    let head = Head::from(&push(4));
    assert_eq!(
        applier.apply_full_text(head, text(5).render().as_bytes()),
        ApplyResult::Invalid
    );
    assert_eq!(applier.version(), ConfigVersion(1));
    assert_eq!(
        applier.apply_change(&push(2)),
        ApplyResult::Applied,
        "a rejected change leaves no trace"
    );
}

/// Guards against sending the full text to a node that is a few versions behind, and against
/// sending an incomplete chain of changes to one that is far behind.
#[test]
fn changes_after_returns_complete_chains_only() {
    let applier = applier();
    let last = DELTAS_MAX + 5;
    for version in 2..=last {
        assert_eq!(applier.apply_change(&push(version)), ApplyResult::Applied);
    }
    let versions = |after| {
        let changes = applier.changes_after(ConfigVersion(after));
        changes.map(|list| list.iter().map(|push| push.version.0).collect::<Vec<_>>())
    };
    assert_eq!(versions(last - 3), Some(vec![last - 2, last - 1, last]));
    assert_eq!(
        versions(last - DELTAS_MAX).map(|list| list.len() as u64),
        Some(DELTAS_MAX)
    );
    assert_eq!(versions(last - DELTAS_MAX - 1), None);
    assert_eq!(versions(0), None);
}
