//! The layout of this build, which later ones have to read.

use std::{fs, path::PathBuf};

use railtack_control::ControlState;
use railtack_rpc::{
    layout::read_proposal,
    service::{ControlRequest, ControlResponse},
};
use speedy::{Readable, Writable};

fn files(folder: &str) -> Vec<(String, Vec<u8>)> {
    let folder = PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("tests/data/shared_grants")
        .join(folder);
    let files = fs::read_dir(folder).expect("a folder").map(|file| {
        let file = file.expect("a file");
        let name = file.file_name().to_string_lossy().into_owned();
        (name, fs::read(file.path()).expect("a message"))
    });
    files.collect()
}

/// A field that is moved, removed or added changes what is read or written here. What is added belongs behind all
/// that there is, and is written only where the receiver may lack it without harm; its bytes get a folder of
/// their own, and these stay as they are.
#[test]
fn message_layouts_are_unchanged() {
    let files = files("messages");
    assert_eq!(files.len(), 16);
    for (name, bytes) in files {
        let written = if name.ends_with("-request") || name == "alive-notice" {
            ControlRequest::read_from_buffer(&bytes).map(|read| read.write_to_vec())
        } else {
            ControlResponse::read_from_buffer(&bytes).map(|read| read.write_to_vec())
        };
        let written = written.unwrap_or_else(|error| panic!("{name}: {error}"));
        assert_eq!(written.expect("encoded"), bytes, "{name}");
    }
}

#[test]
fn stored_layouts_are_unchanged() {
    for (name, bytes) in files("stored") {
        let written = if name == "state" {
            let state = ControlState::read_stored(&bytes).expect("a state");
            state.write_to_vec()
        } else {
            read_proposal(&bytes).expect("a command").write_to_vec()
        };
        assert_eq!(written.expect("encoded"), bytes, "{name}");
    }
}
