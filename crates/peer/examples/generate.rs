//! Writes `src/generated.rs` from `proto/peer.proto`.
//!
//! Run `cargo run -p heatherhollow-peer --example generate` after a change of the messages.

use std::fs;
use std::path::Path;

use prost_build::Config;
use prost_build::Module;

/// The generated code as text.
pub fn generate() -> String {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("proto");
    let files = protox::compile(["peer.proto"], [folder])
        .expect("the proto file is valid")
        .file;
    let requests = files
        .into_iter()
        .map(|file| (Module::from_protobuf_package_name(file.package()), file))
        .collect();
    let modules = Config::new()
        .bytes(["."])
        .generate(requests)
        .expect("code can be generated");
    modules.into_values().collect()
}

/// Path of the committed file.
pub fn committed_path() -> std::path::PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("src/generated.rs")
}

#[allow(dead_code)]
fn main() {
    fs::write(committed_path(), generate()).expect("the file can be written");
}
