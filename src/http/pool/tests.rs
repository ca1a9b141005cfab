use std::io::{Read, Write};
use std::net::TcpListener;
use std::sync::mpsc;
use std::thread;

use super::*;

/// Accepts a connection and closes it on a message from `close`, then responds on a second
/// connection. Returns the request received on the second one.
fn serve(
    listener: &TcpListener,
    close: &mpsc::Receiver<()>,
    is_closed: &mpsc::Sender<()>,
) -> String {
    let (first, _) = listener.accept().expect("the pooled connection");
    close.recv().expect("the test continues");
    drop(first);
    is_closed.send(()).expect("the test continues");
    let (mut second, _) = listener.accept().expect("the fresh connection");
    let mut head = [0; 1024];
    let length = second.read(&mut head).expect("a request");
    let response = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
    second.write_all(response).expect("the client reads");
    String::from_utf8_lossy(&head[..length]).into_owned()
}

/// Guards against a failed request when the server has closed the pooled connection but the
/// connection's task has not run since and so has not seen it.
#[test]
fn send_closed_idle_connection_is_replaced() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let (close, closed) = mpsc::channel();
    let (closing, is_closed) = mpsc::channel();
    let server = thread::spawn(move || serve(&listener, &closed, &closing));
    let runtime = Runtime::start(1);
    let pool = Pool::open(runtime.clone(), Duration::from_secs(5));
    let mut idle = smol::block_on(pool.connect(address)).expect("it connects");
    smol::block_on(idle.sender.ready()).expect("it can carry a request");
    pool.release(address, idle);

    // The connection's task cannot run while the only worker is blocked.
    let (hold, held) = mpsc::channel::<()>();
    let (resume, resumed) = mpsc::channel::<()>();
    runtime.spawn_detached(async move {
        let _ = hold.send(());
        let _ = resumed.recv();
    });
    held.recv().expect("the worker is blocked");
    close.send(()).expect("the server runs");
    is_closed.recv().expect("the server closes it");
    let request = Request::get("/late").body(Full::new(Bytes::new()));
    let request = request.expect("a valid request");
    let unblock = thread::spawn(move || {
        thread::sleep(Duration::from_millis(50));
        drop(resume);
    });
    let (response, _) =
        smol::block_on(pool.send(address, request)).expect("sent on a new connection");
    assert_eq!(response.status(), 200);
    let received = server.join().expect("the server ends");
    assert!(received.starts_with("GET /late"), "{received}");
    unblock.join().expect("the worker continues");
}

/// Guards against sending on a new connection that a server at its connection limit resets. A
/// non-idempotent request written to it could not be sent to another server.
#[test]
fn send_reset_new_connection_carries_nothing() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let server = thread::spawn(move || drop(listener.accept().expect("a connection")));
    let runtime = Runtime::start(1);
    // Far longer than a reset takes on one host, even a busy one.
    let reset_wait = Duration::from_secs(1);
    let pool = Pool::open_with_reset_wait(runtime.clone(), Duration::from_secs(5), reset_wait);
    let error = smol::block_on(pool.connect(address)).expect_err("it was reset");
    server.join().expect("the server ends");
    assert_eq!(error.kind(), io::ErrorKind::ConnectionAborted);
}

/// Guards against a request that is written to a server which announced its leaving, or asked for a
/// pause, while the connection to it was opened.
#[test]
fn send_if_asks_after_the_connection_is_open() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let (connected, is_connected) = mpsc::channel();
    let server = thread::spawn(move || {
        let (mut connection, _) = listener.accept().expect("a connection");
        connected.send(()).expect("the test continues");
        let mut received = Vec::new();
        connection.read_to_end(&mut received).expect("an end");
        received
    });
    let runtime = Runtime::start(1);
    let pool = Pool::open(runtime.clone(), Duration::from_secs(5));
    let request = Request::new(Full::new(Bytes::from_static(b"body")));
    let may_send = || {
        is_connected.recv().expect("the connection is open");
        false
    };
    let sent = smol::block_on(pool.send_if(address, request, may_send));
    assert!(matches!(sent, Err(SendError::Withheld)), "{:?}", sent.err());
    pool.close_idle(address);
    let received = server.join().expect("the server ends");
    assert_eq!(received, b"");
}
