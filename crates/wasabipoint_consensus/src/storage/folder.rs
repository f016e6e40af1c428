//! Crash-safe operations on files and folders.

use std::fs::{self, File};
use std::io::Write as _;
use std::path::Path;

use super::{DiskError, disk_error, retryable_if_full};

/// Makes the directory entries of a folder durable.
///
/// # Errors
///
/// Fails on an I/O error.
pub fn sync_folder(folder: &Path) -> Result<(), DiskError> {
    let opened = File::open(folder);
    let synced = opened.and_then(|folder| folder.sync_all());
    synced.map_err(disk_error(folder))
}

/// Creates a folder and its missing parents, and makes their directory entries durable.
///
/// # Errors
///
/// Fails on an I/O error.
pub fn create_folder(folder: &Path) -> Result<(), DiskError> {
    let ancestors = folder.ancestors().filter(|a| !a.as_os_str().is_empty());
    let missing: Vec<&Path> = ancestors.take_while(|a| !a.is_dir()).collect();
    if missing.is_empty() {
        return Ok(());
    }
    fs::create_dir_all(folder).map_err(disk_error(folder))?;
    let parents = missing.iter().filter_map(|created| created.parent());
    let mut nonempty_parents = parents.filter(|parent| !parent.as_os_str().is_empty());
    nonempty_parents.try_for_each(sync_folder)
}

/// Replaces a file atomically: a crash leaves either the old or the new content.
///
/// # Errors
///
/// Fails on an I/O error. Either the old or the new file may then be in place.
pub fn replace_file(folder: &Path, name: &str, bytes: &[u8]) -> Result<File, DiskError> {
    let temporary = folder.join(format!("{name}.new"));
    let write = || {
        let mut file = File::create(&temporary)?;
        file.write_all(bytes)?;
        Ok(file)
    };
    let file = write()
        .map_err(disk_error(&temporary))
        .map_err(retryable_if_full)?;
    let synced = file.sync_all();
    let renamed = synced.and_then(|()| fs::rename(&temporary, folder.join(name)));
    renamed.map_err(disk_error(&temporary))?;
    sync_folder(folder)?;
    Ok(file)
}
