use super::*;

fn run(number: u64, server: &str, started_ms: u64) -> CrashedRun {
    CrashedRun {
        parts: vec![Fingerprint(7)],
        request: Fingerprint(number),
        caller: 1,
        server: ServerId::from(server),
        started_ms,
        at_ms: started_ms,
        is_silent: true,
    }
}

fn taken(runs: &mut OpenRuns<()>, server: &str, known_ms: u64) -> Vec<u64> {
    let taken = runs.take(&ServerId::from(server), known_ms, known_ms);
    taken.iter().map(|open| open.run.request.0).collect()
}

/// Guards against evidence that is lost once a run is given up, and against holding a server's end
/// against requests that it completed, or that were given up long before.
#[test]
fn take_returns_open_runs_and_those_given_up_lately() {
    let mut runs = OpenRuns::default();
    let open = runs.begin(run(1, "a", 0), ());
    let given_up = runs.begin(run(2, "a", 0), ());
    let completed = runs.begin(run(3, "a", 0), ());
    let forgotten = runs.begin(run(4, "a", 0), ());
    let other = runs.begin(run(5, "b", 0), ());
    runs.complete(completed);
    runs.give_up(forgotten, 100);
    runs.give_up(given_up, 1_000);
    runs.give_up(given_up, 9_000);
    assert_eq!(taken(&mut runs, "a", 1_000 + GIVEN_UP_MS), [1, 2]);
    assert!(
        taken(&mut runs, "a", 1_000 + GIVEN_UP_MS).is_empty(),
        "they count once"
    );
    runs.complete(open);
    runs.complete(other);
    assert!(taken(&mut runs, "b", 2_000).is_empty());
}

/// Guards against refusing a request that another server has completed since, and against counting a
/// crash twice that was seen before the row was removed.
#[test]
fn remove_request_and_remove_clear_their_runs_only() {
    let mut runs = OpenRuns::default();
    for (number, server) in [(1, "a"), (1, "b"), (2, "a"), (3, "a")] {
        runs.begin(run(number, server, 0), ());
    }
    runs.remove_request(Fingerprint(1));
    runs.remove(&ServerId::from("a"), Fingerprint(2));
    assert_eq!(taken(&mut runs, "a", 0), [3]);
    assert!(taken(&mut runs, "b", 0).is_empty());
}

/// Guards against blaming a part of the prompt on which the server went on with its answer.
#[test]
fn record_answer_clears_the_parts() {
    let mut runs = OpenRuns::default();
    let id = runs.begin(run(1, "a", 0), ());
    runs.record_answer(id);
    let taken = runs.take(&ServerId::from("a"), 0, 0);
    assert!(taken[0].run.parts.is_empty());
}

/// Guards against memory that grows with the requests.
#[test]
fn begin_keeps_a_bounded_number_of_runs() {
    let mut runs = OpenRuns::default();
    for number in 0..2 * RUNS_MAX as u64 {
        runs.begin(run(number, "a", 0), ());
    }
    assert_eq!(runs.runs.len(), RUNS_MAX);
    let mut runs = OpenRuns::default();
    for number in 0..10 {
        let id = runs.begin(run(number, "a", number), ());
        runs.give_up(id, number);
    }
    runs.begin(run(10, "a", 20 + GIVEN_UP_MS), ());
    assert_eq!(runs.runs.len(), 1);
}

/// Guards against blaming requests that were sent to a server after it had ended, while its row was
/// still there: in the soak, one router counted seven of them.
#[test]
fn take_leaves_out_requests_sent_after_the_end() {
    let mut runs = OpenRuns::default();
    runs.begin(run(1, "a", 1_000), ());
    runs.begin(run(2, "a", 1_001), ());
    let taken = runs.take(&ServerId::from("a"), 3_400, 1_000);
    let requests: Vec<u64> = taken.iter().map(|open| open.run.request.0).collect();
    assert_eq!(requests, [1]);
    assert!(runs.take(&ServerId::from("a"), 3_400, 3_400).is_empty());
}
