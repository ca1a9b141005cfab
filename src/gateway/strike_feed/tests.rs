use super::*;
use crate::decide::strikes::Fingerprint;

/// Guards against strikes that are lost, or whose age starts anew, when many are sent in parts.
#[test]
fn split_many_entries_keeps_all_with_their_time() {
    let sound = |part| SoundPart {
        part: Fingerprint(part),
        age_ms: 0,
        caller: 1,
    };
    let quarantine = |fingerprint| Quarantine {
        fingerprint: Fingerprint(fingerprint),
        left_ms: 9,
    };
    let changes = StrikeChanges {
        sound: (0..250).map(sound).collect(),
        quarantines: (0..100).map(quarantine).collect(),
        as_of_ms: 7,
        ..StrikeChanges::default()
    };
    let parts = changes.split(100);
    assert_eq!(parts.len(), 4);
    assert!(parts.iter().all(|part| part.as_of_ms == 7));
    assert!(
        parts
            .iter()
            .all(|part| part.sound.len() + part.quarantines.len() <= 100)
    );
    let joined: Vec<SoundPart> = parts.iter().flat_map(|part| part.sound.clone()).collect();
    assert_eq!(joined, changes.sound);
    let joined = parts.iter().flat_map(|part| part.quarantines.clone());
    assert_eq!(joined.collect::<Vec<_>>(), changes.quarantines);
}

#[test]
fn split_nothing_has_no_parts() {
    assert!(StrikeChanges::default().split(100).is_empty());
}
