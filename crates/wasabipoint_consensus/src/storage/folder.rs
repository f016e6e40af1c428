//! Crash-safe operations on files and folders.

use std::fs::{self, File};
use std::io::{ErrorKind, Write as _};
use std::path::{Path, PathBuf};

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

fn temporary_path(folder: &Path, name: &str) -> PathBuf {
    folder.join(format!("{name}.new"))
}

/// Removes what an interrupted [`replace_file`] left behind.
///
/// # Errors
///
/// Fails on an I/O error.
pub(super) fn remove_unfinished_file(folder: &Path, name: &str) -> Result<(), DiskError> {
    let temporary = temporary_path(folder, name);
    match fs::remove_file(&temporary) {
        Err(error) if error.kind() != ErrorKind::NotFound => Err(disk_error(&temporary)(error)),
        _ => Ok(()),
    }
}

/// Replaces a file atomically: a crash leaves either the old or the new content.
///
/// # Errors
///
/// Fails on an I/O error. Either the old or the new file may then be in place.
pub fn replace_file(folder: &Path, name: &str, bytes: &[u8]) -> Result<File, DiskError> {
    let temporary = temporary_path(folder, name);
    let write = || {
        let mut file = File::create(&temporary)?;
        file.write_all(bytes)?;
        Ok(file)
    };
    let file = write()
        .inspect_err(|_| {
            // On a full disk the unfinished file takes the space that other writes need. If it
            // cannot be removed, the next start removes it.
            let _ = fs::remove_file(&temporary);
        })
        .map_err(disk_error(&temporary))
        .map_err(retryable_if_full)?;
    let synced = file.sync_all();
    let renamed = synced.and_then(|()| fs::rename(&temporary, folder.join(name)));
    renamed.map_err(disk_error(&temporary))?;
    sync_folder(folder)?;
    Ok(file)
}
