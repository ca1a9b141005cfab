use super::*;

/// Cold time of the service in these tests.
const COLD_MS: u64 = 8_000;

fn server() -> ServerId {
    ServerId::from("a")
}

fn until_ms(cold_starts: &ColdStarts, now_ms: u64) -> Option<u64> {
    let cold = cold_starts.cold(&server(), COLD_MS, now_ms);
    cold.map(|cold| cold.until_ms)
}

/// Guards against a server that counts as warm because of a row from before it started, and against
/// one that stays cold although its rows say otherwise.
#[test]
fn record_row_ends_an_event_only_if_it_was_written_later() {
    for cause in [ColdCause::ReachedAgain, ColdCause::ZoneRestored] {
        let mut cold_starts = ColdStarts::default();
        cold_starts.record_event(&server(), cause, 1_000);
        assert!(!cold_starts.record_row(&server(), 0, 1_000 + ROW_DELAY_MS - 1));
        assert_eq!(until_ms(&cold_starts, 4_000), Some(1_000 + COLD_MS));
        assert!(cold_starts.record_row(&server(), 0, 1_000 + ROW_DELAY_MS));
        assert_eq!(until_ms(&cold_starts, 4_000), None);
    }
}

/// Guards against a cold time that ends before its time, or never, without any row.
#[test]
fn cold_without_a_row_ends_after_the_time_of_the_service() {
    let mut cold_starts = ColdStarts::default();
    cold_starts.record_event(&server(), ColdCause::ReachedAgain, 1_000);
    assert_eq!(until_ms(&cold_starts, 1_000 + COLD_MS - 1), Some(9_000));
    assert_eq!(until_ms(&cold_starts, 1_000 + COLD_MS), None);
}

/// Guards against a joined server that counts as cold for longer than its row says, or as warm because
/// its first row does not say yet that it is cold.
#[test]
fn record_joined_row_with_a_time_counts_and_one_without_does_not() {
    let mut cold_starts = ColdStarts::default();
    cold_starts.record_joined(&server(), 3_000, 100);
    assert_eq!(until_ms(&cold_starts, 100), Some(3_100));
    cold_starts.record_joined(&server(), 0, 200);
    assert_eq!(until_ms(&cold_starts, 200), Some(200 + COLD_MS));
    cold_starts.record_row(&server(), 4_000, 300);
    assert_eq!(until_ms(&cold_starts, 300), Some(200 + COLD_MS));
}

/// Guards against a server that becomes cold while it runs and is not noticed, against one that stays
/// cold as it says it is warm, and against a row that is not relayed, or relayed with each heartbeat.
#[test]
fn record_row_server_becomes_cold_and_warm_by_its_rows() {
    let mut cold_starts = ColdStarts::default();
    assert!(!cold_starts.record_row(&server(), 0, 0));
    assert!(cold_starts.servers().is_empty());
    assert!(cold_starts.record_row(&server(), 5_000, 1_200));
    assert!(!cold_starts.record_row(&server(), 3_800, 2_400));
    assert!(cold_starts.record_row(&server(), 5_000, 3_600));
    assert_eq!(until_ms(&cold_starts, 3_600), Some(8_600));
    assert!(cold_starts.record_row(&server(), 0, 4_800));
    assert_eq!(until_ms(&cold_starts, 4_800), None);
    assert!(cold_starts.record_row(&server(), 0, 6_000));
    assert!(!cold_starts.record_row(&server(), 0, 7_200));
}

/// Guards against a row on its way that hides what a later response says, and against a response to a
/// request from before the event.
#[test]
fn record_response_is_newer_than_rows_on_their_way() {
    let mut cold_starts = ColdStarts::default();
    cold_starts.record_response(&server(), 0, 0, 10);
    assert!(cold_starts.servers().is_empty());
    cold_starts.record_response(&server(), 6_000, 0, 1_000);
    cold_starts.record_row(&server(), 0, 1_500);
    assert_eq!(until_ms(&cold_starts, 1_500), Some(7_000));
    cold_starts.record_event(&server(), ColdCause::ReachedAgain, 2_000);
    cold_starts.record_response(&server(), 0, 1_900, 2_100);
    assert_eq!(until_ms(&cold_starts, 2_100), Some(2_000 + COLD_MS));
    cold_starts.record_response(&server(), 0, 2_050, 2_200);
    assert_eq!(until_ms(&cold_starts, 2_200), None);
}

/// Guards against a cold server that counts as warm because a response of its previous incarnation
/// arrives after its first row.
#[test]
fn record_response_to_a_request_from_before_the_row_does_not_end_its_time() {
    let mut cold_starts = ColdStarts::default();
    cold_starts.record_joined(&server(), 6_000, 1_000);
    cold_starts.record_response(&server(), 0, 900, 1_100);
    assert_eq!(until_ms(&cold_starts, 1_100), Some(7_000));
    cold_starts.record_response(&server(), 0, 1_050, 1_200);
    assert_eq!(until_ms(&cold_starts, 1_200), None);
}

/// Guards against lines that are logged again and again, and against entries that are kept for good.
#[test]
fn take_changes_reports_each_change_once_and_forgets_warm_servers() {
    let mut cold_starts = ColdStarts::default();
    cold_starts.record_row(&server(), 1_000, 0);
    let cold_ms = |_: &ServerId| Some(COLD_MS);
    let changes = cold_starts.take_changes(cold_ms, 10);
    assert!(matches!(changes[..], [(_, Some(_))]));
    assert!(cold_starts.take_changes(cold_ms, 20).is_empty());
    let changes = cold_starts.take_changes(cold_ms, 1_000);
    assert!(matches!(changes[..], [(_, None)]));
    cold_starts.take_changes(cold_ms, 1_010);
    assert!(cold_starts.servers().is_empty());
}
