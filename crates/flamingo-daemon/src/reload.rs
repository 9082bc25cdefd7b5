//! Values that are loaded from files and reloaded when the files change.

use std::path::{Path, PathBuf};
use std::sync::{Arc, PoisonError, RwLock};
use std::time::{Duration, Instant, SystemTime};

/// Time between two checks of the files' modification times.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Function that loads a value from its files; the error says what is wrong with them.
pub type Loader<T> = Box<dyn Fn() -> Result<T, String> + Send + Sync>;

/// A value that is reloaded when one of its files changes.
///
/// Where the files can't be loaded, the last value stays in use.
pub struct Reloaded<T> {
    files: Vec<PathBuf>,
    load: Loader<T>,
    state: RwLock<State<T>>,
}

struct State<T> {
    value: Arc<T>,
    modified_times: Vec<Option<SystemTime>>,
    next_check: Instant,
}

impl<T> std::fmt::Debug for Reloaded<T> {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(out, "Reloaded({:?})", self.files)
    }
}

impl<T> Reloaded<T> {
    /// Loads the value for the first time.
    ///
    /// # Errors
    ///
    /// Returns the error of `load`.
    pub fn new(files: Vec<PathBuf>, load: Loader<T>, now: Instant) -> Result<Self, String> {
        let modified_times = modified_times(&files);
        let value = Arc::new(load()?);
        let state = State {
            value,
            modified_times,
            next_check: now + CHECK_INTERVAL,
        };
        Ok(Self {
            files,
            load,
            state: RwLock::new(state),
        })
    }

    /// Returns the current value. Checks the files for changes at most once a second.
    pub fn get(&self, now: Instant) -> Arc<T> {
        let state = self.state.read().unwrap_or_else(PoisonError::into_inner);
        if now < state.next_check {
            return state.value.clone();
        }
        drop(state);
        self.reload_if_changed(now)
    }

    fn reload_if_changed(&self, now: Instant) -> Arc<T> {
        let mut state = self.state.write().unwrap_or_else(PoisonError::into_inner);
        let modified_times = modified_times(&self.files);
        if modified_times != state.modified_times
            && let Ok(value) = (self.load)()
        {
            state.value = Arc::new(value);
            state.modified_times = modified_times;
        }
        state.next_check = now + CHECK_INTERVAL;
        state.value.clone()
    }
}

fn modified_times(files: &[PathBuf]) -> Vec<Option<SystemTime>> {
    files.iter().map(|file| modified_time(file)).collect()
}

fn modified_time(file: &Path) -> Option<SystemTime> {
    std::fs::metadata(file)
        .and_then(|data| data.modified())
        .ok()
}
