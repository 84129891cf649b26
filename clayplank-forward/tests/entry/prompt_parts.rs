//! Reports of prompt parts under which upstreams terminated, and the treatment of prompts with a
//! quarantined part.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use clayplank_forward::{Directory, EntryBuilder, QuarantineKeys, RequestQuarantine};
use clayplank_placement::{EngineModel, PlacementOutcome};
use clayplank_registry::UpstreamStatus;
use clayplank_routes::{RequestKind, Route};
use clayplank_types::{Fingerprint, ObservedOutcome, QuarantineEntry, SuspectKind, UpstreamId};
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

use crate::harness::{Host, RecordingAuthority, TestPlacer, plain_service, record, route};

/// Interval between the events of a stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(40);

/// Starts an upstream that streams this many events per request and then completes the stream, or
/// terminates; returns its address.
async fn upstream(events: usize, terminates: bool, requests: Arc<AtomicUsize>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut bytes = [0; 4_096];
            if stream.read(&mut bytes).await.unwrap_or_default() == 0 {
                continue;
            }
            requests.fetch_add(1, Ordering::SeqCst);
            let head = "HTTP/1.1 200 OK\r\nx-clayplank-attempt-id: a\r\nx-clayplank-seal: s\r\n\
                transfer-encoding: chunked\r\n\r\n";
            stream.write_all(head.as_bytes()).await.unwrap();
            for id in 1..=events {
                let event = format!("id: {id}\ndata: x\n\n");
                let chunk = format!("{:x}\r\n{event}\r\n", event.len());
                if stream.write_all(chunk.as_bytes()).await.is_err() {
                    break;
                }
                tokio::time::sleep(EVENT_INTERVAL).await;
            }
            if terminates {
                return;
            }
            stream.write_all(b"0\r\n\r\n").await.ok();
        }
    });
    address
}

struct Fixture {
    host: Host,
    directory: Arc<Directory>,
    authority: Arc<RecordingAuthority>,
    requests: Arc<AtomicUsize>,
}

impl Fixture {
    async fn start(kind: RequestKind) -> Self {
        let directory = Arc::new(Directory::default());
        let authority = Arc::<RecordingAuthority>::default();
        let host = Host::start(
            EntryBuilder::default().quarantine_authority(authority.clone()),
            Route { time_limit_ms: 5_000, max_attempts: 1, ..route(kind) },
            plain_service(),
            Arc::clone(&directory),
            Arc::new(TestPlacer::default()),
        )
        .await;
        Self { host, directory, authority, requests: Arc::default() }
    }

    /// Adds an upstream, which replaces any former one with this name.
    async fn add_upstream(&self, name: &str, events: usize, terminates: bool) {
        let address = upstream(events, terminates, Arc::clone(&self.requests)).await;
        self.directory.apply(vec![record(name, address)]);
    }

    /// Sends a prompt with these parts; returns the answer, without the end of a broken one.
    async fn send(&self, parts: &str) -> String {
        let mut stream = self.host.connect().await;
        let request = format!(
            "POST /x HTTP/1.1\r\nhost: dala.example\r\nx-clayplank-attempt-id: a\r\n\
             x-clayplank-prompt-parts: {parts}\r\nconnection: close\r\ncontent-length: 0\r\n\r\n"
        );
        stream.write_all(request.as_bytes()).await.unwrap();
        let mut answer = Vec::new();
        stream.read_to_end(&mut answer).await.ok();
        String::from_utf8_lossy(&answer).into_owned()
    }

    /// Reported parts and whether upstreams terminated under them, after a wait that covers the
    /// probe of one connection.
    async fn reported_parts(&self) -> Vec<(Fingerprint, bool)> {
        tokio::time::sleep(Duration::from_millis(150)).await;
        let observations = self.authority.observations.lock().unwrap();
        let parts = observations.iter().filter(|one| one.kind == SuspectKind::PromptPart);
        parts.map(|one| (one.fingerprint, one.outcome != ObservedOutcome::Survived)).collect()
    }

