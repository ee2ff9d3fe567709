//! Replays every committed trace and checks its expected outcomes.

use std::{fs, path::PathBuf};

use railtack_lab::experiment::replay::replay;

#[test]
fn committed_traces_meet_their_expected_outcomes() {
    let folder = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../traces");
    let mut replayed = 0;
    for entry in fs::read_dir(folder).expect("the folder of traces") {
        let trace = entry.expect("a folder entry").path();
        if trace
            .extension()
            .is_none_or(|extension| extension != "jsonl")
        {
            continue;
        }
        let checked = replay(&trace, &trace.with_extension("toml")).expect("a replay");
        assert!(
            !checked.is_empty(),
            "{} has no expected outcomes",
            trace.display()
        );
        for outcome in &checked {
            println!("{}: {outcome}", trace.display());
            assert!(outcome.holds(), "{}: {outcome}", trace.display());
        }
        replayed += 1;
    }
    assert_eq!(replayed, 10, "two fleets, five traces each");
}
