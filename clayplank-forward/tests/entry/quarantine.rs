//! Reports of requests under which upstreams terminated, and the treatment of a quarantined request,
//! one that is suspected of crashing upstreams.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use clayplank_forward::{Directory, EntryBuilder};
use clayplank_registry::UpstreamStatus;
use clayplank_routes::{RequestKind, Route};
use clayplank_types::{
    Fingerprint, ObservedOutcome, QuarantineEntry, RequestIdentity, SuspectKind,
};
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

use crate::harness::{Host, RecordingAuthority, TestPlacer, plain_service, record, route};

/// API key that all callers send; the route needs none.
const API_KEY: &str = "a-secret-key";

/// Time from the receipt of a request to the termination of the upstream under it.
const CRASH_DELAY: Duration = Duration::from_millis(20);

/// Response of an upstream to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Behaviour {
    Answers,
    /// Closes the connection, and continues to listen.
    Resets,
    /// Closes the connection and the listener.
    Terminates,
    /// Closes the first connection, and terminates at the next request.
    ResetsThenTerminates,
}

/// Starts an upstream that counts its requests; returns its address.
async fn upstream(behaviour: Behaviour, requests: Arc<AtomicUsize>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let mut count = 0;
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut bytes = [0; 4_096];
            // A connection without a request only probes whether the upstream still listens.
            if stream.read(&mut bytes).await.unwrap_or_default() == 0 {
                continue;
            }
            requests.fetch_add(1, Ordering::SeqCst);
            count += 1;
            match behaviour {
                Behaviour::Answers => {
                    let answer = "HTTP/1.1 200 OK\r\nx-clayplank-attempt-id: a\r\n\
                        x-clayplank-seal: s\r\ncontent-length: 2\r\n\r\nok";
                    stream.write_all(answer.as_bytes()).await.unwrap();
                }
                Behaviour::Resets => {}
                Behaviour::ResetsThenTerminates if count == 1 => {}
                Behaviour::Terminates | Behaviour::ResetsThenTerminates => {
                    tokio::time::sleep(CRASH_DELAY).await;
                    return;
                }
            }
        }
    });
    address
}

/// An entry host with its upstreams.
struct Fixture {
    host: Host,
    directory: Arc<Directory>,
    authority: Arc<RecordingAuthority>,
    /// Number of requests that upstreams received.
    requests: Arc<AtomicUsize>,
}

impl Fixture {
    async fn start(behaviours: &[Behaviour]) -> Self {
        let requests = Arc::<AtomicUsize>::default();
        let directory = Arc::new(Directory::default());
        for (number, behaviour) in behaviours.iter().enumerate() {
            let address = upstream(*behaviour, Arc::clone(&requests)).await;
            directory.apply(vec![record(&format!("u{number}"), address)]);
        }
        let authority = Arc::<RecordingAuthority>::default();
        let host = Host::start(
            EntryBuilder::default().quarantine_authority(authority.clone()),
            Route { time_limit_ms: 5_000, ..route(RequestKind::Repeatable) },
            plain_service(),
            Arc::clone(&directory),
            Arc::new(TestPlacer::default()),
        )
        .await;
        Self { host, directory, authority, requests }
    }

