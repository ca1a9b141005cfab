//! Some clients leave before their deadline while their requests wait in a router for memory.

#[path = "../kit-2/kit.rs"]
mod kit;
#[path = "../kit-2/desk.rs"]
mod desk;

use std::sync::Arc;
use std::thread;

use desk::*;
use kit::*;

/// Scans that are sent at once, each of the largest size that the configuration allows.
const SCANS: usize = 20;
const SCAN_BYTES: usize = 4_194_304;
const SCAN_WORK_MS: u64 = 2_000;
/// Photos that are sent right after them.
const PHOTOS: usize = 60;
const PHOTO_BYTES: usize = 100_000;
const PHOTO_WORK_MS: u64 = 40;
/// Objective of a photo; those who leave do so after half of it.
const PHOTO_GOAL_MS: u64 = 2_000;
/// `give_up` has a share of 0.3 at most in the site file.
const LEAVE_SHARE: f64 = 0.3;
const DEADLINE_MS: u64 = 8_000;

fn main() {
    let record = Record::open();
    start_watchdog(&record, 60);
    let store = Store::start();
    put_config(&store, &[
        route("scan", "non_idempotent", 8_000, 4_000, 1),
        route("photo", "idempotent", 8_000, PHOTO_GOAL_MS, 2),
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

    let scan = Arc::new(vec![b's'; SCAN_BYTES]);
    let scans: Vec<_> = (0..SCANS).map(|_| {
        let (scan, record) = (Arc::clone(&scan), record.clone());
        thread::spawn(move || send(front, "/scan/1", &scan, DEADLINE_MS, None, &record))
    }).collect();
    sleep_ms(400);
    let photo = Arc::new(vec![b'p'; PHOTO_BYTES]);
    let leaving = match has_trouble() {
        true => (PHOTOS as f64 * LEAVE_SHARE) as usize,
        false => 0,
    };
    let photos: Vec<_> = (0..PHOTOS).map(|number| {
        let (photo, record) = (Arc::clone(&photo), record.clone());
        let leave_ms = (number * leaving / PHOTOS != (number + 1) * leaving / PHOTOS).then_some(PHOTO_GOAL_MS / 2);
        thread::spawn(move || send(front, "/photo/1", &photo, DEADLINE_MS, leave_ms, &record))
    }).collect();
    let photos: Vec<Seen> = photos.into_iter().map(|thread| thread.join().unwrap()).collect();
    let scans: Vec<Seen> = scans.into_iter().map(|thread| thread.join().unwrap()).collect();
    sleep_ms(500);

    let count = |seen: &[Seen], end| seen.iter().filter(|s| s.end == end).count();
    record.say(&format!("scans: {} of {SCANS} answered 200", count(&scans, End::Answered(200))));
    record.say(&format!("photos: {} of {PHOTOS} answered 200, {} left", count(&photos, End::Answered(200)), count(&photos, End::Left)));
    let arrivals = arrivals.lock().unwrap();
    let gone: Vec<u64> = photos.iter().filter(|s| s.end == End::Left)
        .filter_map(|s| arrivals.get(&s.id)?.checked_sub(s.ended_ms))
        .collect();
    record.say(&format!("reached a server after their client had closed: {gone:?} ms after"));
    let late = gone.iter().filter(|ms| **ms > 500).count();
    record.say(&format!("over half a second after: {late} (bound: a few, here 5)"));
    routers.iter_mut().for_each(Router::kill);
    deployment.remove();
    finish(&record, i32::from(late > 5));
}
