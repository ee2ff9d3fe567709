//! The lock of a data folder.

use railtack_storage::FolderLock;

/// Guards against two processes that write to one data folder.
#[test]
fn a_folder_has_one_holder_at_a_time() {
    let folder = std::env::temp_dir().join(format!("railtack-lock-{}", std::process::id()));
    let first = FolderLock::try_acquire(&folder).expect("a folder");
    assert!(first.is_some());
    assert!(
        FolderLock::try_acquire(&folder)
            .expect("a folder")
            .is_none()
    );
    drop(first);
    assert!(
        FolderLock::try_acquire(&folder)
            .expect("a folder")
            .is_some()
    );
    std::fs::remove_dir_all(&folder).expect("removed");
}