    fn quarantine(&self, part: &str, next_trial_in_ms: Option<u64>) {
        self.quarantine_all(&[part], next_trial_in_ms);
    }

    fn quarantine_all(&self, parts: &[&str], next_trial_in_ms: Option<u64>) {
        let entries = parts.iter().map(|part| QuarantineEntry {
            kind: SuspectKind::PromptPart,
            fingerprint: Fingerprint::of_prompt_part(part),
            caller: String::new(),
            ended: Vec::new(),
            next_trial_in_ms,
        });
        self.host.entry.set_quarantined(entries.collect());
    }
}

fn part(id: &str) -> Fingerprint {
    Fingerprint::of_prompt_part(id)
}

fn sorted(ids: &[&str]) -> Vec<Fingerprint> {
    let mut parts: Vec<_> = ids.iter().map(|id| part(id)).collect();
    parts.sort_unstable();
    parts
}

/// The last part belongs to one request, or to one session.
#[tokio::test]
async fn all_parts_but_the_last_are_reported_when_an_upstream_terminates() {
    let fixture = Fixture::start(RequestKind::ResumableStream).await;
    fixture.add_upstream("u0", 2, true).await;
    fixture.send("A1:40, b2:7,c3:900").await;
    let reported: Vec<_> =
        fixture.reported_parts().await.into_iter().map(|(part, _)| part).collect();
    assert_eq!(reported, sorted(&["a1", "b2"]));
}

/// A part that terminates upstreams does so soon after they begin to answer.
#[tokio::test]
async fn parts_of_a_stream_that_went_on_for_long_are_not_reported() {
    let fixture = Fixture::start(RequestKind::ResumableStream).await;
    fixture.add_upstream("u0", 16, true).await;
    fixture.send("a1:40,c3:900").await;
    assert_eq!(fixture.reported_parts().await, []);
    let observations = fixture.authority.observations.lock().unwrap();
    assert_eq!(observations.len(), 1, "the request itself is reported");
}

#[tokio::test]
async fn a_part_that_another_upstream_has_just_survived_is_not_reported() {
    let fixture = Fixture::start(RequestKind::ResumableStream).await;
    fixture.add_upstream("u0", 16, false).await;
    fixture.send("a1:40,c3:900").await;
    fixture.add_upstream("u0", 2, true).await;
    fixture.send("a1:40,b2:7,c4:900").await;
    assert_eq!(fixture.reported_parts().await, [(part("b2"), true)]);
}

/// Guards against clearing a part by an answer that was complete just before its upstream terminated.
#[rstest]
#[case::soon(Duration::ZERO, 0)]
#[case::later(Duration::from_millis(450), 1)]
#[tokio::test]
async fn a_short_answer_clears_its_parts_once_the_upstream_responds_later(
    #[case] pause: Duration,
    #[case] survivals: usize,
) {
    let fixture = Fixture::start(RequestKind::ResumableStream).await;
    fixture.add_upstream("u1", 1, false).await;
    fixture.send("a1:40,c2:900").await;
    tokio::time::sleep(pause).await;
    fixture.send("b2:40,c3:900").await;
    fixture.quarantine("a1", Some(60_000));
    let reported = fixture.reported_parts().await;
    assert_eq!(reported.iter().filter(|(_, is_end)| !is_end).count(), survivals, "{reported:?}");
}

/// Guards against a suspect that is never cleared because no other request follows.
#[rstest]
#[case::survives(false, 1)]
#[case::terminates(true, 0)]
#[tokio::test]
async fn an_upstream_that_answered_a_suspect_is_checked(
    #[case] terminates: bool,
    #[case] survivals: usize,
) {
    let fixture = Fixture::start(RequestKind::Repeatable).await;
    fixture.add_upstream("u0", 1, terminates).await;
    fixture.quarantine("a1", Some(0));
    fixture.send("a1:40,c1:900").await;
    tokio::time::sleep(Duration::from_millis(400)).await;
    let reported = fixture.reported_parts().await;
    assert_eq!(reported.iter().filter(|(_, is_end)| !is_end).count(), survivals, "{reported:?}");
}

