use std::io::{Read, Write};
use std::net::TcpListener;
use std::sync::mpsc;
use std::thread;

use super::*;

/// Accepts a connection that it closes when told, then one on which it answers; returns the
/// request of the latter.
fn serve(
    listener: &TcpListener,
    close: &mpsc::Receiver<()>,
    is_closed: &mpsc::Sender<()>,
) -> String {
    let (first, _) = listener.accept().expect("the pooled connection");
    close.recv().expect("the test goes on");
    drop(first);
    is_closed.send(()).expect("the test goes on");
    let (mut second, _) = listener.accept().expect("the fresh connection");
    let mut head = [0; 1024];
    let length = second.read(&mut head).expect("a request");
    let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
    second.write_all(answer).expect("it is read");
    String::from_utf8_lossy(&head[..length]).into_owned()
}

/// Guards against failing a request because the server had closed its pooled connection and
/// the connection's task had not noticed yet.
#[test]
fn send_closed_idle_connection_is_replaced() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let (close, closed) = mpsc::channel();
    let (closing, is_closed) = mpsc::channel();
    let server = thread::spawn(move || serve(&listener, &closed, &closing));
    let runtime = Runtime::start(1);
    let pool = Pool::open(runtime.clone(), Duration::from_secs(5));
    let mut idle = smol::block_on(pool.fresh(address)).expect("it connects");
    smol::block_on(idle.sender.ready()).expect("it can carry a request");
    pool.give_back(address, idle);

    // The connection's task cannot run while the only worker is held up.
    let (hold, held) = mpsc::channel::<()>();
    let (resume, resumed) = mpsc::channel::<()>();
    runtime.spawn_detached(async move {
        let _ = hold.send(());
        let _ = resumed.recv();
    });
    held.recv().expect("the worker is held up");
    close.send(()).expect("the server runs");
    is_closed.recv().expect("the server closes it");
    let request = Request::get("/late").body(Full::new(Bytes::new()));
    let request = request.expect("a valid request");
    let later = thread::spawn(move || {
        thread::sleep(Duration::from_millis(50));
        drop(resume);
    });
    let (response, _) = smol::block_on(pool.send(address, request)).expect("it is sent again");
    assert_eq!(response.status(), 200);
    let seen = server.join().expect("the server ends");
    assert!(seen.starts_with("GET /late"), "{seen}");
    later.join().expect("the worker goes on");
}

/// A server that has as many connections as it accepts resets a new one. A once-only request
/// that had been written to it could not be sent anywhere else.
#[test]
fn send_reset_new_connection_carries_nothing() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let server = thread::spawn(move || drop(listener.accept().expect("a connection")));
    let runtime = Runtime::start(1);
    // Far longer than a reset takes on one host, however busy.
    let settle = Duration::from_secs(1);
    let pool = Pool::open_settling(runtime.clone(), Duration::from_secs(5), settle);
    let error = smol::block_on(pool.fresh(address)).expect_err("it was reset");
    server.join().expect("the server ends");
    assert_eq!(error.kind(), io::ErrorKind::ConnectionAborted);
}
