//! The fault-injecting proxy does to a connection what its handle was told.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

use jujubeusher_standins::proxy::{End, Faults, Proxy, RandomFaults};

/// Longest wait for bytes that must come.
const PATIENCE: Duration = Duration::from_secs(20);
/// Time in which held bytes must not come.
const SILENCE: Duration = Duration::from_millis(100);

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Starts a server that returns all that it receives, and a proxy before it.
fn echo_proxy() -> Proxy {
    let listener = TcpListener::bind(any_port()).expect("a port is free");
    let address = listener.local_addr().expect("it is bound");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || {
                let mut reader = stream.try_clone().expect("a stream can be cloned");
                let mut writer = stream;
                let _ = std::io::copy(&mut reader, &mut writer);
            });
        }
    });
    Proxy::bind(any_port(), address).expect("a port is free")
}

fn connect(proxy: &Proxy) -> TcpStream {
    let stream = TcpStream::connect(proxy.address()).expect("the proxy accepts");
    stream.set_read_timeout(Some(PATIENCE)).expect("it is open");
    stream
}

fn send(stream: &mut TcpStream, text: &str) {
    stream.write_all(text.as_bytes()).expect("it is open");
}

fn receive(stream: &mut TcpStream, length: usize) -> String {
    let mut bytes = vec![0; length];
    stream.read_exact(&mut bytes).expect("the bytes come");
    String::from_utf8(bytes).expect("text was sent")
}

fn is_silent(stream: &mut TcpStream) -> bool {
    stream.set_read_timeout(Some(SILENCE)).expect("it is open");
    let error = stream.read(&mut [0; 1]).expect_err("nothing may come");
    stream.set_read_timeout(Some(PATIENCE)).expect("it is open");
    matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut)
}

/// Guards against a proxy that changes bytes or loses the end of a stream.
#[test]
fn proxy_no_faults_forwards_all_bytes() {
    let proxy = echo_proxy();
    let mut stream = connect(&proxy);
    let sent: Vec<u8> = (0..200_000u32).map(|index| index as u8).collect();
    let mut writer = stream.try_clone().expect("a stream can be cloned");
    let copy = sent.clone();
    let write = thread::spawn(move || {
        writer.write_all(&copy).expect("it is open");
        writer
            .shutdown(std::net::Shutdown::Write)
            .expect("it is open");
    });
    let mut received = Vec::new();
    stream.read_to_end(&mut received).expect("a clean end");
    write.join().expect("all was written");
    assert!(received == sent, "{} bytes came back", received.len());
}

/// Guards against a cut at another byte than asked for, and against a reset that looks like an end.
#[test]
fn proxy_end_after_counts_bytes() {
    let proxy = echo_proxy();
    proxy.set_faults(Faults::end_after_bytes(5, End::Close));
    let mut stream = connect(&proxy);
    send(&mut stream, "0123456789");
    let mut text = String::new();
    stream.read_to_string(&mut text).expect("a clean end");
    assert_eq!(text, "01234");

    proxy.set_faults(Faults::end_after_bytes(5, End::Reset));
    let mut stream = connect(&proxy);
    send(&mut stream, "0123456789");
    assert_eq!(receive(&mut stream, 5), "01234");
    let error = stream.read(&mut [0; 1]).expect_err("a reset is no end");
    assert_eq!(error.kind(), ErrorKind::ConnectionReset);
}

/// Guards against a command that misses open connections.
#[test]
fn proxy_end_all_resets_open_connections() {
    let proxy = echo_proxy();
    let mut streams = [connect(&proxy), connect(&proxy)];
    for stream in &mut streams {
        send(stream, "a");
        receive(stream, 1);
    }
    assert_eq!(proxy.end_connections(End::Reset), 2);
    for stream in &mut streams {
        let error = stream.read(&mut [0; 1]).expect_err("a reset is no end");
        assert_eq!(error.kind(), ErrorKind::ConnectionReset);
    }
}

/// Guards against faults that lose bytes or stay in force after they were lifted.
#[test]
fn proxy_held_bytes_come_after_heal() {
    let proxy = echo_proxy();
    let one_way = Faults {
        is_downstream_paused: true,
        ..Faults::default()
    };
    for faults in [Faults::blackhole(), one_way] {
        proxy.set_faults(faults);
        let mut stream = connect(&proxy);
        send(&mut stream, "held");
        assert!(is_silent(&mut stream));
        proxy.clear_faults();
        assert_eq!(receive(&mut stream, 4), "held");
    }
}

/// Guards against random faults that differ between two runs with one seed.
#[test]
fn proxy_random_faults_repeat_with_their_seed() {
    let proxy = echo_proxy();
    let run = || -> Vec<usize> {
        proxy.set_faults(Faults {
            random: Some(RandomFaults {
                seed: 7,
                end_probability: 0.5,
                end: End::Close,
                end_max_bytes: 50,
                delay_max: Duration::ZERO,
            }),
            ..Faults::default()
        });
        let lengths = (0..20).map(|_| {
            let mut stream = connect(&proxy);
            send(&mut stream, &"x".repeat(60));
            let _ = stream.shutdown(std::net::Shutdown::Write);
            let mut bytes = Vec::new();
            let _ = stream.read_to_end(&mut bytes);
            bytes.len()
        });
        lengths.collect()
    };
    let first = run();
    assert_eq!(first, run());
    assert!(first.contains(&60), "{first:?}");
    assert!(first.iter().any(|length| *length < 60), "{first:?}");
}
