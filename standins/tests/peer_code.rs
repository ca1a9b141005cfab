//! Checks the committed code of the peer protocol.

#[path = "common/generate.rs"]
mod generate;

/// Guards against a proto file and committed generated code that differ.
#[test]
fn wire_matches_proto() {
    let root = std::path::Path::new(concat!(env!("CARGO_MANIFEST_DIR"), "/.."));
    let committed = std::fs::read_to_string(root.join("src/peer/wire.rs"))
        .expect("the generated code is readable");
    assert!(
        committed == generate::peer_code(root),
        "run `cargo run -p jujubeusher-standins --example generate_peer` and commit the result"
    );
}
