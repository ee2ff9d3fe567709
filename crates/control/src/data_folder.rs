//! Takes over the data folder at the start of a control replica.

use std::{
    io::ErrorKind,
    path::{Path, PathBuf},
    time::{Duration, Instant},
};

use railtack_storage::FolderLock;
use tokio::{task::spawn_blocking, time::sleep};

/// Delay before a folder that could not be locked is tried again.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// Interval of log lines while a folder is waited for.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Locks the data folder. Waits without end while a predecessor has not ended or the folder cannot be opened. Returns
/// `None` if its file system knows no locks.
pub async fn lock(folder: &Path) -> Option<FolderLock> {
    let began = Instant::now();
    let mut logged_at: Option<Instant> = None;
    loop {
        let cause = match try_lock(folder.to_owned()).await {
            Ok(lock) => return Some(lock),
            Err(Obstacle::Unsupported) => {
                spdlog::warn!("the data folder is used without a lock");
                return None;
            }
            Err(Obstacle::Passing(cause)) => cause,
        };
        if logged_at.is_none_or(|at| at.elapsed() >= LOG_INTERVAL) {
            logged_at = Some(Instant::now());
            spdlog::warn!("cannot lock the data folder yet; retrying", kv: {
                folder = folder.display().to_string(),
                cause,
                waited_ms = began.elapsed().as_millis() as u64,
            });
        }
        sleep(RETRY_DELAY).await;
    }
}

/// Why a folder could not be locked.
enum Obstacle {
    /// The file system knows no locks.
    Unsupported,
    /// A cause that may pass.
    Passing(String),
}

/// Tries to lock a folder on a thread of its own, since the disk may hang.
async fn try_lock(folder: PathBuf) -> Result<FolderLock, Obstacle> {
    let tried = spawn_blocking(move || FolderLock::try_acquire(&folder)).await;
    match tried {
        Ok(Ok(Some(lock))) => Ok(lock),
        Ok(Ok(None)) => Err(Obstacle::Passing("another process holds it".to_owned())),
        Ok(Err(error)) if error.kind() == ErrorKind::Unsupported => Err(Obstacle::Unsupported),
        Ok(Err(error)) => Err(Obstacle::Passing(error.to_string())),
        Err(error) => Err(Obstacle::Passing(error.to_string())),
    }
}
