//! Files that keep the reported streams across restarts of the process and losses of power.
//!
//! Each generation has files of its own, and a restart begins a new one, so that nothing is appended
//! behind a record that a crash has torn. The files of the last two generations are kept.

use super::{GenerationId, MAX_GENERATION};
use flamingo_log::segment;
use flamingo_wire::stream::Begun;
use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// Largest number of files that a start reads and keeps. Each start within the retention time adds
/// one.
const MAX_FILES: usize = 16;
/// Largest number of streams that a start reads: two generations.
const MAX_STREAMS: usize = 2 * MAX_GENERATION;

/// Number of a file, which is its name and grows.
type Number = u64;

/// The open journal of one process.
#[derive(Debug)]
pub struct Journal {
    folder: PathBuf,
    /// The file that is appended to; `None` before the first write and after a failed one.
    file: Option<File>,
    /// Number of the next file.
    next: Number,
    generation: GenerationId,
    /// Files of the current generation.
    current: Vec<Number>,
    /// Files of the generation before; after a start, those that it found.
    previous: Vec<Number>,
}

/// An opened journal with the reports that it held.
#[derive(Debug)]
pub struct Opened {
    /// The journal, ready for writes.
    pub journal: Journal,
    /// Reports that the files held.
    pub reports: Vec<Begun>,
}

impl Journal {
    /// Opens the journal in a folder, which is created where it is missing. Incomplete records at the
    /// end of a file are passed over, and the oldest files beyond the limits are removed.
    ///
    /// # Errors
    ///
    /// Returns an error where the disk fails.
    pub fn open(folder: &Path) -> io::Result<Opened> {
        std::fs::create_dir_all(folder)?;
        if let Some(parent) = folder.parent() {
            sync_folder(parent)?;
        }
        let mut numbers = file_numbers(folder)?;
        let excess = numbers.len().saturating_sub(MAX_FILES);
        for number in numbers.drain(..excess) {
            std::fs::remove_file(path(folder, number))?;
        }
        let reports = read(folder, &numbers)?;
        let journal = Self {
            folder: folder.to_owned(),
            file: None,
            next: numbers.last().map_or(0, |newest| newest + 1),
            generation: 0,
            current: Vec::new(),
            previous: numbers,
        };
        Ok(Opened { journal, reports })
    }

    /// Appends reports that belong to a generation, and returns once they are durable. The files of
    /// all but the last two generations are removed.
    ///
    /// # Errors
    ///
    /// Returns an error where the disk fails. The next call begins a new file.
    pub fn append<'a>(
        &mut self,
        generation: GenerationId,
        reports: impl IntoIterator<Item = &'a Begun>,
    ) -> io::Result<()> {
        if generation > self.generation {
            self.begin_generation(generation)?;
        }
        let mut bytes = Vec::new();
        for report in reports {
            segment::push(&mut bytes, report).map_err(io::Error::other)?;
        }
        let mut file = match self.file.take() {
            Some(file) => file,
            None => self.create_file()?,
        };
        file.write_all(&bytes)?;
        file.sync_data()?;
        self.file = Some(file);
        Ok(())
    }

    fn begin_generation(&mut self, generation: GenerationId) -> io::Result<()> {
        self.generation = generation;
        self.file = None;
        let current = std::mem::take(&mut self.current);
        let obsolete = std::mem::replace(&mut self.previous, current);
        for number in obsolete {
            std::fs::remove_file(path(&self.folder, number))?;
        }
        Ok(())
    }

    fn create_file(&mut self) -> io::Result<File> {
        let mut options = OpenOptions::new();
        options.append(true).create_new(true);
        let number = self.next;
        // A file that could not be made whole is not opened again.
        self.next += 1;
        let file = options.open(path(&self.folder, number))?;
        self.current.push(number);
        sync_folder(&self.folder)?;
        Ok(file)
    }
}

fn path(folder: &Path, number: Number) -> PathBuf {
    folder.join(number.to_string())
}

fn sync_folder(folder: &Path) -> io::Result<()> {
    File::open(folder)?.sync_all()
}

/// Returns the numbers of the files in a folder, the oldest first. Other names are passed over, and
/// the largest number, after which there is no next one.
fn file_numbers(folder: &Path) -> io::Result<Vec<Number>> {
    let mut numbers = Vec::new();
    for file in std::fs::read_dir(folder)? {
        let name = file?.file_name();
        numbers.extend(name.to_str().and_then(|name| name.parse::<Number>().ok()));
    }
    numbers.retain(|number| *number < Number::MAX);
    numbers.sort_unstable();
    Ok(numbers)
}

/// Reads the newest reports of at most [`MAX_STREAMS`] streams.
fn read(folder: &Path, numbers: &[Number]) -> io::Result<Vec<Begun>> {
    let mut reports = Vec::new();
    let mut streams = 0;
    for number in numbers.iter().rev() {
        if streams >= MAX_STREAMS {
            break;
        }
        let bytes = std::fs::read(path(folder, *number))?;
        let records = segment::scan::<Begun>(&bytes).records;
        streams += records
            .iter()
            .map(|begun| begun.streams.len())
            .sum::<usize>();
        reports.extend(records);
    }
    Ok(reports)
}
