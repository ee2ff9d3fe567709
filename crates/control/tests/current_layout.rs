//! Layouts of this build, which later builds have to read.

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

/// Fails if a field was moved, removed or added. New fields belong at the end, are written only
/// where the receiver may lack them, and get test data in a new folder; the existing data stays.
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
