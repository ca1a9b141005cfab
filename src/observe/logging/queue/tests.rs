use super::*;

#[derive(Default)]
struct Output {
    is_released: bool,
    text: Vec<u8>,
}

/// An output that blocks until it is released.
#[derive(Clone, Default)]
struct Blocked(Arc<(Mutex<Output>, Condvar)>);

impl Blocked {
    fn release(&self) {
        self.0.0.lock().is_released = true;
        self.0.1.notify_all();
    }

    fn text(&self) -> String {
        String::from_utf8(self.0.0.lock().text.clone()).unwrap()
    }
}

impl Write for Blocked {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let mut output = self.0.0.lock();
        while !output.is_released {
            self.0.1.wait(&mut output);
        }
        output.text.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

const LIMIT: Duration = Duration::from_secs(20);

/// Guards against blocking the caller when the reader of the log stops reading, and against
/// dropping lines without counting them.
#[test]
fn flush_blocked_reader_drops_and_counts_lines() {
    let output = Blocked::default();
    let queue = LogQueue::spawn(output.clone(), u32::MAX).unwrap();
    let mut writer = queue.writer();
    let lines = 20_000;
    let start = Instant::now();
    for number in 0..lines {
        writeln!(writer, "event=test number={number:040}").unwrap();
        writer.flush().unwrap();
    }
    assert!(start.elapsed() < LIMIT / 4, "logging was blocked");
    assert!(!queue.flush(Duration::from_millis(10)));
    output.release();
    // The number of dropped lines is written together with a further line.
    writeln!(writer, "event=last").unwrap();
    writer.flush().unwrap();
    assert!(queue.flush(LIMIT));
    let text = output.text();
    let written = text.matches("event=test").count() + text.matches("event=last").count();
    let dropped = text
        .lines()
        .filter_map(|line| line.split_once("event=log_dropped lines="));
    let dropped: usize = dropped
        .map(|(_, count)| count.parse::<usize>().unwrap())
        .sum();
    assert!(dropped > 0);
    assert_eq!(written + dropped, lines + 1);
}

/// Guards against writing lines out of order.
#[test]
fn flush_writes_lines_in_order() {
    let output = Blocked::default();
    output.release();
    let queue = LogQueue::spawn(output.clone(), u32::MAX).unwrap();
    let mut writer = queue.writer();
    for number in 0..3 {
        writeln!(writer, "{number}").unwrap();
        writer.flush().unwrap();
    }
    assert!(queue.flush(LIMIT));
    assert_eq!(output.text(), "0\n1\n2\n");
}

/// Guards against an event that exceeds its rate limit, and against limiting other events with it.
#[test]
fn writer_limits_lines_per_event() {
    let output = Blocked::default();
    output.release();
    let queue = LogQueue::spawn(output.clone(), 3).unwrap();
    let mut writer = queue.writer();
    for number in 0..20 {
        writeln!(writer, "event=rejected number={number}").unwrap();
        writer.flush().unwrap();
    }
    writeln!(writer, "event=server_left").unwrap();
    writer.flush().unwrap();
    assert!(queue.flush(LIMIT));
    let text = output.text();
    // The test may run across the boundary between two seconds once.
    let rejected = text.matches("event=rejected").count();
    assert!((3..=6).contains(&rejected), "{text}");
    assert!(text.contains("event=server_left"), "{text}");
}

/// Guards against notices of suppressed lines that exceed the queue's capacity. While the reader is
/// blocked, each event would add one such line per second without limit.
#[test]
fn writer_notices_stay_within_queue_capacity() {
    let output = Blocked::default();
    let queue = LogQueue::spawn(output.clone(), 1).unwrap();
    let mut writer = queue.writer();
    // The thread blocks writing this line, so that all others remain in the queue.
    writeln!(writer, "event=first").unwrap();
    writer.flush().unwrap();
    while !queue.shared.state.lock().is_writing {
        thread::yield_now();
    }
    let long = "x".repeat(QUEUE_MAX_BYTES - 200);
    let mut write_one_second = |filler: &str| {
        for event in 0..40 {
            for _ in 0..2 {
                writeln!(writer, "event=e{event} {filler}").unwrap();
                writer.flush().unwrap();
            }
        }
    };
    write_one_second(&long);
    thread::park_timeout(Duration::from_millis(1_050));
    write_one_second("");
    assert!(queue.shared.state.lock().queued.len() <= QUEUE_MAX_BYTES);
    output.release();
}
