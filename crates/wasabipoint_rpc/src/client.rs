//! A client that finds and calls the control leader.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError, RwLock};
use std::time::{Duration, Instant};

use tarpc::context;

use crate::service::{ControlRefusal, ControlRpcClient, connect_control};

/// Context of a tarpc call, which carries its deadline.
pub type CallContext = context::Context;

/// Delay between attempts, so that the client does not poll a member without a leader in a busy
/// loop.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Timeout for connecting to a member, and for its response beyond the time that the call itself
/// may wait there. The client thus moves on from a member that is partitioned from the others well
/// before a configuration change must be in effect.
const MEMBER_TIMEOUT: Duration = Duration::from_millis(600);

/// Why a call to control failed.
#[derive(Debug, Clone, PartialEq)]
pub enum ControlError {
    /// No leader responded in time. The call may have taken effect.
    Unavailable,
    /// The leader refused the call.
    Refused(ControlRefusal),
}

/// The member to call, and the connection to it.
#[derive(Debug, Default)]
struct Connection {
    // Counts up without limit and is taken modulo the number of members.
    member_index: usize,
    // Takes precedence over `member_index`.
    leader_hint: Option<SocketAddr>,
    client: Option<(SocketAddr, ControlRpcClient)>,
}

/// Calls the control leader, following leader hints and otherwise trying the members in turn.
#[derive(Debug)]
pub struct ControlClient {
    members: RwLock<Vec<SocketAddr>>,
    connection: Mutex<Connection>,
}

/// Creates a call context whose deadline is `timeout` from now.
pub fn context_with_timeout(timeout: Duration) -> CallContext {
    let mut context = context::current();
    context.deadline = Instant::now() + timeout;
    context
}

impl ControlClient {
    /// Creates a client of the given members; connections are made on first use.
    pub fn new(members: &[SocketAddr]) -> Self {
        Self {
            members: RwLock::new(members.to_vec()),
            connection: Mutex::new(Connection::default()),
        }
    }

    /// Sends a call to the leader, with retries until `total_timeout` has passed. `call_wait` is
    /// the time that the call itself may wait at the member. The call may be executed more than
    /// once.
    pub async fn call<T, F, Fut>(
        &self,
        call_wait: Duration,
        total_timeout: Duration,
        call: F,
    ) -> Result<T, ControlError>
    where
        F: Fn(ControlRpcClient, CallContext) -> Fut,
        Fut: Future<Output = Result<Result<T, ControlRefusal>, tarpc::client::RpcError>>,
    {
        let deadline = tokio::time::Instant::now() + total_timeout;
        loop {
            let member = self.next_member();
            let attempt = self.attempt(member, call_wait, &call);
            match tokio::time::timeout_at(deadline, attempt).await {
                Ok(Some(Ok(value))) => return Ok(value),
                Ok(Some(Err(refusal @ ControlRefusal::Refused { .. }))) => {
                    return Err(ControlError::Refused(refusal));
                }
                Ok(Some(Err(ControlRefusal::NotLeader { leader }))) => {
                    self.leave_member(member, leader);
                }
                Ok(Some(Err(ControlRefusal::Unavailable)) | None) => {
                    self.leave_member(member, None);
                }
                Err(_) => {
                    self.leave_member(member, None);
                    return Err(ControlError::Unavailable);
                }
            }
            if tokio::time::Instant::now() + RETRY_DELAY >= deadline {
                return Err(ControlError::Unavailable);
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }

    async fn attempt<T, F, Fut>(
        &self,
        member: SocketAddr,
        call_wait: Duration,
        call: &F,
    ) -> Option<Result<T, ControlRefusal>>
    where
        F: Fn(ControlRpcClient, CallContext) -> Fut,
        Fut: Future<Output = Result<Result<T, ControlRefusal>, tarpc::client::RpcError>>,
    {
        let timeout = call_wait + MEMBER_TIMEOUT;
        let client = tokio::time::timeout(MEMBER_TIMEOUT, self.connect(member))
            .await
            .ok()??;
        let response = call(client, context_with_timeout(timeout));
        tokio::time::timeout(timeout, response).await.ok()?.ok()
    }

    /// Returns the connection to a member, or opens one.
    async fn connect(&self, member: SocketAddr) -> Option<ControlRpcClient> {
        if let Some((connected, client)) = &self.lock_connection().client
            && *connected == member
        {
            return Some(client.clone());
        }
        let client = connect_control(member).await.ok()?;
        self.lock_connection().client = Some((member, client.clone()));
        Some(client)
    }

    /// Replaces the members to try when no leader is known.
    pub fn set_members(&self, members: &[SocketAddr]) {
        let mut current_members = self.members.write().unwrap_or_else(PoisonError::into_inner);
        current_members.clear();
        current_members.extend_from_slice(members);
    }

    fn member_address(&self, member_index: usize) -> SocketAddr {
        let members = self.members.read().unwrap_or_else(PoisonError::into_inner);
        members[member_index % members.len()]
    }

    /// Returns the member to call next: the leader that another one named, or the next in turn.
    fn next_member(&self) -> SocketAddr {
        self.member_to_call(&self.lock_connection())
    }

    fn member_to_call(&self, connection: &Connection) -> SocketAddr {
        let hint = connection.leader_hint;
        hint.unwrap_or_else(|| self.member_address(connection.member_index))
    }

    /// Moves on from a member that did not serve a call, to the leader that it named or to the next
    /// member. Concurrent calls fail at the same member, and only the first of them moves on: the others
    /// would undo its choice.
    fn leave_member(&self, member: SocketAddr, leader: Option<SocketAddr>) {
        let mut connection = self.lock_connection();
        if self.member_to_call(&connection) != member {
            return;
        }
        // A member may still name itself just after it lost its leadership.
        connection.leader_hint = leader.filter(|leader| *leader != member);
        if connection.leader_hint.is_none() {
            connection.client = None;
            connection.member_index += 1;
        }
    }

    fn lock_connection(&self) -> std::sync::MutexGuard<'_, Connection> {
        self.connection
            .lock()
            .expect("no code panics while it holds this lock")
    }
}
