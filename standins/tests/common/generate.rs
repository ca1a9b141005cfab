//! Generates the Rust code for the messages of the peer protocol.

use std::path::Path;

/// Rust code generated from `proto/peer.proto` below `root`.
pub fn peer_code(root: &Path) -> String {
    let proto = root.join("proto");
    let descriptors =
        protox::compile([proto.join("peer.proto")], [&proto]).expect("the proto file compiles");
    let module = prost_build::Module::from_protobuf_package_name("jujubeusher.peer");
    let requests = descriptors
        .file
        .into_iter()
        .map(|file| (module.clone(), file))
        .collect();
    let mut config = prost_build::Config::new();
    let mut generated = config
        .generate(requests)
        .expect("code is generated for all messages");
    generated
        .remove(&module)
        .expect("the code of the package is generated")
}
