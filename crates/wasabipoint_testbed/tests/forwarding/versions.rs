//! Callers that resume streams after all entry processes were restarted, while engines of two software
//! versions are in service or those of the first one have just left.

use std::collections::BTreeSet;
use std::sync::atomic::{AtomicU32, Ordering};

use http::StatusCode;
use wasabipoint_http::ResponseBody;

use super::engine::FIRST_VERSION;
use super::fixture::{Fleet, STEP_TIMEOUT};

const SECOND_VERSION: &str = "v1.1";

/// Number of concurrent callers.
const CALLERS: usize = 24;

/// Events that a caller has before all entry processes are restarted. Streams have 12.
const EVENTS_BEFORE: usize = 4;

/// A stream of which the caller has received a part.
#[derive(Debug, Clone, Default)]
struct Received {
    id: String,
    /// Software version that wrote each event.
    versions: Vec<String>,
    is_complete: bool,
}

impl Received {
    /// Reads events until there are `limit` or the response ends.
    async fn read(&mut self, body: &mut ResponseBody, limit: usize) {
        while self.versions.len() < limit {
            match body.next_chunk().await {
                Ok(Some(chunk)) => {
                    let text = String::from_utf8_lossy(&chunk).into_owned();
                    let data = text.lines().filter_map(|line| line.strip_prefix("data: "));
                    self.versions.extend(data.map(str::to_owned));
                }
                Ok(None) => {
                    self.is_complete = true;
                    return;
                }
                Err(_) => return,
            }
        }
    }

    fn distinct_versions(&self) -> BTreeSet<&str> {
        self.versions.iter().map(String::as_str).collect()
    }

    fn has_begun_at(&self, version: &str) -> bool {
        self.versions.first().is_some_and(|first| first == version)
    }
}

/// Starts a fleet of four engines, two of which are replaced by ones of the second version, and waits
/// until entry processes use both.
async fn start_with_two_versions() -> Fleet {
    let fleet = Fleet::start(3, 2, 4).await;
    for engine in &fleet.engines[2..] {
        engine.replace_software(SECOND_VERSION);
    }
    let both = async { while begin_streams(&fleet, usize::MAX).await.1 < 2 {} };
    tokio::time::timeout(STEP_TIMEOUT, both).await.unwrap();
    fleet
}

/// Begins streams of all callers at once, reads up to `limit` events of each, and returns them with their
/// connections, and the number of software versions that began them.
async fn begin_streams(
    fleet: &Fleet,
    limit: usize,
) -> (Vec<(Received, Option<ResponseBody>)>, usize) {
    static NEXT_ROUND: AtomicU32 = AtomicU32::new(0);
    let round = NEXT_ROUND.fetch_add(1, Ordering::Relaxed);
    let callers = (0..CALLERS).map(async |caller| {
        let entry = caller % fleet.entries.len();
        let mut received = Received {
            id: format!("{entry}.{round}-{caller}"),
            ..Received::default()
        };
        let parts = vec![("parts", format!("{caller:x}:10,b1:10"))];
        let mut body = match fleet.open(entry, &received.id, &parts).await {
            Some(response) if response.status() == StatusCode::OK => response.into_body(),
            _ => return (received, None),
        };
        received.read(&mut body, limit).await;
        (received, Some(body))
    });
    let streams = futures::future::join_all(callers).await;
    let versions: BTreeSet<_> = streams
        .iter()
        .flat_map(|(received, _)| received.distinct_versions())
        .map(str::to_owned)
        .collect();
    (streams, versions.len())
}

/// Restarts all entry processes while streams run, and returns what their callers have.
async fn restart_entries_amid_streams(fleet: &mut Fleet) -> Vec<Received> {
    let (streams, versions) = begin_streams(fleet, EVENTS_BEFORE).await;
    assert_eq!(versions, 2);
    drop(std::mem::take(&mut fleet.entries));
    let streams = streams.into_iter();
    let begun: Vec<Received> = streams.map(|(received, _)| received).collect();
    fleet.add_entry().await;
    fleet.add_entry().await;
    begun
}

/// Resumes a stream and returns it with its new events, or the status of the refusal.
async fn resume(
    fleet: &Fleet,
    index: usize,
    begun: &Received,
) -> Result<Received, (StatusCode, String)> {
    let headers = vec![
        ("parts", format!("{index:x}:10,b1:10")),
        ("last-event-id", begun.versions.len().to_string()),
        ("resumes", begun.id.clone()),
    ];
    let entry = index % fleet.entries.len();
    let id = format!("{}-again", begun.id);
    let response = fleet.open(entry, &id, &headers).await.unwrap();
    if response.status() != StatusCode::OK {
        let status = response.status();
        let text = response.into_body().read(4_096).await.unwrap();
        return Err((status, String::from_utf8_lossy(&text).into_owned()));
    }
    let mut received = begun.clone();
    received.read(&mut response.into_body(), usize::MAX).await;
    Ok(received)
}

async fn resume_all(
    fleet: &Fleet,
    begun: &[Received],
) -> Vec<Result<Received, (StatusCode, String)>> {
    let resumptions = begun.iter().enumerate();
    let resumptions = resumptions.map(|(index, begun)| resume(fleet, index, begun));
    futures::future::join_all(resumptions).await
}

/// Guards against streams that are joined from two software versions, and against streams that are given
/// up, after all entry processes were restarted at once: no process remembers where they began.
#[tokio::test]
async fn resumptions_after_a_restart_of_all_entry_processes_stay_at_their_version() {
    let mut fleet = start_with_two_versions().await;
    let begun = restart_entries_amid_streams(&mut fleet).await;
    for resumed in resume_all(&fleet, &begun).await {
        let resumed = resumed.unwrap();
        assert_eq!(resumed.distinct_versions().len(), 1, "{resumed:?}");
        assert!(resumed.is_complete);
        assert_eq!(resumed.versions.len(), 12);
    }
}

/// Guards against streams of a software version whose last engines have left that are continued by the
/// version which is left: there only seems to be one.
#[tokio::test]
async fn resumptions_of_a_version_that_has_left_are_refused() {
    let mut fleet = start_with_two_versions().await;
    let begun = restart_entries_amid_streams(&mut fleet).await;
    fleet.delist(0);
    fleet.delist(1);
    let has_left = async { while begin_streams(&fleet, usize::MAX).await.1 > 1 {} };
    tokio::time::timeout(STEP_TIMEOUT, has_left).await.unwrap();
    fleet.entries.clear();
    fleet.add_entry().await;
    let resumed = resume_all(&fleet, &begun).await;
    assert!(begun.iter().any(|begun| begun.has_begun_at(FIRST_VERSION)));
    for (begun, resumed) in begun.iter().zip(resumed) {
        if begun.has_begun_at(FIRST_VERSION) {
            let (status, _) = resumed.unwrap_err();
            assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
        } else {
            let resumed = resumed.unwrap();
            assert_eq!(resumed.distinct_versions().len(), 1, "{resumed:?}");
        }
    }
}
