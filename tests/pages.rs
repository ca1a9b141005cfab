//! The example files of the operators' pages are valid, and the links between the pages work.

mod common;

use std::path::PathBuf;
use std::process::Command;

use common::{binary, ctl};

fn example(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("docs/operations/examples")
        .join(name)
}

/// Guards against an example inventory that `jujubeusher-ctl check` refuses.
#[test]
fn check_example_inventories_are_valid() {
    for name in ["pnw.ini", "nordeste.ini"] {
        let path = example(name);
        let output = ctl(&["check", path.to_str().expect("a UTF-8 path")]);
        assert!(output.status.success(), "{name}: {output:?}");
    }
}

/// Guards against example settings that router or controller refuse.
#[test]
fn check_example_settings_are_valid() {
    for name in ["router", "controller"] {
        let output = Command::new(binary(&format!("jujubeusher-{name}")))
            .args(["--check", "--settings"])
            .arg(example(&format!("{name}.ini")))
            .output()
            .expect("the program runs");
        assert!(output.status.success(), "{name}: {output:?}");
    }
}

/// Guards against links to files that do not exist.
#[test]
fn links_of_the_pages_lead_to_existing_files() {
    let directory = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("docs/operations");
    let pages = std::fs::read_dir(&directory).expect("the directory of the pages can be read");
    for page in pages.map(|entry| entry.expect("an entry").path()) {
        if page.extension().is_none_or(|extension| extension != "md") {
            continue;
        }
        let text = std::fs::read_to_string(&page).expect("a readable page");
        for link in text.split("](").skip(1) {
            let target = link.split([')', '#']).next().unwrap_or_default();
            let is_local = !target.is_empty() && !target.contains("://");
            assert!(
                !is_local || directory.join(target).exists(),
                "{}: the link target {target} does not exist",
                page.display()
            );
        }
    }
}
