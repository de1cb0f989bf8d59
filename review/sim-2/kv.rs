//! A stand-in of the platform's key-value service, with the disruptions that
//! the pages name.

use std::{
    collections::BTreeMap,
    io,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex, MutexGuard},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{self, Done, Request, respond},
    json::{Json, base64, quote, unbase64},
    record::Record,
};

#[derive(Clone)]
struct Item {
    value: Vec<u8>,
    rev: u64,
    created: u64,
    lease: u64,
}

struct Lease {
    ttl: Duration,
    ends_at: Instant,
}

#[derive(Default)]
struct State {
    rev: u64,
    items: BTreeMap<String, Item>,
    /// All changes; `None` is a deletion.
    log: Vec<(u64, String, Option<Item>)>,
    leases: BTreeMap<u64, Lease>,
    last_lease: u64,
    down: bool,
    late: Option<Late>,
    /// Prefix of keys whose first write each is late, and the delay.
    first: Option<(String, Duration)>,
    seen: Vec<String>,
    late_once: Option<Duration>,
    writes: u64,
    lost: u64,
}

/// Writes that are not answered, and done later.
#[derive(Clone, Copy)]
pub struct Late {
    /// Share of the writes that are late.
    pub share_percent: u64,
    /// How much later it is done.
    pub delay: Duration,
}

/// The service; clones share it.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    record: Record,
    pub address: SocketAddr,
}

/// The result of a transaction.
enum Written {
    Done(u64),
    Conflict,
    NoLease,
}

