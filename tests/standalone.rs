//! The example of the README: the requests of its printed curl lines are sent over HTTP.

mod common;

use std::io::{BufRead, BufReader};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};

use common::{Response, exchange};

struct Example(Child);

impl Drop for Example {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Path of the example; cargo builds examples next to the directory of the test programs.
fn example_path() -> PathBuf {
    let test = std::env::current_exe().expect("a running test has a path");
    let profile = test.ancestors().nth(2).expect("target/PROFILE/deps/TEST");
    let path = profile.join("examples/standalone");
    assert!(
        path.exists(),
        "build it with cargo build --example standalone"
    );
    path
}

/// Splits a command line into words at spaces outside single quotes.
fn words(line: &str) -> Vec<String> {
    let mut words = vec![String::new()];
    let mut is_quoted = false;
    for c in line.chars() {
        match c {
            '\'' => is_quoted = !is_quoted,
            ' ' if !is_quoted => words.push(String::new()),
            c => words
                .last_mut()
                .expect("there is at least one word")
                .push(c),
        }
    }
    words
}

/// Sends the request that a curl line describes.
fn run_curl(line: &str) -> Response {
    let words = words(line);
    let after = |flag: &str| {
        let pairs = words.windows(2).filter(move |pair| pair[0] == flag);
        pairs.map(|pair| pair[1].clone()).collect::<Vec<_>>()
    };
    let url = words.iter().find_map(|word| word.strip_prefix("http://"));
    let (address, path) = url.and_then(|url| url.split_once('/')).expect("a URL");
    let body = after("-d").concat();
    let headers = after("-H").join("\r\n");
    let request = format!(
        "POST /{path} HTTP/1.1\r\nhost: {address}\r\nconnection: close\r\n{headers}\r\n\
         content-length: {}\r\n\r\n{body}",
        body.len()
    );
    exchange(address.parse().expect("an address"), request.as_bytes())
}

/// Guards against an example that does not work for new users: its curl lines must work as printed,
/// and a planned stop must end it with success.
#[test]
fn standalone_curl_lines_stream_and_return_to_one_engine() {
    let child = Command::new(example_path())
        .stdout(Stdio::piped())
        .spawn()
        .expect("the example starts");
    let mut example = Example(child);
    let stdout = example.0.stdout.take().expect("stdout is piped");
    let lines: Vec<String> = BufReader::new(stdout)
        .lines()
        .map_while(Result::ok)
        .take_while(|line| !line.starts_with("Ctrl-C"))
        .filter(|line| line.starts_with("curl "))
        .collect();
    assert_eq!(lines.len(), 2, "{lines:?}");

    let responses = [run_curl(&lines[0]), run_curl(&lines[1])];
    for response in &responses {
        assert_eq!(response.status, 200, "{response:?}");
        assert!(response.body.contains("data: [DONE]"), "{response:?}");
    }
    let servers = responses
        .each_ref()
        .map(|response| response.header("x-backend-server"));
    assert!(servers[0].is_some(), "{responses:?}");
    assert_eq!(servers[0], servers[1]);

    let id = example.0.id().to_string();
    let sent = Command::new("kill").args(["-TERM", &id]).status();
    assert!(sent.expect("kill runs").success());
    let ended = example.0.wait().expect("the example exits");
    assert!(ended.success(), "{ended}");
}
