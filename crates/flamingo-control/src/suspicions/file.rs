//! The file that holds the evidence of one control instance. A write replaces it as a whole.

use flamingo_log::segment;
use flamingo_wire::prompt::Dossier;
use std::fs;
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// Name of the file, and of the one that is written to replace it.
const NAME: &str = "evidence";
const NEW_NAME: &str = "evidence.new";

/// The evidence on disk.
#[derive(Debug)]
pub struct File {
    folder: PathBuf,
}

impl File {
    /// Returns the file in a folder that exists.
    ///
    /// ```
    /// use flamingo_control::suspicions::File;
    /// use flamingo_wire::prompt::{Dossier, Quarantine};
    ///
    /// let folder = tempfile::tempdir().unwrap();
    /// let file = File::new(folder.path());
    /// assert_eq!(file.read().unwrap(), Dossier::default());
    /// let quarantine = Quarantine { service: "s".into(), part: 7, remaining_ms: 1_000 };
    /// let dossier = Dossier { quarantines: vec![quarantine], ..Dossier::default() };
    /// file.write(&dossier).unwrap();
    /// assert_eq!(file.read().unwrap(), dossier);
    /// ```
    #[must_use]
    pub fn new(folder: &Path) -> Self {
        Self {
            folder: folder.to_owned(),
        }
    }

    /// Returns what the file holds; nothing where there is none.
    ///
    /// # Errors
    ///
    /// Returns an error where the disk fails or the file is damaged.
    pub fn read(&self) -> io::Result<Dossier> {
        let bytes = match fs::read(self.folder.join(NAME)) {
            Ok(bytes) => bytes,
            Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(Dossier::default()),
            Err(error) => return Err(error),
        };
        let records = segment::scan(&bytes).records;
        let dossier = records.into_iter().next();
        dossier.ok_or_else(|| io::Error::new(io::ErrorKind::InvalidData, "the file is damaged"))
    }

    /// Replaces what the file holds, and returns once that is durable.
    ///
    /// # Errors
    ///
    /// Returns an error where the disk fails; the file is then as before, or as it was to be.
    pub fn write(&self, dossier: &Dossier) -> io::Result<()> {
        let mut bytes = Vec::new();
        segment::push(&mut bytes, dossier).map_err(io::Error::other)?;
        let new = self.folder.join(NEW_NAME);
        let mut file = fs::File::create(&new)?;
        file.write_all(&bytes)?;
        file.sync_all()?;
        fs::rename(&new, self.folder.join(NAME))?;
        fs::File::open(&self.folder)?.sync_all()
    }
}
