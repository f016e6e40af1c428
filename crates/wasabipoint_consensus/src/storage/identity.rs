//! The identity file, which binds a data folder to a member and a cluster.

use std::path::Path;

use wasabipoint_kernel::MemberId;

use crate::api::StartError;
use crate::entry::DiskId;

const HEADER_LINE: &str = "wasabipoint-consensus 1";

/// Content of the identity file. It is written once, when the folder is initialized.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Identity {
    pub(super) cluster: String,
    pub(super) member: MemberId,
    pub(super) disk: DiskId,
}

impl Identity {
    pub(super) fn to_text(&self) -> String {
        let Self {
            cluster,
            member,
            disk,
        } = self;
        format!(
            "{HEADER_LINE}\ncluster = {cluster}\nmember = {member}\ndisk = {:016x}\n",
            disk.0
        )
    }

    pub(super) fn parse(text: &str) -> Option<Self> {
        let mut lines = text.lines();
        if lines.next()? != HEADER_LINE {
            return None;
        }
        let cluster = lines.next()?.strip_prefix("cluster = ")?.to_owned();
        let member = lines.next()?.strip_prefix("member = ")?.parse().ok()?;
        let disk = u64::from_str_radix(lines.next()?.strip_prefix("disk = ")?, 16).ok()?;
        Some(Self {
            cluster,
            member: MemberId(member),
            disk: DiskId(disk),
        })
    }

    /// Checks that the folder belongs to this member and cluster.
    pub(super) fn verify(
        &self,
        folder: &Path,
        cluster: &str,
        member: MemberId,
    ) -> Result<(), StartError> {
        if self.cluster == cluster && self.member == member {
            return Ok(());
        }
        Err(StartError::FolderMismatch {
            folder: folder.to_owned(),
            detail: format!(
                "it belongs to member {} of cluster {}, expected member {member} of cluster \
                 {cluster}",
                self.member, self.cluster
            ),
        })
    }
}