/// Popular parts may have been quarantined because of others in the same prompts.
#[tokio::test]
async fn a_part_that_upstreams_survived_is_reported_once_it_is_quarantined() {
    let fixture = Fixture::start(RequestKind::ResumableStream).await;
    fixture.add_upstream("u0", 16, false).await;
    fixture.send("a1:40,c3:900").await;
    assert_eq!(fixture.reported_parts().await, []);
    fixture.quarantine("a1", Some(60_000));
    assert_eq!(fixture.reported_parts().await, [(part("a1"), false)]);
}

#[rstest]
#[case::next_trial_known(Some(60_000), 50..=60)]
#[case::no_more_trials(None, 86_000..=86_400)]
#[tokio::test]
async fn a_prompt_with_a_quarantined_part_reaches_no_upstream(
    #[case] next_trial_in_ms: Option<u64>,
    #[case] retry_after_s: std::ops::RangeInclusive<u64>,
) {
    let fixture = Fixture::start(RequestKind::ResumableStream).await;
    fixture.add_upstream("u0", 1, false).await;
    fixture.quarantine("b2", next_trial_in_ms);
    let answer = fixture.send("a1:40,b2:7,c3:900").await;
    assert!(answer.starts_with("HTTP/1.1 503") && answer.contains("held_back"), "{answer}");
    let retry_after = answer.split("retry-after: ").nth(1).unwrap().split('.').next().unwrap();
    assert!(retry_after_s.contains(&retry_after.parse().unwrap()), "{answer}");
    assert_eq!(fixture.requests.load(Ordering::SeqCst), 0);
    assert!(fixture.send("a1:40,c3:900").await.starts_with("HTTP/1.1 200"));
    assert!(fixture.send("a1:40,b2:900").await.starts_with("HTTP/1.1 200"), "as the last part");
}

#[tokio::test]
async fn a_prompt_with_a_quarantined_part_is_tried_once_when_its_trial_is_due() {
    let fixture = Fixture::start(RequestKind::ResumableStream).await;
    fixture.add_upstream("u0", 1, false).await;
    fixture.quarantine("b2", Some(0));
    assert!(fixture.send("a1:40,b2:7,c3:900").await.starts_with("HTTP/1.1 200"));
    assert_eq!(fixture.authority.trial_claims.load(Ordering::SeqCst), 1);
}

/// Of parts that were quarantined together, a prompt with one of them shows which is not the cause.
#[tokio::test]
async fn a_prompt_with_one_of_several_quarantined_parts_is_tried_before_one_with_all() {
    let fixture = Fixture::start(RequestKind::ResumableStream).await;
    fixture.add_upstream("u0", 1, false).await;
    fixture.quarantine_all(&["a1", "b2"], Some(0));
    assert!(fixture.send("a1:40,b2:7,c3:900").await.starts_with("HTTP/1.1 503"));
    assert!(fixture.send("a1:40,c3:900").await.starts_with("HTTP/1.1 200"));
    assert_eq!(fixture.authority.trial_claims.load(Ordering::SeqCst), 1);
}