impl Store {
    pub fn start(record: &Record) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let store = Self {
            state: Arc::default(),
            record: record.clone(),
            address: listener.local_addr()?,
        };
        store.lock().rev = 100;
        let serving = store.clone();
        http::serve(listener, move |request, stream| {
            serving.handle(request, stream)
        });
        let expiring = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(20));
                expiring.expire();
            }
        });
        Ok(store)
    }

    /// Answers all calls with 503, or serves them again. Leases run out
    /// meanwhile.
    pub fn set_down(&self, down: bool) {
        let mut state = self.lock();
        state.down = down;
        self.record.line(&format!("platform: store down = {down}"));
        self.state.1.notify_all();
    }

    pub fn set_late(&self, late: Option<Late>) {
        self.record.line(&match late {
            Some(late) => format!(
                "platform: {} in 100 writes are not answered and done {} ms later",
                late.share_percent,
                late.delay.as_millis()
            ),
            None => "platform: writes are answered again".to_owned(),
        });
        let mut state = self.lock();
        (state.writes, state.lost) = (0, 0);
        state.late = late;
    }

    /// The first write of each key with a prefix is not answered, and done
    /// later.
    pub fn lose_first(&self, prefix: &str, delay: Duration) {
        let mut state = self.lock();
        (state.writes, state.lost) = (0, 0);
        state.first = Some((prefix.to_owned(), delay));
    }

    /// Answers all writes again. Returns how many were lost, and how many
    /// there were.
    pub fn stop_losing(&self) -> (u64, u64) {
        let mut state = self.lock();
        state.first = None;
        (state.lost, state.writes)
    }

    /// Writes a key as the operator or a server does.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.lock();
        state.write(key, Some((value.as_bytes().to_vec(), 0)));
        self.state.1.notify_all();
    }

    pub fn get(&self, key: &str) -> Option<Vec<u8>> {
        self.lock().items.get(key).map(|item| item.value.clone())
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.0.lock().unwrap_or_else(|e| e.into_inner())
    }

    fn expire(&self) {
        let mut state = self.lock();
        let now = Instant::now();
        let ended: Vec<u64> = state
            .leases
            .iter()
            .filter(|(_, lease)| lease.ends_at <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in ended {
            state.end_lease(id);
        }
        self.state.1.notify_all();
    }

    fn handle(
        &self,
        request: Request,
        stream: &mut TcpStream,
    ) -> io::Result<Done> {
        {
            let state = self.lock();
            // Busy while it is down, which means that nothing was done.
            if state.down {
                drop(state);
                return json(stream, 503, "{}");
            }
        }
        let path = request.path.as_str();
        if let Some(id) = path.strip_prefix("/-/kv-keep/") {
            return self.keep(id, stream);
        }
        if let Some(id) = path.strip_prefix("/-/kv-lease-end/") {
            self.lock().end_lease(id.parse().unwrap_or(0));
            self.state.1.notify_all();
            return json(stream, 200, "{}");
        }
        match path {
            "/-/kv-key" => self.read_key(&request, stream),
            "/-/kv-range" => self.read_range(&request, stream),
            "/-/kv-watch" => self.watch(&request, stream),
            "/-/kv-lease" => self.grant(&request, stream),
            "/-/kv-txn" => self.txn(&request, stream),
            _ => json(stream, 400, "{}"),
        }
    }

    fn keep(&self, id: &str, stream: &mut TcpStream) -> io::Result<Done> {
        let id = id.parse().unwrap_or(0);
        let mut state = self.lock();
        let Some(lease) = state.leases.get_mut(&id) else {
            drop(state);
            return json(stream, 404, "{}");
        };
        lease.ends_at = Instant::now() + lease.ttl;
        let ttl = lease.ttl.as_millis();
        drop(state);
        json(stream, 200, &format!("{{\"ttl_ms\":{ttl}}}"))
    }

    fn grant(
        &self,
        request: &Request,
        stream: &mut TcpStream,
    ) -> io::Result<Done> {
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        let ttl_ms = body.get("ttl_ms").number().clamp(1_000, 600_000);
        let mut state = self.lock();
        state.last_lease += 1;
        let id = state.last_lease;
        let ttl = Duration::from_millis(ttl_ms);
        let ends_at = Instant::now() + ttl;
        state.leases.insert(id, Lease { ttl, ends_at });
        drop(state);
        json(
            stream,
            200,
            &format!("{{\"lease\":{id},\"ttl_ms\":{ttl_ms}}}"),
        )
    }

    fn read_key(
        &self,
        request: &Request,
        stream: &mut TcpStream,
    ) -> io::Result<Done> {
        let key = request.query("key");
        let state = self.lock();
        let as_of = state.rev;
        let found = state.items.get(&key).cloned();
        drop(state);
        match found {
            Some(item) => {
                let mut text = encode(&key, &item);
                text.pop();
                json(stream, 200, &format!("{text},\"as_of\":{as_of}}}"))
            }
            None => json(stream, 404, "{}"),
        }
    }

    fn read_range(
        &self,
        request: &Request,
        stream: &mut TcpStream,
    ) -> io::Result<Done> {
        let (prefix, after) =
            (request.query("prefix"), request.query("after"));
        let state = self.lock();
        let as_of = state.rev;
        let all = state.items.iter().filter(|(key, _)| {
            key.starts_with(&prefix) && key.as_str() > after.as_str()
        });
        let all: Vec<String> = all.map(|(k, item)| encode(k, item)).collect();
        drop(state);
        let more = all.len() > 500;
        let items = all[..all.len().min(500)].join(",");
        json(
            stream,
            200,
            &format!(
                "{{\"items\":[{items}],\"has_more\":{more},\"as_of\":{as_of}}}"
            ),
        )
    }

    fn watch(
        &self,
        request: &Request,
        stream: &mut TcpStream,
    ) -> io::Result<Done> {
        let prefix = request.query("prefix");
        let after: u64 = request.query("after").parse().unwrap_or(0);
        let wait_ms: u64 = request.query("wait_ms").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let mut state = self.lock();
        loop {
            if state.down {
                drop(state);
                return json(stream, 503, "{}");
            }
            let events: Vec<String> = state
                .log
                .iter()
                .filter(|(rev, key, _)| {
                    *rev > after && key.starts_with(&prefix)
                })
                .map(|(rev, key, item)| match item {
                    Some(item) => encode(key, item),
                    None => format!(
                        "{{\"key\":{},\"rev\":{rev},\"tombstone\":true}}",
                        quote(key)
                    ),
                })
                .collect();
            let now = Instant::now();
            if !events.is_empty() || now >= until {
                let as_of = state.rev;
                drop(state);
                let events = events.join(",");
                return json(
                    stream,
                    200,
                    &format!("{{\"events\":[{events}],\"as_of\":{as_of}}}"),
                );
            }
            let wait = until - now;
            state = match self.state.1.wait_timeout(state, wait) {
                Ok((state, _)) => state,
                Err(error) => error.into_inner().0,
            };
        }
    }

    fn txn(
        &self,
        request: &Request,
        stream: &mut TcpStream,
    ) -> io::Result<Done> {
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        let late = {
            let mut state = self.lock();
            state.writes += 1;
            let keys = keys_of(&body);
            let first = state.first.clone();
            let first = first.filter(|(prefix, _)| {
                keys.starts_with(prefix) && !state.seen.contains(&keys)
            });
            if let Some((_, delay)) = &first {
                state.seen.push(keys);
                state.lost += 1;
                state.late_once = Some(*delay);
            }
            let (writes, lost) = (state.writes, state.lost);
            let late = state.late.filter(|late| {
                // Drawn by the number of the write, and never above the share.
                let share = late.share_percent;
                mix(writes) % 100 < share
                    && (lost + 1) * 100 <= writes * share
            });
            state.lost += u64::from(late.is_some());
            let once = state.late_once.take();
            late.or(once.map(|delay| Late { share_percent: 0, delay }))
        };
        if let Some(late) = late {
            let store = self.clone();
            let keys = keys_of(&body);
            self.record.line(&format!(
                "platform: write of {keys} gets no answer now"
            ));
            thread::spawn(move || {
                thread::sleep(late.delay);
                let written = store.apply(&body);
                let done = matches!(written, Written::Done(_));
                store.record.line(&format!(
                    "platform: late write of {keys}: done = {done}"
                ));
            });
            // The connection returns nothing further.
            thread::sleep(Duration::from_secs(30));
            return Ok(Done::Close);
        }
        match self.apply(&body) {
            Written::Done(rev) => {
                json(stream, 200, &format!("{{\"rev\":{rev}}}"))
            }
            Written::Conflict => json(stream, 412, "{\"items\":[]}"),
            Written::NoLease => json(stream, 404, "{}"),
        }
    }

    fn apply(&self, body: &Json) -> Written {
        let mut state = self.lock();
        for row in body.get("precondition").list() {
            let item = state.items.get(row.get("key").text());
            let rev = item.map_or(0, |item| item.rev);
            if rev != row.get("rev").number() {
                return Written::Conflict;
            }
        }
        let puts = body.get("puts").list();
        let leases = puts.iter().map(|row| row.get("lease").number());
        let mut leases = leases.filter(|lease| *lease != 0);
        if leases.any(|lease| !state.leases.contains_key(&lease)) {
            return Written::NoLease;
        }
        state.rev += 1;
        for row in puts {
            let value = unbase64(row.get("value").text());
            let lease = row.get("lease").number();
            state.put_at(row.get("key").text(), Some((value, lease)));
        }
        for key in body.get("deletes").list() {
            state.put_at(key.text(), None);
        }
        let rev = state.rev;
        drop(state);
        self.state.1.notify_all();
        Written::Done(rev)
    }
}

