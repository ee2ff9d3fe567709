//! Loads settings at the start of a process, while their file may be about to be replaced.

use std::{
    path::Path,
    thread::sleep,
    time::{Duration, Instant},
};

use error_stack::Report;
use serde::de::DeserializeOwned;

use crate::{
    load::{SettingsError, Validate, load_settings},
    overrides::Override,
};

/// Longest time for which a file that is missing or incomplete is waited for.
const MAX_WAIT: Duration = Duration::from_secs(30);
/// Delay before the file is read again.
const RETRY_DELAY: Duration = Duration::from_millis(20);
/// Interval of log lines while the file is waited for.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Loads settings. Waits while the file is missing, empty or incomplete, as while it is being replaced, and fails at once
/// if a value is not allowed.
pub fn await_settings<T>(file: &Path, overrides: &[Override]) -> Result<T, Report<SettingsError>>
where
    T: DeserializeOwned + Validate,
{
    let began = Instant::now();
    let mut logged_at: Option<Instant> = None;
    loop {
        let report = match load_settings(file, overrides) {
            Ok(settings) => return Ok(settings),
            Err(report) => report,
        };
        let waited = began.elapsed();
        if !report.current_context().may_be_incomplete() || waited >= MAX_WAIT {
            return Err(report);
        }
        if logged_at.is_none_or(|at| at.elapsed() >= LOG_INTERVAL) {
            logged_at = Some(Instant::now());
            spdlog::warn!("settings cannot be read yet; retrying", kv: {
                cause = report.current_context().to_string(),
                waited_ms = waited.as_millis() as u64,
            });
        }
        sleep(RETRY_DELAY);
    }
}
