//! Validation of settings, inventories and command lines by the real binaries: mistakes are refused
//! with file, line and remedy, and exit codes are those that scripts rely on.

mod common;

use std::path::Path;
use std::process::{Command, Output};

use common::{Env, TempDir, ctl};

const ROUTER: &str = "[router]\nname = r1\nzone = z1\nregion = g1\n\
                      listen = 127.0.0.1:0\nadmin = 127.0.0.1:0\n";
const INVENTORY: &str = "[zone z1]\nregion = g1\n[model m]\n\
                         [server s1]\nmodel = m\naddress = 127.0.0.1:1\nzone = z1\n";

fn router(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_jujubeusher-router"))
        .args(arguments)
        .output()
        .expect("the router runs")
}

fn text(path: &Path) -> &str {
    path.to_str().expect("a UTF-8 path")
}

/// Checks for exit code 2 and one line `error: FILE:LINE: problem; remedy` on standard error.
fn assert_refused(output: &Output, file: &str, line: usize, problem: &str) {
    let stderr = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(2), "{stderr}");
    let start = format!("error: {file}:{line}: ");
    assert!(stderr.starts_with(&start), "{start}: {stderr}");
    assert!(stderr.contains(problem), "{problem}: {stderr}");
    let remedy = stderr.split_once("; ").map(|(_, remedy)| remedy.trim());
    assert!(remedy.is_some_and(|remedy| !remedy.is_empty()), "{stderr}");
    assert!(stderr.lines().count() == 1, "{stderr}");
}

/// Contents that are neither settings nor an inventory: name, bytes, line of the error and problem.
fn invalid_files() -> [(&'static str, Vec<u8>, usize, &'static str); 4] {
    let binary: Vec<u8> = (0..=255).cycle().skip(100).take(4096).collect();
    [
        ("empty", Vec::new(), 0, "no section"),
        ("binary", binary, 1, "not UTF-8"),
        (
            "prose",
            b"Dear operator,\nall is well.\n".to_vec(),
            1,
            "not valid INI",
        ),
        ("large", vec![b'#'; 10 * 1024 * 1024], 0, "larger than"),
    ]
}

/// Guards against accepting settings that contain a mistake.
#[test]
fn router_check_refuses_wrong_settings() {
    let temp_dir = TempDir::open();
    let inventory = temp_dir.write("inventory.ini", INVENTORY);
    let check = |path: &Path| {
        router(&[
            "--check",
            "--standalone",
            text(&inventory),
            "--settings",
            text(path),
        ])
    };
    let good = temp_dir.write("good.ini", ROUTER);
    assert!(check(&good).status.success(), "{:?}", check(&good));
    let cases = [
        ("[motor]\n", 7, "unknown section"),
        ("[limits one]\n", 7, "unknown section"),
        ("colour = red\n", 7, "unknown key `colour`"),
        ("[limits]\nbody_byte = 4096\n", 8, "unknown key `body_byte`"),
        ("[limits]\nbody_bytes = 4 KiB\n", 8, "is not a whole number"),
        (
            "[limits]\nidle_timeout_ms = 5s\n",
            8,
            "is not a whole number",
        ),
        ("[limits]\nheader_bytes = 1\n", 8, "out of range"),
        ("[limits]\nbody_total_bytes = 4096\n", 8, "less than twice"),
        (
            "[retry]\nbudget_ratio = 10%\n",
            8,
            "is not a decimal number",
        ),
        ("[log]\nlevel = loud\n", 8, "not a known value"),
        (
            "[peers]\nlisten = 127.0.0.1:0\nshared_key = short\n",
            9,
            "too short",
        ),
        ("[platform]\ntable = localhost\n", 8, "is not an address"),
        ("threads = 4\nthreads = 5\n", 8, "defined twice"),
        ("[router]\nname = r2\n", 7, "defined twice"),
        ("name: r1\n", 7, "not valid INI"),
    ];
    for (extra, line, problem) in cases {
        let path = temp_dir.write("wrong.ini", &format!("{ROUTER}{extra}"));
        assert_refused(&check(&path), text(&path), line, problem);
    }
    for (name, bytes, line, problem) in invalid_files() {
        let path = temp_dir.write(name, "");
        std::fs::write(&path, bytes).expect("the temporary directory is writable");
        assert_refused(&check(&path), text(&path), line, problem);
    }
    let twice = ROUTER.replace("127.0.0.1:0", "127.0.0.1:9");
    let path = temp_dir.write("twice.ini", &twice);
    assert_refused(&check(&path), text(&path), 0, "used twice");
}

