//! Identity of a process in the control cluster: loaded from disk, derived as an initial member, or
//! drawn at random for a member that joins.

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

/// File in the data folder that holds the identity of the member.
const MEMBER_FILE: &str = "member.ini";

/// Delay between attempts to join.
const JOIN_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Time limit for one attempt to join.
const JOIN_TIMEOUT: Duration = Duration::from_secs(2);

/// Identity of a process in the control cluster. It is stored before the process first votes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberIdentity {
    /// Id of the member.
    pub member: MemberId,
    /// Whether it joins a running cluster.
    pub is_joining: bool,
    /// RPC addresses of the members that were known at the first start.
    pub members: BTreeMap<MemberId, SocketAddr>,
}

/// Returns the id of an initial member. It is derived from the address, so that all initial members
/// compute the same ids without communication.
pub fn initial_member_id(address: SocketAddr) -> MemberId {
    let ip = match address.ip() {
        std::net::IpAddr::V4(ip) => u64::from(u32::from(ip)),
        // 47 bits, so that the top bit of the id stays clear.
        std::net::IpAddr::V6(ip) => u128::from(ip) as u64 >> 17,
    };
    MemberId((ip << 16) | u64::from(address.port()))
}

/// Loads the identity of this process, or creates and stores one: as an initial member if this is
/// the first start of the cluster and a seed has its address, otherwise by joining.
///
/// # Errors
///
/// Fails when the member file cannot be read or written.
pub async fn resolve_identity(
    folder: &Path,
    own_rpc: SocketAddr,
    own_http: SocketAddr,
    seeds: &watch::Receiver<Vec<SocketAddr>>,
    is_first_start: bool,
) -> io::Result<MemberIdentity> {
    if let Some(identity) = read_identity(folder)? {
        return Ok(identity);
    }
    let first_seeds = seeds.borrow().clone();
    let identity = if is_first_start && first_seeds.contains(&own_rpc) {
        MemberIdentity {
            member: initial_member_id(own_rpc),
            is_joining: false,
            members: first_seeds
                .iter()
                .map(|seed| (initial_member_id(*seed), *seed))
                .collect(),
        }
    } else {
        // The top bit keeps random ids disjoint from those derived from addresses.
        let member = MemberId(rand::random::<u64>() | 1 << 63);
        let request = JoinRequest {
            member,
            rpc_address: own_rpc,
            http_address: own_http,
        };
        let reply = request_join(seeds, &request).await;
        MemberIdentity {
            member,
            is_joining: true,
            members: reply.members.into_iter().collect(),
        }
    };
    write_identity(folder, &identity)?;
    Ok(identity)
}

/// Repeats the join request until a leader accepts it. Reads the seeds before each attempt, since
/// all seeds of the start may have been replaced meanwhile.
async fn request_join(
    seeds: &watch::Receiver<Vec<SocketAddr>>,
    request: &JoinRequest,
) -> JoinReply {
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
        tokio::time::sleep(JOIN_RETRY_DELAY).await;
    }
}

/// Deletes a member's files, so that the next start joins as a new member.
///
/// # Errors
///
/// Fails when a file in the folder cannot be deleted.
pub fn discard_identity(folder: &Path) -> io::Result<()> {
    for entry in std::fs::read_dir(folder)? {
        let path = entry?.path();
        if path.is_file() && path.file_name() != Some(MEMBER_FILE.as_ref()) {
            std::fs::remove_file(path)?;
        }
    }
    sync_folder(folder).map_err(|failed| failed.error)?;
    // The member file is deleted last: after a crash before that, the next start still knows the
    // identity that the remaining files belong to.
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
    let invalid_data = |detail: &str| {
        io::Error::new(
            io::ErrorKind::InvalidData,
            format!("{}: {detail}", path.display()),
        )
    };
    let document = IniDocument::parse(MEMBER_FILE, &text)
        .map_err(|errors| invalid_data(&errors.to_string()))?;
    let section = document
        .section("member")
        .ok_or_else(|| invalid_data("expected a section [member]"))?;
    let mut identity = MemberIdentity {
        member: MemberId(0),
        is_joining: false,
        members: BTreeMap::new(),
    };
    for entry in &section.entries {
        match entry.key.as_str() {
            "id" => {
                let id = entry.value.parse();
                identity.member = MemberId(id.map_err(|_| invalid_data("id: expected a number"))?);
            }
            "join" => identity.is_joining = entry.value == "yes",
            "members" => {
                for item in entry.value.split(',').filter(|item| !item.is_empty()) {
                    let parsed = item.split_once('=').and_then(|(id, address)| {
                        Some((MemberId(id.parse().ok()?), address.parse().ok()?))
                    });
                    let (id, address) =
                        parsed.ok_or_else(|| invalid_data("members: expected ID=IP:PORT"))?;
                    identity.members.insert(id, address);
                }
            }
            _ => return Err(invalid_data("unknown key")),
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
