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
            let attempt = self.attempt(call_wait, &call);
            match tokio::time::timeout_at(deadline, attempt).await {
                Ok(Some(Ok(value))) => return Ok(value),
                Ok(Some(Err(refusal @ ControlRefusal::Refused { .. }))) => {
                    return Err(ControlError::Refused(refusal));
                }
                Ok(Some(Err(ControlRefusal::NotLeader { leader }))) => self.follow_leader(leader),
                Ok(Some(Err(ControlRefusal::Unavailable)) | None) => self.try_next_member(),
                Err(_) => {
                    self.try_next_member();
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
        call_wait: Duration,
        call: &F,
    ) -> Option<Result<T, ControlRefusal>>
    where
        F: Fn(ControlRpcClient, CallContext) -> Fut,
        Fut: Future<Output = Result<Result<T, ControlRefusal>, tarpc::client::RpcError>>,
    {
        let timeout = call_wait + MEMBER_TIMEOUT;
        let client = tokio::time::timeout(MEMBER_TIMEOUT, self.connect())
            .await
            .ok()??;
        let response = call(client, context_with_timeout(timeout));
        tokio::time::timeout(timeout, response).await.ok()?.ok()
    }

    async fn connect(&self) -> Option<ControlRpcClient> {
        let address = {
            let connection = self.lock_connection();
            let address = connection
                .leader_hint
                .unwrap_or_else(|| self.member_address(connection.member_index));
            if let Some((connected, client)) = &connection.client
                && *connected == address
            {
                return Some(client.clone());
            }
            address
        };
        let client = connect_control(address).await.ok()?;
        self.lock_connection().client = Some((address, client.clone()));
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

    fn follow_leader(&self, leader: Option<SocketAddr>) {
        match leader {
            Some(address) => {
                let mut connection = self.lock_connection();
                // The hint is already in use, for example because a member names itself or a former
                // leader again. The next member is tried, so that the client does not keep calling
                // this one.
                if connection.leader_hint == Some(address) {
                    connection.leader_hint = None;
                    connection.member_index += 1;
                } else {
                    connection.leader_hint = Some(address);
                }
            }
            None => self.try_next_member(),
        }
    }

    fn try_next_member(&self) {
        let mut connection = self.lock_connection();
        connection.leader_hint = None;
        connection.client = None;
        connection.member_index += 1;
    }

    fn lock_connection(&self) -> std::sync::MutexGuard<'_, Connection> {
        self.connection
            .lock()
            .expect("no code panics while it holds this lock")
    }
}