/// Guards against applying an inventory that contains a mistake.
#[test]
fn ctl_refuses_wrong_inventories() {
    let env = Env::open(0);
    let path = env.temp_dir.write("good.ini", INVENTORY);
    let good = ctl(&["check", text(&path)]);
    assert!(good.status.success(), "{good:?}");
    let second = "[server s2]\nmodel = m\nzone = z1\n";
    let cases = [
        ("[motor x]\n".to_owned(), 8, "unknown section"),
        ("colour = red\n".to_owned(), 8, "unknown key"),
        (
            format!("{second}address = 127.0.0.1:2\nslots = 8 GB\n"),
            12,
            "is not a whole number",
        ),
        (
            format!("{second}address = 127.0.0.1:1\n"),
            11,
            "same address",
        ),
        (
            "[adapter a]\nmodel = n\n".to_owned(),
            9,
            "no section [model n]",
        ),
    ];
    for (extra, line, problem) in cases {
        let wrong = format!("{INVENTORY}{extra}");
        let path = env.temp_dir.write("wrong.ini", &wrong);
        assert_refused(&ctl(&["check", text(&path)]), text(&path), line, problem);
        let path = env.temp_dir.write("inventory.ini", &wrong);
        assert_refused(&env.apply(&wrong), text(&path), line, problem);
    }
    for (name, bytes, line, problem) in invalid_files() {
        let path = env.temp_dir.write(name, "");
        std::fs::write(&path, bytes).expect("the temporary directory is writable");
        assert_refused(&ctl(&["check", text(&path)]), text(&path), line, problem);
    }
    assert_eq!(
        env.table.rows().get("config/head"),
        None,
        "no version may be in force"
    );
}

/// Guards against exit codes with which scripts cannot tell success, wrong usage (2) and an
/// unreachable platform (1) apart.
#[test]
fn binaries_exit_codes_distinguish_usage_from_failure() {
    let temp_dir = TempDir::open();
    let missing = "/nonexistent/file.ini";
    assert_refused(
        &router(&["--settings", missing]),
        missing,
        0,
        "cannot be read",
    );
    assert_refused(&ctl(&["check", missing]), missing, 0, "cannot be read");
    let settings = temp_dir.write("router.ini", ROUTER);
    let alone = router(&["--check", "--settings", text(&settings)]);
    assert_refused(&alone, text(&settings), 0, "[platform] is missing");

    let inventory = temp_dir.write("inventory.ini", INVENTORY);
    let closed = "127.0.0.1:1";
    let apply = [
        "apply",
        "--table",
        closed,
        "--objects",
        closed,
        text(&inventory),
    ];
    let codes = [
        (router(&["--help"]), 0),
        (router(&["--version"]), 0),
        (router(&[]), 2),
        (router(&["--setting", "x"]), 2),
        (ctl(&["--help"]), 0),
        (ctl(&["apply", "--help"]), 0),
        (ctl(&["--version"]), 0),
        (ctl(&[]), 2),
        (ctl(&["aply"]), 2),
        (ctl(&["dump", "--admin", "nowhere"]), 2),
        (ctl(&["dump", "--admin", closed]), 1),
        (ctl(&apply), 1),
    ];
    for (output, code) in codes {
        assert_eq!(output.status.code(), Some(code), "{output:?}");
        let stream = match code {
            0 => &output.stdout,
            _ => &output.stderr,
        };
        assert!(!stream.is_empty(), "{output:?}");
    }
    let version = router(&["--version"]).stdout;
    let version = String::from_utf8_lossy(&version).into_owned();
    assert!(version.contains(env!("CARGO_PKG_VERSION")), "{version}");
}
