//! Tests of the fault-injecting proxy.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

use jujubeusher_standins::proxy::{End, Faults, Proxy, RandomFaults};

/// Maximum wait for bytes that must arrive.
const READ_TIMEOUT: Duration = Duration::from_secs(20);
/// Time during which bytes of a paused direction must not arrive.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(100);

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Starts an echo server and returns a proxy in front of it.
fn proxy_to_echo_server() -> Proxy {
    let listener = TcpListener::bind(any_port()).expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound");
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
    stream
        .set_read_timeout(Some(READ_TIMEOUT))
        .expect("the connection is open");
    stream
}

fn send(stream: &mut TcpStream, text: &str) {
    stream
        .write_all(text.as_bytes())
        .expect("the connection is open");
}

fn receive(stream: &mut TcpStream, length: usize) -> String {
    let mut bytes = vec![0; length];
    stream.read_exact(&mut bytes).expect("the bytes arrive");
    String::from_utf8(bytes).expect("the bytes are UTF-8")
}

fn is_silent(stream: &mut TcpStream) -> bool {
    stream
        .set_read_timeout(Some(SILENCE_TIMEOUT))
        .expect("the connection is open");
    let error = stream.read(&mut [0; 1]).expect_err("no bytes may arrive");
    stream
        .set_read_timeout(Some(READ_TIMEOUT))
        .expect("the connection is open");
    matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut)
}

/// Guards against a proxy that alters bytes or does not forward the end of a stream.
#[test]
fn proxy_no_faults_forwards_all_bytes() {
    let proxy = proxy_to_echo_server();
    let mut stream = connect(&proxy);
    let sent: Vec<u8> = (0..200_000u32).map(|index| index as u8).collect();
    let mut writer = stream.try_clone().expect("a stream can be cloned");
    let copy = sent.clone();
    let write = thread::spawn(move || {
        writer.write_all(&copy).expect("the connection is open");
        writer
            .shutdown(std::net::Shutdown::Write)
            .expect("the connection is open");
    });
    let mut received = Vec::new();
    stream.read_to_end(&mut received).expect("a clean end");
    write.join().expect("all bytes are written");
    assert!(received == sent, "{} bytes were echoed", received.len());
}

/// Guards against an end at the wrong byte, and against a reset that arrives as an orderly end.
#[test]
fn proxy_end_after_bytes_ends_at_that_byte() {
    let proxy = proxy_to_echo_server();
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
    let error = stream
        .read(&mut [0; 1])
        .expect_err("the connection is reset");
    assert_eq!(error.kind(), ErrorKind::ConnectionReset);
}

/// Guards against open connections that `end_connections` misses.
#[test]
fn proxy_end_connections_resets_open_connections() {
    let proxy = proxy_to_echo_server();
    let mut streams = [connect(&proxy), connect(&proxy)];
    for stream in &mut streams {
        send(stream, "a");
        receive(stream, 1);
    }
    assert_eq!(proxy.end_connections(End::Reset), 2);
    for stream in &mut streams {
        let error = stream
            .read(&mut [0; 1])
            .expect_err("the connection is reset");
        assert_eq!(error.kind(), ErrorKind::ConnectionReset);
    }
}

/// Guards against a pause that loses bytes or persists after the faults were cleared.
#[test]
fn proxy_paused_bytes_arrive_after_clear_faults() {
    let proxy = proxy_to_echo_server();
    let one_direction = Faults {
        is_downstream_paused: true,
        ..Faults::default()
    };
    for faults in [Faults::blackhole(), one_direction] {
        proxy.set_faults(faults);
        let mut stream = connect(&proxy);
        send(&mut stream, "held");
        assert!(is_silent(&mut stream));
        proxy.clear_faults();
        assert_eq!(receive(&mut stream, 4), "held");
    }
}

/// Guards against random faults that differ between two runs with the same seed.
#[test]
fn proxy_random_faults_same_seed_gives_same_faults() {
    let proxy = proxy_to_echo_server();
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
