//! Tests of the host list's lag and of the `jujubeusher-standins` binary.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Command, Stdio};
use std::time::Duration;

use jujubeusher_standins::hosts::{Host, HostList, HostState};

fn host(state: HostState) -> Host {
    Host {
        host: "h1".to_owned(),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        zone: "z1".to_owned(),
        state,
    }
}

fn get(address: &str, path: &str) -> String {
    let mut stream = TcpStream::connect(address).expect("the server listens");
    let request = format!("GET {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n");
    stream
        .write_all(request.as_bytes())
        .expect("the connection is open");
    let mut text = String::new();
    stream
        .read_to_string(&mut text)
        .expect("a response arrives");
    text
}

fn write_file(name: &str, text: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("standins-{}-{name}", std::process::id()));
    std::fs::write(&path, text).expect("the temporary directory is writable");
    path
}

/// Guards against a host list that applies a change before its lag has passed, or never.
#[test]
fn host_list_shows_changes_after_lag() {
    let list = HostList::bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("a port is free");
    list.upsert(host(HostState::Live));
    assert_eq!(list.visible_hosts(), [host(HostState::Live)]);
    list.set_lag(Duration::from_secs(3600));
    list.upsert(host(HostState::Leaving));
    assert_eq!(list.visible_hosts(), [host(HostState::Live)]);
    list.set_lag(Duration::ZERO);
    list.remove("h1");
    assert_eq!(
        list.visible_hosts(),
        [host(HostState::Live)],
        "a change became visible before an earlier one"
    );
}

/// Guards against sections that the binary does not start or whose address it does not print.
#[test]
fn binary_runs_all_sections_of_its_file() {
    let path = write_file(
        "all.ini",
        "[table]\n[objects]\n[hosts]\n[host h1]\naddress = 127.0.0.1:1\nzone = z1\n\
         [engine e0]\ntokens = 2\n[proxy p0]\nupstream = hosts\ndelay_ms = 1\n",
    );
    let mut child = Command::new(env!("CARGO_BIN_EXE_jujubeusher-standins"))
        .arg(&path)
        .stdout(Stdio::piped())
        .spawn()
        .expect("the binary starts");
    let stdout = BufReader::new(child.stdout.take().expect("stdout is piped"));
    let lines: Vec<String> = stdout
        .lines()
        .map_while(Result::ok)
        .take_while(|line| line != "ready")
        .collect();
    let proxy = lines
        .iter()
        .find_map(|line| line.strip_prefix("proxy p0: "));
    let response = get(proxy.expect("the proxy's address is printed"), "/v1/hosts");
    child.kill().expect("the binary is running");
    child.wait().expect("the binary exits");
    std::fs::remove_file(path).expect("the file exists");
    assert_eq!(lines.len(), 5, "{lines:?}");
    assert!(
        response.contains(r#""host":"h1","state":"live""#),
        "{response}"
    );
}

/// Guards against misspelt settings that are ignored, so that a test runs without the fault it
/// configured.
#[test]
fn binary_invalid_file_is_rejected() {
    let cases = [
        ("[engine e0]\ntoken = 2\n", "unknown key `token`"),
        ("[motor m0]\n", "unknown section"),
        (
            "[proxy p0]\nupstream = engine e9\n",
            "nor an earlier section",
        ),
        (
            "[proxy p0]\nupstream = 127.0.0.1:1\nhold = all\n",
            "choose one of",
        ),
    ];
    for (index, (text, problem)) in cases.iter().enumerate() {
        let path = write_file(&format!("wrong-{index}.ini"), text);
        let output = Command::new(env!("CARGO_BIN_EXE_jujubeusher-standins"))
            .arg(&path)
            .output()
            .expect("the binary starts");
        std::fs::remove_file(path).expect("the file exists");
        assert_eq!(output.status.code(), Some(2), "{text}");
        let stderr = String::from_utf8_lossy(&output.stderr);
        assert!(stderr.contains(problem), "{stderr}");
    }
}
