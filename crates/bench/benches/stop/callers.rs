//! Callers behind a balancer.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
};

use error_stack::{Report, ResultExt};
use pomeloslip_bench::{BenchError, Table};
use reqwest::{
    Client,
    multipart::{Form, Part},
};
use tokio::{
    task::JoinSet,
    time::{Duration, sleep},
};

#[path = "../faults/calls.rs"]
mod calls;

use self::calls::{Kind, Learned, Sender};
use crate::world::{KEY, World};

/// Callers of chats.
const CHATTERS: u64 = 24;

/// Callers of the service.
const BOOKERS: u64 = 12;

/// Distance between the numbers of calls of one kind.
const KIND_STEP: u64 = 3;

/// Callers that upload files.
const UPLOADERS: u64 = 2;

/// Tokens of a chat: about six seconds of the stand-in engine, so that a
/// leaving endpoint still runs when it may get no new work any more.
const TOKENS: u32 = 400;

/// Time between the starts of two callers, so that their calls do not end
/// together.
const STAGGER: Duration = Duration::from_millis(100);

/// Pause of a slow reader after each piece.
const SLOW: Duration = Duration::from_millis(40);

/// Pause of the balancer before it tries another entry.
const TRY_AGAIN: Duration = Duration::from_millis(50);

/// Entries that the balancer tries for one call.
const TRIES_MAX: u64 = 40;

/// Broken promises that are printed whole.
const EXAMPLES_MAX: usize = 8;

/// What became of all calls.
#[derive(Debug, Default)]
pub(crate) struct Counters {
    learned: BTreeMap<(&'static str, Learned), u64>,
    tried_again: u64,
    broken: Vec<String>,
}

impl Counters {
    pub(crate) fn add(&mut self, other: Counters) {
        for (key, count) in other.learned {
            *self.learned.entry(key).or_default() += count;
        }
        self.tried_again += other.tried_again;
        self.broken.extend(other.broken);
    }

    fn note(&mut self, name: &'static str, learned: Learned, detail: &str) {
        *self.learned.entry((name, learned)).or_default() += 1;
        if learned != Learned::Right {
            self.broken.push(format!("{name}: {learned:?}: {detail}"));
        }
    }

    pub(crate) fn table(&self) -> Table {
        let mut table = Table::new("Calls", &["calls", "learned", "times"]);
        for ((name, learned), count) in &self.learned {
            let learned = format!("{learned:?}").to_lowercase();
            table.row([(*name).to_owned(), learned, count.to_string()]);
        }
        let tried = self.tried_again.to_string();
        let what = "refused as not run".to_owned();
        table.row(["balancer".to_owned(), what, tried]);
        table
    }

    /// Fails if a call was cut or lost.
    pub(crate) fn check(&self) -> Result<(), Report<BenchError>> {
        if self.broken.is_empty() {
            return Ok(());
        }
        let count = self.broken.len();
        let mut report = Report::new(BenchError::Promise)
            .attach(format!("{count} calls were cut or lost"));
        for one in self.broken.iter().take(EXAMPLES_MAX) {
            report = report.attach(one.clone());
        }
        Err(report)
    }
}

/// What the callers share.
struct Shared {
    next: AtomicU64,
    whole: AtomicU64,
    ended: AtomicBool,
    entries: Mutex<Vec<SocketAddr>>,
    counters: Mutex<Counters>,
}

/// Callers that call until they are stopped.
pub(crate) struct Callers {
    shared: Arc<Shared>,
    tasks: JoinSet<()>,
}

impl Callers {
    pub(crate) fn start(
        world: &World,
        seed: u64,
    ) -> Result<Self, Report<BenchError>> {
        let shared = Arc::new(Shared {
            next: AtomicU64::new(seed * 1_000_000),
            whole: AtomicU64::new(0),
            ended: AtomicBool::new(false),
            entries: Mutex::new(world.entries()),
            counters: Mutex::default(),
        });
        let mut tasks = JoinSet::new();
        for at in 0..CHATTERS + BOOKERS {
            let sender = Sender::try_new(TOKENS, SLOW)?;
            let kind = if at < BOOKERS { 0 } else { 1 + at % 2 };
            let shared = shared.clone();
            tasks.spawn(async move {
                sleep(STAGGER * at as u32).await;
                call(shared, sender, kind).await;
            });
        }
        for _ in 0..UPLOADERS {
            let client = Client::builder().timeout(Duration::from_secs(60));
            let client = client.build().change_context(BenchError::Call)?;
            tasks.spawn(upload(shared.clone(), client));
        }
        Ok(Self { shared, tasks })
    }