/// Guards against holding a prompt that is known not to be served.
#[tokio::test]
async fn a_prompt_that_waits_for_an_engine_is_rejected_once_a_part_is_quarantined() {
    let directory = Arc::new(Directory::default());
    let waiting = Arc::new(AtomicUsize::new(0));
    let placer = TestPlacer::placing({
        let waiting = Arc::clone(&waiting);
        move |_| {
            waiting.fetch_add(1, Ordering::SeqCst);
            PlacementOutcome::Soon { again_in_ms: 50 }
        }
    });
    let mut service = plain_service();
    service.engine = Some(EngineModel::default());
    let host = Host::start(
        EntryBuilder::default(),
        Route { time_limit_ms: 60_000, goal_ms: 60_000, ..route(RequestKind::ResumableStream) },
        service,
        Arc::clone(&directory),
        Arc::new(placer),
    )
    .await;
    let fixture = Fixture { host, directory, authority: Arc::default(), requests: Arc::default() };
    let (answer, ()) = tokio::join!(fixture.send("a1:40,b2:7,c3:900"), async {
        while waiting.load(Ordering::SeqCst) < 2 {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        fixture.quarantine("b2", None);
    });
    assert!(answer.starts_with("HTTP/1.1 503") && answer.contains("held_back"), "{answer}");
}

#[tokio::test]
async fn a_prompt_with_too_many_parts_is_rejected_with_the_reason() {
    let fixture = Fixture::start(RequestKind::ResumableStream).await;
    fixture.add_upstream("u0", 1, false).await;
    let parts: Vec<_> = (0..257).map(|number| format!("{number:x}:1")).collect();
    let answer = fixture.send(&parts.join(",")).await;
    assert!(answer.starts_with("HTTP/1.1 400"), "{answer}");
    assert!(answer.contains("too_many_prompt_parts"), "{answer}");
}

#[tokio::test(start_paused = true)]
async fn a_prompt_with_several_quarantined_parts_is_tried_a_minute_after_the_trial_is_due() {
    let authority = Arc::<RecordingAuthority>::default();
    let quarantine = RequestQuarantine::new(authority);
    let entries = ["a1", "b2"].map(|id| QuarantineEntry {
        kind: SuspectKind::PromptPart,
        fingerprint: part(id),
        caller: String::new(),
        ended: Vec::new(),
        next_trial_in_ms: Some(5_000),
    });
    quarantine.set_quarantined(entries.to_vec());
    let keys = |ids: &[&str]| QuarantineKeys { request: part("0"), prompt_parts: sorted(ids) };
    tokio::time::advance(Duration::from_secs(5)).await;
    assert_eq!(quarantine.time_to_trial(&keys(&["a1"])), Some(Duration::ZERO));
    assert_eq!(quarantine.time_to_trial(&keys(&["a1", "b2"])), Some(Duration::from_secs(60)));
    tokio::time::advance(Duration::from_secs(60)).await;
    assert_eq!(quarantine.time_to_trial(&keys(&["a1", "b2"])), Some(Duration::ZERO));
    assert_eq!(quarantine.time_to_trial(&keys(&["c3"])), None);
}

/// Guards against a suspect that is reported as survived no more because an older answer went on.
#[tokio::test]
async fn a_part_stays_a_suspect_until_an_answer_that_began_after_the_termination() {
    let fixture = Fixture::start(RequestKind::ResumableStream).await;
    fixture.add_upstream("u0", 16, false).await;
    let older = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        fixture.add_upstream("u1", 1, true).await;
        let mut draining = fixture.directory.record(&UpstreamId::new("u0")).unwrap();
        draining.heartbeat.standing = UpstreamStatus::Draining;
        draining.heartbeat.sequence += 1;
        fixture.directory.apply(vec![draining]);
        fixture.send("a1:40,c2:900").await;
    };
    tokio::join!(fixture.send("a1:40,c1:900"), older);
    // The older answer is followed by a check of its upstream.
    tokio::time::sleep(Duration::from_millis(400)).await;
    let reported = fixture.reported_parts().await;
    assert!(reported.contains(&(part("a1"), true)), "{reported:?}");
    fixture.add_upstream("u2", 16, false).await;
    fixture.send("a1:40,c3:900").await;
    let reported_later = fixture.reported_parts().await.split_off(reported.len());
    assert_eq!(reported_later.first(), Some(&(part("a1"), false)));
}
