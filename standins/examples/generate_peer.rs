//! Writes `src/peer/wire.rs` from `proto/peer.proto`: `cargo run -p jujubeusher-standins --example generate_peer`.

#[path = "../tests/common/generate.rs"]
mod generate;

fn main() -> std::io::Result<()> {
    let root = std::path::Path::new(concat!(env!("CARGO_MANIFEST_DIR"), "/.."));
    std::fs::write(root.join("src/peer/wire.rs"), generate::peer_code(root))
}
