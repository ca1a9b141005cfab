//! One tenant sends many times its usual. Its requests come with 70 header fields, well within the bytes
//! that the configuration allows for a header block.

#[path = "../kit-2/kit.rs"]
mod kit;
#[path = "../kit-2/desk.rs"]
mod desk;

use std::thread;

use desk::*;
use kit::*;

/// The disruption `hot_tenant`: 7.5 times the usual for 6.5 s.
const HOT: f64 = 7.5;
const HOT_MS: u64 = 6_500;
/// Usual requests of the tenant within that time; all others together send `OTHERS` then.
const USUAL: usize = 4;
const OTHERS: usize = 300;
/// Further header fields of the tenant's requests, such as those of tracing.
const FIELDS: usize = 65;
const DEADLINE_MS: u64 = 1_500;

fn main() {
    let record = Record::open();
    start_watchdog(&record, 60);
    let store = Store::start();
    put_config(&store, &[route("photo", "idempotent", 800, 400, 2)]);
    let arrivals = Arrivals::default();
    start_servers(|_| 15, &store, &arrivals, &record);
    let deployment = Deployment::new(&store, &ZONES);
    let mut routers = start_routers(&deployment, &record);
    let fronts: Vec<_> = routers.iter().map(|router| router.front).collect();

    let lines: String = (0..FIELDS).map(|n| format!("X-Trace-{n:02}: {:032x}\r\n", n * 7919)).collect();
    let hot = match has_trouble() {
        true => (USUAL as f64 * HOT) as usize,
        false => USUAL,
    };
    record.say(&format!("the tenant sends {hot} requests, each with {} bytes in 70 header fields; MaxHeaderBytes is 16384", lines.len() + 160));
    let spread = |count: usize, lines: String| -> Vec<_> {
        (0..count).map(|number| {
            let (front, lines, record) = (fronts[number % 3], lines.clone(), record.clone());
            let wait_ms = HOT_MS * number as u64 / count as u64;
            thread::spawn(move || {
                sleep_ms(wait_ms);
                send_with(front, "/photo/1", &lines, b"photo", DEADLINE_MS, None, &record)
            })
        }).collect()
    };
    let (of_tenant, of_others) = (spread(hot, lines), spread(OTHERS, String::new()));
    let seen: Vec<Seen> = of_tenant.into_iter().chain(of_others).map(|thread| thread.join().unwrap()).collect();
    let denied = seen.iter().filter(|s| matches!(s.end, End::Answered(status @ 300..=499) if ![408, 421, 429].contains(&status))).count();
    let served = seen.iter().filter(|s| s.end == End::Answered(200)).count();
    let allowed = 5 + seen.len() / 500;
    record.say(&format!("{} requests: {served} served, {denied} ended with a 3xx or 4xx of the system's own (bound: {allowed})", seen.len()));
    routers.iter_mut().for_each(Router::kill);
    deployment.remove();
    finish(&record, i32::from(denied > allowed));
}
