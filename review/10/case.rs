//! More users than usual send large bodies at once; other requests wait in the router for memory, past
//! the time that their route allows.

#[path = "../kit-2/kit.rs"]
mod kit;
#[path = "../kit-2/desk.rs"]
mod desk;

use std::sync::Arc;
use std::thread;

use desk::*;
use kit::*;

/// Usual number of scans that are sent at once, each of the largest size that the configuration allows,
/// and the factor of the disruption `burst`.
const USUAL_SCANS: usize = 12;
const BURST: f64 = 1.7;
const SCAN_BYTES: usize = 4_194_304;
const SCAN_WORK_MS: u64 = 2_000;
/// Photos that are sent right after them.
const PHOTOS: usize = 40;
const PHOTO_BYTES: usize = 100_000;
const PHOTO_WORK_MS: u64 = 40;
const PHOTO_TIMEOUT_MS: u64 = 800;
const DEADLINE_MS: u64 = 8_000;
/// Time after `TimeoutMs` by which there must be a final answer.
const SLACK_MS: u64 = 500;

fn main() {
    let record = Record::open();
    start_watchdog(&record, 60);
    let store = Store::start();
    put_config(&store, &[
        route("scan", "non_idempotent", 8_000, 4_000, 1),
        route("photo", "idempotent", PHOTO_TIMEOUT_MS, 400, 2),
    ]);
    let arrivals = Arrivals::default();
    let work_ms = |path: &str| match path.starts_with("/scan/") {
        true => SCAN_WORK_MS,
        false => PHOTO_WORK_MS,
    };
    start_servers(work_ms, &store, &arrivals, &record);
    let deployment = Deployment::new(&store, &ZONES);
    let mut routers = start_routers(&deployment, &record);
    let front = routers[0].front;

    let scan_count = match has_trouble() {
        true => (USUAL_SCANS as f64 * BURST) as usize,
        false => USUAL_SCANS,
    };
    let scan = Arc::new(vec![b's'; SCAN_BYTES]);
    let scans: Vec<_> = (0..scan_count).map(|_| {
        let (scan, record) = (Arc::clone(&scan), record.clone());
        thread::spawn(move || send(front, "/scan/1", &scan, DEADLINE_MS, None, &record))
    }).collect();
    sleep_ms(400);
    let photo = Arc::new(vec![b'p'; PHOTO_BYTES]);
    let photos: Vec<_> = (0..PHOTOS).map(|_| {
        let (photo, record) = (Arc::clone(&photo), record.clone());
        thread::spawn(move || send(front, "/photo/1", &photo, DEADLINE_MS, None, &record))
    }).collect();
    let photos: Vec<Seen> = photos.into_iter().map(|thread| thread.join().unwrap()).collect();
    let scans: Vec<Seen> = scans.into_iter().map(|thread| thread.join().unwrap()).collect();

    let answered = scans.iter().filter(|s| s.end == End::Answered(200)).count();
    record.say(&format!("scans: {answered} of {scan_count} answered 200"));
    let mut times: Vec<(u64, End)> = photos.iter().map(|s| (s.ended_ms - s.sent_ms, s.end)).collect();
    times.sort_by_key(|(ms, _)| *ms);
    record.say(&format!("photos: ms from the last byte to the final answer: {times:?}"));
    let unanswered = |ms: u64| times.iter().filter(|(taken_ms, _)| *taken_ms > ms).count();
    let (at, after) = (unanswered(PHOTO_TIMEOUT_MS), unanswered(PHOTO_TIMEOUT_MS + SLACK_MS));
    record.say(&format!("unanswered at TimeoutMs ({PHOTO_TIMEOUT_MS}): {at}; half a second later: {after}"));
    routers.iter_mut().for_each(Router::kill);
    deployment.remove();
    // Both sentences of the rule: eight or more that last longer, and more than half of them.
    finish(&record, i32::from(at >= 8 && 2 * after > at));
}