    /// Returns how many calls were answered whole.
    pub(crate) fn whole(&self) -> u64 {
        self.shared.whole.load(Ordering::Relaxed)
    }

    /// Takes an entry out of the balancer, which has seen `/readyz`.
    pub(crate) fn forget(&self, entry: SocketAddr) {
        let mut entries = lock(&self.shared.entries);
        entries.retain(|known| *known != entry);
    }

    pub(crate) async fn stop(self) -> Counters {
        self.shared.ended.store(true, Ordering::Relaxed);
        self.tasks.join_all().await;
        std::mem::take(&mut *lock(&self.shared.counters))
    }
}

impl Shared {
    fn is_over(&self) -> bool {
        self.ended.load(Ordering::Relaxed)
    }

    /// Chooses an entry in turn.
    fn entry(&self, turn: u64) -> SocketAddr {
        let entries = lock(&self.entries);
        entries[turn as usize % entries.len()]
    }

    fn note(&self, name: &'static str, learned: Learned, detail: &str) {
        if learned == Learned::Right {
            self.whole.fetch_add(1, Ordering::Relaxed);
        }
        lock(&self.counters).note(name, learned, detail);
    }

    async fn try_again(&self) {
        lock(&self.counters).tried_again += 1;
        sleep(TRY_AGAIN).await;
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn call(shared: Arc<Shared>, sender: Sender, kind: u64) {
    while !shared.is_over() {
        let number = shared.next.fetch_add(1, Ordering::Relaxed);
        let number = number * KIND_STEP + kind;
        let kind = Kind::of(number);
        let id = format!("call-{number}");
        let mut turn = number;
        let reply = loop {
            let entry = shared.entry(turn);
            let reply = sender.send(entry, number, &id, kind).await;
            turn += 1;
            if reply.learned != Learned::NotRun || turn > number + TRIES_MAX {
                break reply;
            }
            shared.try_again().await;
        };
        shared.note(kind.name(), reply.learned, &reply.detail);
    }
}

async fn upload(shared: Arc<Shared>, client: Client) {
    while !shared.is_over() {
        let number = shared.next.fetch_add(1, Ordering::Relaxed);
        let mut turn = number;
        let (learned, detail) = loop {
            let sent = upload_once(&client, shared.entry(turn), number).await;
            turn += 1;
            if sent.0 != Learned::NotRun || turn > number + TRIES_MAX {
                break sent;
            }
            shared.try_again().await;
        };
        shared.note("upload", learned, &detail);
        sleep(TRY_AGAIN).await;
    }
}

async fn upload_once(
    client: &Client,
    entry: SocketAddr,
    number: u64,
) -> (Learned, String) {
    let line = format!(
        "{{\"custom_id\":\"i-{number}\",\"method\":\"POST\",\
         \"url\":\"/v1/chat/completions\",\"body\":{{\"model\":\"korv-lm\",\
         \"messages\":[]}}}}\n"
    );
    let part = Part::text(line).file_name("items.jsonl");
    let form = Form::new().text("purpose", "batch").part("file", part);
    let url = format!("http://{entry}/v1/files");
    let call = client.post(url).bearer_auth(KEY).multipart(form);
    match call.send().await {
        Ok(reply) if reply.status().is_success() => {
            (Learned::Right, String::new())
        }
        Ok(reply) => {
            let text = reply.text().await.unwrap_or_default();
            let learned = match text.contains("\"ran\":\"no\"") {
                true => Learned::NotRun,
                false => Learned::Unknown,
            };
            (learned, text)
        }
        Err(error) if error.is_connect() => {
            (Learned::NotRun, format!("{error:?}"))
        }
        Err(error) => (Learned::BrokenOff, format!("{error:?}")),
    }
}
