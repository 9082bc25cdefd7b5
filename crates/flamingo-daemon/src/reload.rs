//! A value read from files, and read again once they have changed.

use std::path::{Path, PathBuf};
use std::sync::{Arc, PoisonError, RwLock};
use std::time::{Duration, Instant, SystemTime};

/// Time between two looks at the files.
const LOOK: Duration = Duration::from_secs(1);

/// How a value is read from its files.
pub type Read<T> = Box<dyn Fn() -> Result<T, String> + Send + Sync>;

/// A value that follows its files; a file that can't be read keeps the old value.
pub struct Fresh<T> {
    files: Vec<PathBuf>,
    read: Read<T>,
    state: RwLock<State<T>>,
}

struct State<T> {
    value: Arc<T>,
    stamps: Vec<Option<SystemTime>>,
    next_look: Instant,
}

impl<T> std::fmt::Debug for Fresh<T> {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(out, "Fresh({:?})", self.files)
    }
}

impl<T> Fresh<T> {
    /// Reads the value for the first time.
    ///
    /// # Errors
    ///
    /// Returns the reader's error.
    pub fn new(files: Vec<PathBuf>, read: Read<T>, now: Instant) -> Result<Self, String> {
        let stamps = stamps(&files);
        let value = Arc::new(read()?);
        let state = State {
            value,
            stamps,
            next_look: now + LOOK,
        };
        Ok(Self {
            files,
            read,
            state: RwLock::new(state),
        })
    }

    /// Returns the value as of `now`; looks at the files at most once a second.
    pub fn get(&self, now: Instant) -> Arc<T> {
        let state = self.state.read().unwrap_or_else(PoisonError::into_inner);
        if now < state.next_look {
            return state.value.clone();
        }
        drop(state);
        self.look(now)
    }

    fn look(&self, now: Instant) -> Arc<T> {
        let mut state = self.state.write().unwrap_or_else(PoisonError::into_inner);
        let stamps = stamps(&self.files);
        if stamps != state.stamps
            && let Ok(value) = (self.read)()
        {
            state.value = Arc::new(value);
            state.stamps = stamps;
        }
        state.next_look = now + LOOK;
        state.value.clone()
    }
}

fn stamps(files: &[PathBuf]) -> Vec<Option<SystemTime>> {
    files.iter().map(|file| stamp(file)).collect()
}

fn stamp(file: &Path) -> Option<SystemTime> {
    std::fs::metadata(file)
        .and_then(|data| data.modified())
        .ok()
}