    /// Sends a request; returns the complete answer as text.
    async fn send(&self, body: &str) -> String {
        let mut stream = self.host.connect().await;
        let request = format!(
            "POST /x HTTP/1.1\r\nhost: dala.example\r\nx-clayplank-attempt-id: a\r\n\
             authorization: Bearer {API_KEY}\r\nconnection: close\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        );
        stream.write_all(request.as_bytes()).await.unwrap();
        let mut answer = String::new();
        stream.read_to_string(&mut answer).await.unwrap();
        answer
    }

    /// Outcomes reported so far, after a wait that covers the probe of one connection.
    async fn reported_outcomes(&self) -> Vec<ObservedOutcome> {
        tokio::time::sleep(Duration::from_millis(150)).await;
        self.authority.observations.lock().unwrap().iter().map(|one| one.outcome.clone()).collect()
    }

    fn requests(&self) -> usize {
        self.requests.load(Ordering::SeqCst)
    }

    /// Quarantines one request, and no other.
    fn quarantine(&self, fingerprint: Fingerprint, next_trial_in: Duration) {
        self.host.entry.set_quarantined(vec![QuarantineEntry {
            kind: SuspectKind::Request,
            fingerprint,
            caller: String::new(),
            ended: Vec::new(),
            next_trial_in_ms: Some(next_trial_in.as_millis() as u64),
        }]);
    }

    /// Quarantines the request that the host reported first.
    fn quarantine_reported(&self, next_trial_in: Duration) {
        let fingerprint = self.authority.observations.lock().unwrap()[0].fingerprint;
        self.quarantine(fingerprint, next_trial_in);
    }
}

#[rstest]
#[case::terminates(Behaviour::Terminates, 2)]
#[case::resets(Behaviour::Resets, 0)]
#[case::answers(Behaviour::Answers, 0)]
#[tokio::test]
async fn a_termination_is_reported_and_a_closed_connection_is_not(
    #[case] behaviour: Behaviour,
    #[case] terminations: usize,
) {
    let fixture = Fixture::start(&[behaviour, behaviour]).await;
    fixture.send("crashing").await;
    let reported = fixture.reported_outcomes().await;
    let count = reported.iter().filter(|one| matches!(one, ObservedOutcome::Ended(_))).count();
    assert_eq!((count, reported.len()), (terminations, terminations), "{reported:?}");
    let reported = fixture.authority.observations.lock().unwrap();
    assert!(
        reported.iter().all(|one| !one.caller.contains(API_KEY)),
        "an observation contains the API key"
    );
}

/// After the first closed connection, the host looks for the next incarnation of the upstream for some
/// seconds. A termination within that time must be reported at once all the same.
#[tokio::test]
async fn a_termination_soon_after_a_closed_connection_is_reported_at_once() {
    let fixture = Fixture::start(&[Behaviour::ResetsThenTerminates]).await;
    fixture.send("first").await;
    assert_eq!(fixture.reported_outcomes().await, []);
    fixture.send("second").await;
    assert_eq!(fixture.reported_outcomes().await.len(), 1);
}

#[tokio::test]
async fn an_answer_after_a_termination_is_reported() {
    let fixture = Fixture::start(&[Behaviour::Terminates]).await;
    fixture.send("beside").await;
    assert_eq!(fixture.reported_outcomes().await.len(), 1);
    let address = upstream(Behaviour::Answers, Arc::clone(&fixture.requests)).await;
    fixture.directory.apply(vec![record("next", address)]);
    assert!(fixture.send("beside").await.starts_with("HTTP/1.1 200"));
    assert_eq!(fixture.reported_outcomes().await[1], ObservedOutcome::Survived);
}

#[tokio::test]
async fn the_termination_of_a_draining_upstream_is_not_reported() {
    let fixture = Fixture::start(&[Behaviour::Terminates]).await;
    let address = fixture.directory.records()[0].heartbeat.address;
    let response = fixture.send("beside");
    let request_received = async {
        // Ends after the choice of the upstream, and before the upstream terminates.
        while fixture.requests() == 0 {
            fixture.directory.apply(vec![record("u0", address)]);
            tokio::task::yield_now().await;
        }
    };
    let mut draining = record("u0", address);
    draining.heartbeat.standing = UpstreamStatus::Draining;
    draining.heartbeat.sequence = 2;
    tokio::join!(response, async {
        request_received.await;
        fixture.directory.apply(vec![draining]);
    });
    assert_eq!(fixture.reported_outcomes().await, []);
}

#[tokio::test]
async fn a_quarantined_request_reaches_no_upstream() {
    let fixture =
        Fixture::start(&[Behaviour::Terminates, Behaviour::Terminates, Behaviour::Answers]).await;
    fixture.send("crashing").await;
    fixture.reported_outcomes().await;
    fixture.quarantine_reported(Duration::from_secs(60));
    let sent = fixture.requests();
    let answer = fixture.send("crashing").await;
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert!(answer.contains("held_back"), "{answer}");
    let retry_after = answer.split("retry-after: ").nth(1).unwrap().split('.').next().unwrap();
    assert!((50..=60).contains(&retry_after.parse::<u64>().unwrap()), "{answer}");
    assert_eq!(fixture.requests(), sent);
    assert!(fixture.send("another").await.starts_with("HTTP/1.1 200"), "another request is served");
}

#[tokio::test]
async fn a_quarantined_request_is_tried_once_when_its_trial_is_due() {
    let fixture = Fixture::start(&[
        Behaviour::Terminates,
        Behaviour::Terminates,
        Behaviour::Terminates,
        Behaviour::Terminates,
    ])
    .await;
    fixture.send("crashing").await;
    fixture.reported_outcomes().await;
    fixture.quarantine_reported(Duration::ZERO);
    let sent = fixture.requests();
    assert!(fixture.send("crashing").await.starts_with("HTTP/1.1 502"), "it may have run");
    assert_eq!(fixture.requests(), sent + 1, "one trial, without a retry");
    assert!(
        fixture.send("crashing").await.starts_with("HTTP/1.1 503"),
        "the keepers grant no second trial"
    );
    assert_eq!(fixture.requests(), sent + 1);
}

#[tokio::test]
async fn a_request_answered_earlier_is_reported_once_it_is_quarantined() {
    let fixture = Fixture::start(&[Behaviour::Answers]).await;
    fixture.send("popular").await;
    assert_eq!(fixture.reported_outcomes().await, []);
    // Quarantine of another fingerprint reports nothing about the answered request.
    fixture.quarantine(Fingerprint::new(7), Duration::ZERO);
    let key = RequestIdentity { caller: API_KEY, host: "", path: "", body: b"" };
    let fingerprint = Fingerprint::of(&RequestIdentity {
        caller: &format!("key {}", Fingerprint::of(&key)),
        host: "dala.example",
        path: "/x",
        body: b"popular",
    });
    assert_eq!(fixture.reported_outcomes().await, []);
    fixture.quarantine(fingerprint, Duration::ZERO);
    assert_eq!(fixture.reported_outcomes().await, [ObservedOutcome::Survived]);
}
