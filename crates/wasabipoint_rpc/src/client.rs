//! A client that finds the control leader.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError, RwLock};
use std::time::{Duration, Instant};

use tarpc::context;

use crate::service::{ControlRefusal, ControlRpcClient, connect_control};

/// Context of a tarpc call, which carries its deadline.
pub type CallContext = context::Context;

/// Pause between attempts, so that a member without a leader is not asked in a busy loop.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Longest wait for a connection to a member, and for its answer beyond the wait of the call. A
/// member that is cut off from the others is left within it, well before changes are due.
const MEMBER_TIMEOUT: Duration = Duration::from_millis(600);

/// Why a call to control failed.
#[derive(Debug, Clone, PartialEq)]
pub enum ControlError {
    /// No leader answered in time. The call may have taken effect.
    Unavailable,
    /// The leader refused the call.
    Refused(ControlRefusal),
}

#[derive(Debug, Default)]
struct Connection {
    target: usize,
    hint: Option<SocketAddr>,
    client: Option<(SocketAddr, ControlRpcClient)>,
}

/// Calls the control leader, following hints and trying the members in turn.
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

    /// Runs a call against the leader until `total` has passed. `wait` is the time that the call
    /// itself may wait at the member. The call may run more than once.
    pub async fn call<T, F, Fut>(
        &self,
        wait: Duration,
        total: Duration,
        call: F,
    ) -> Result<T, ControlError>
    where
        F: Fn(ControlRpcClient, CallContext) -> Fut,
        Fut: Future<Output = Result<Result<T, ControlRefusal>, tarpc::client::RpcError>>,
    {
        let deadline = tokio::time::Instant::now() + total;
        loop {
            let attempt = self.attempt(wait, &call);
            match tokio::time::timeout_at(deadline, attempt).await {
                Ok(Some(Ok(value))) => return Ok(value),
                Ok(Some(Err(refusal @ ControlRefusal::Refused { .. }))) => {
                    return Err(ControlError::Refused(refusal));
                }
                Ok(Some(Err(ControlRefusal::NotLeader { leader }))) => self.follow(leader),
                Ok(Some(Err(ControlRefusal::Unavailable)) | None) => self.try_next(),
                Err(_) => {
                    self.try_next();
                    return Err(ControlError::Unavailable);
                }
            }
            if tokio::time::Instant::now() + RETRY_PAUSE >= deadline {
                return Err(ControlError::Unavailable);
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }

    async fn attempt<T, F, Fut>(
        &self,
        wait: Duration,
        call: &F,
    ) -> Option<Result<T, ControlRefusal>>
    where
        F: Fn(ControlRpcClient, CallContext) -> Fut,
        Fut: Future<Output = Result<Result<T, ControlRefusal>, tarpc::client::RpcError>>,
    {
        let timeout = wait + MEMBER_TIMEOUT;
        let client = tokio::time::timeout(MEMBER_TIMEOUT, self.connect())
            .await
            .ok()??;
        let answer = call(client, context_with_timeout(timeout));
        tokio::time::timeout(timeout, answer).await.ok()?.ok()
    }

    async fn connect(&self) -> Option<ControlRpcClient> {
        let address = {
            let connection = self.lock();
            let address = connection
                .hint
                .unwrap_or_else(|| self.member(connection.target));
            if let Some((connected, client)) = &connection.client
                && *connected == address
            {
                return Some(client.clone());
            }
            address
        };
        let client = connect_control(address).await.ok()?;
        self.lock().client = Some((address, client.clone()));
        Some(client)
    }

    /// Replaces the members that are asked when no leader is known.
    pub fn set_members(&self, members: &[SocketAddr]) {
        let mut known = self.members.write().unwrap_or_else(PoisonError::into_inner);
        known.clear();
        known.extend_from_slice(members);
    }

    fn member(&self, target: usize) -> SocketAddr {
        let members = self.members.read().unwrap_or_else(PoisonError::into_inner);
        members[target % members.len()]
    }

    fn follow(&self, leader: Option<SocketAddr>) {
        match leader {
            Some(address) => {
                let mut connection = self.lock();
                // A member that names itself or a stale leader again must not hold the client.
                if connection.hint == Some(address) {
                    connection.hint = None;
                    connection.target += 1;
                } else {
                    connection.hint = Some(address);
                }
            }
            None => self.try_next(),
        }
    }

    fn try_next(&self) {
        let mut connection = self.lock();
        connection.hint = None;
        connection.client = None;
        connection.target += 1;
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Connection> {
        self.connection
            .lock()
            .expect("no holder of this lock panics")
    }
}
