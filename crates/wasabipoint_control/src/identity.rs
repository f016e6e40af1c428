//! Who a process is in the control cluster: a first member, what its disk says, or a new member that
//! joins.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use tokio::sync::watch;
use wasabipoint_consensus::{create_folder, replace_file, sync_folder};
use wasabipoint_kernel::{IniDocument, MemberId};
use wasabipoint_rpc::{ControlClient, JoinReply, JoinRequest};

/// File in the data folder that names the member and the members it first talks to.
const MEMBER_FILE: &str = "member.ini";

/// Pause between attempts to join.
const JOIN_PAUSE: Duration = Duration::from_millis(500);

/// Longest wait for one answer to a join.
const JOIN_TIMEOUT: Duration = Duration::from_secs(2);

/// Who a process is in the control cluster, written to its disk before it first votes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberIdentity {
    /// Its id.
    pub member: MemberId,
    /// Whether it joins a running cluster.
    pub is_joining: bool,
    /// Members and their rpc addresses at its first start.
    pub members: BTreeMap<MemberId, SocketAddr>,
}

/// Returns the id of a first member, which all members derive alike from its address.
pub fn initial_member_id(address: SocketAddr) -> MemberId {
    let ip = match address.ip() {
        std::net::IpAddr::V4(ip) => u64::from(u32::from(ip)),
        std::net::IpAddr::V6(ip) => u128::from(ip) as u64 >> 17,
    };
    MemberId((ip << 16) | u64::from(address.port()))
}

/// Finds who this process is: what its disk says, a first member, or a new one that joins.
///
/// # Errors
///
/// Fails when the member file cannot be read or written.
pub async fn resolve_identity(
    folder: &Path,
    own: SocketAddr,
    own_http: SocketAddr,
    seeds: &watch::Receiver<Vec<SocketAddr>>,
    is_first_start: bool,
) -> io::Result<MemberIdentity> {
    if let Some(identity) = read_identity(folder)? {
        return Ok(identity);
    }
    let first_seeds = seeds.borrow().clone();
    let identity = if is_first_start && first_seeds.contains(&own) {
        MemberIdentity {
            member: initial_member_id(own),
            is_joining: false,
            members: first_seeds
                .iter()
                .map(|seed| (initial_member_id(*seed), *seed))
                .collect(),
        }
    } else {
        // The top bit keeps drawn ids apart from those derived from addresses.
        let member = MemberId(rand::random::<u64>() | 1 << 63);
        let request = JoinRequest {
            member,
            rpc: own,
            http: own_http,
        };
        let reply = ask_to_join(seeds, &request).await;
        MemberIdentity {
            member,
            is_joining: true,
            members: reply.members.into_iter().collect(),
        }
    };
    write_identity(folder, &identity)?;
    Ok(identity)
}

/// Repeats the request to join until a leader takes it. The seeds may change meanwhile: those of the
/// start may all be gone.
async fn ask_to_join(seeds: &watch::Receiver<Vec<SocketAddr>>, request: &JoinRequest) -> JoinReply {
    let client = ControlClient::new(&seeds.borrow());
    loop {
        client.set_members(&seeds.borrow());
        let joined = client.call(Duration::ZERO, JOIN_TIMEOUT, |client, context| {
            let request = request.clone();
            async move { client.join(context, request).await }
        });
        if let Ok(reply) = joined.await {
            return reply;
        }
        tokio::time::sleep(JOIN_PAUSE).await;
    }
}

/// Removes what a member holds on its disk, so that the next start joins as a new member.
///
/// # Errors
///
/// Fails when the folder cannot be changed.
pub fn discard_identity(folder: &Path) -> io::Result<()> {
    for entry in std::fs::read_dir(folder)? {
        let path = entry?.path();
        if path.is_file() && path.file_name() != Some(MEMBER_FILE.as_ref()) {
            std::fs::remove_file(path)?;
        }
    }
    sync_folder(folder).map_err(|failed| failed.error)?;
    // The member file goes last: without it the other files belong to nobody.
    std::fs::remove_file(folder.join(MEMBER_FILE))?;
    sync_folder(folder).map_err(|failed| failed.error)
}

fn read_identity(folder: &Path) -> io::Result<Option<MemberIdentity>> {
    let path = folder.join(MEMBER_FILE);
    let text = match std::fs::read_to_string(&path) {
        Ok(text) => text,
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(error) => return Err(error),
    };
    let invalid = |detail: &str| {
        io::Error::new(
            io::ErrorKind::InvalidData,
            format!("{}: {detail}", path.display()),
        )
    };
    let document =
        IniDocument::parse(MEMBER_FILE, &text).map_err(|errors| invalid(&errors.to_string()))?;
    let section = document
        .section("member")
        .ok_or_else(|| invalid("expected a section [member]"))?;
    let mut identity = MemberIdentity {
        member: MemberId(0),
        is_joining: false,
        members: BTreeMap::new(),
    };
    for entry in &section.entries {
        match entry.key.as_str() {
            "id" => {
                let id = entry.value.parse();
                identity.member = MemberId(id.map_err(|_| invalid("id: expected a number"))?);
            }
            "join" => identity.is_joining = entry.value == "yes",
            "members" => {
                for item in entry.value.split(',').filter(|item| !item.is_empty()) {
                    let parsed = item.split_once('=').and_then(|(id, address)| {
                        Some((MemberId(id.parse().ok()?), address.parse().ok()?))
                    });
                    let (id, address) =
                        parsed.ok_or_else(|| invalid("members: expected ID=IP:PORT"))?;
                    identity.members.insert(id, address);
                }
            }
            _ => return Err(invalid("unknown key")),
        }
    }
    Ok(Some(identity))
}

fn write_identity(folder: &Path, identity: &MemberIdentity) -> io::Result<()> {
    let mut text = format!(
        "[member]\nid = {}\njoin = {}\n",
        identity.member,
        if identity.is_joining { "yes" } else { "no" }
    );
    let members: Vec<_> = identity
        .members
        .iter()
        .map(|(id, address)| format!("{id}={address}"))
        .collect();
    writeln!(text, "members = {}", members.join(",")).expect("writing to a string succeeds");
    create_folder(folder).map_err(|failed| failed.error)?;
    let replaced = replace_file(folder, MEMBER_FILE, text.as_bytes());
    replaced.map(drop).map_err(|failed| failed.error)
}