impl State {
    fn write(&mut self, key: &str, value: Option<(Vec<u8>, u64)>) {
        self.rev += 1;
        self.put_at(key, value);
    }

    /// Changes a key at the present revision.
    fn put_at(&mut self, key: &str, value: Option<(Vec<u8>, u64)>) {
        let rev = self.rev;
        let created = self.items.get(key).map_or(rev, |item| item.created);
        let item = value.map(|(value, lease)| Item {
            value,
            rev,
            created,
            lease,
        });
        match &item {
            Some(item) => {
                self.items.insert(key.to_owned(), item.clone());
            }
            None if self.items.remove(key).is_none() => return,
            None => {}
        }
        self.log.push((rev, key.to_owned(), item));
    }

    fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| id != 0 && item.lease == id)
            .map(|(key, _)| key.clone())
            .collect();
        for key in keys {
            self.write(&key, None);
        }
    }
}

/// Spreads numbers.
fn mix(number: u64) -> u64 {
    let mixed = number.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    (mixed ^ (mixed >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9) >> 32
}

fn keys_of(body: &Json) -> String {
    let puts = body.get("puts").list().iter();
    let keys: Vec<&str> = puts.map(|row| row.get("key").text()).collect();
    keys.join(" ")
}

fn encode(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":{},\"value\":\"{}\",\"rev\":{},\"created\":{},\"lease\":{}}}",
        quote(key),
        base64(&item.value),
        item.rev,
        item.created,
        item.lease
    )
}

fn json(stream: &mut TcpStream, status: u16, body: &str) -> io::Result<Done> {
    // About the usual time of an answer.
    thread::sleep(Duration::from_millis(4));
    let headers = "content-type: application/json\r\n";
    respond(stream, status, headers, body.as_bytes())
}
