//! A small fleet with its stand-ins, and what clients and the platform do with
//! it.

use std::{
    env, fs, io,
    path::PathBuf,
    process,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    cases::sleep_ms,
    engine::{Engine, Pace},
    fleet::Node,
    http::{self, Response},
    json::{Json, quote},
    kv::Store,
    record::Record,
};

/// The zones of the fleet.
pub const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];

/// A route of batch jobs.
#[derive(Clone, Copy)]
pub struct Route {
    pub name: &'static str,
    pub service: &'static str,
    pub max_attempts: u32,
}

/// The route of batch jobs, with the figures of the sheet of alama-hq.
pub const BATCH: Route = Route {
    name: "batch",
    service: "llm",
    max_attempts: 3,
};

impl Route {
    fn to_json(self) -> String {
        let Self {
            name,
            service,
            max_attempts,
        } = self;
        format!(
            "{{\"name\":\"{name}\",\"host\":\"a.example\",\
             \"prefix\":\"/{name}/\",\"kind\":\"batch\",\
             \"service\":\"{service}\",\"timeout_ms\":15000,\
             \"target_latency_ms\":400,\"run_target_ms\":18000,\
             \"max_attempts\":{max_attempts},\"retention_s\":60,\
             \"priority\":2}}"
        )
    }
}

/// What a fleet consists of.
pub struct Plan {
    pub fronts: usize,
    pub workers: usize,
    pub pace: Pace,
    pub routes: Vec<Route>,
    /// Service and zone of each engine.
    pub engines: Vec<(&'static str, &'static str)>,
}

impl Plan {
    /// One worker and one engine in each of three zones, and two fronts.
    pub fn usual(pace: Pace) -> Self {
        Self {
            fronts: 2,
            workers: 3,
            pace,
            routes: vec![BATCH],
            engines: ZONES.iter().map(|zone| ("llm", *zone)).collect(),
        }
    }

    fn config(&self) -> String {
        let routes = self.routes.iter().map(|route| route.to_json());
        let routes: Vec<String> = routes.collect();
        let mut services: Vec<&str> = Vec::new();
        for (service, _) in &self.engines {
            if !services.contains(service) {
                services.push(service);
            }
        }
        let services = services.iter().map(|name| {
            format!(
                "{{\"name\":\"{name}\",\"health_path\":\"/health\",\
                 \"max_conns\":370,\"protocol\":\"h1\",\"tls\":false,\
                 \"engine\":{{\"slots\":8,\"kv_capacity\":134354,\
                 \"models\":[{{\"name\":\"m\"}}]}}}}"
            )
        });
        let services: Vec<String> = services.collect();
        format!(
            "{{\"version\":7,\"routes\":[{}],\"services\":[{}],\
             \"limits\":{{\"max_header_bytes\":16384,\
             \"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\
             \"idle_timeout_ms\":15000}}}}",
            routes.join(","),
            services.join(",")
        )
    }
}

/// A folder of a run, removed at its end.
struct Folder(PathBuf);

impl Folder {
    fn create() -> io::Result<Self> {
        let name = format!("review-2-{}", process::id());
        let path = env::temp_dir().join(name);
        fs::create_dir_all(&path)?;
        Ok(Self(path))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.0);
        }
    }
}

/// The engines that are in service.
#[derive(Clone, Default)]
struct Engines(Arc<Mutex<Vec<Engine>>>);

impl Engines {
    fn lock(&self) -> MutexGuard<'_, Vec<Engine>> {
        self.0.lock().unwrap_or_else(|e| e.into_inner())
    }
}

/// A running fleet; its processes end with it.
pub struct Fleet {
    pub store: Store,
    pub fronts: Vec<Node>,
    pub workers: Vec<Node>,
    engines: Engines,
    record: Record,
    stop: Arc<AtomicBool>,
    _folder: Folder,
}

impl Fleet {
    pub fn start(plan: Plan, record: &Record) -> io::Result<Self> {
        let folder = Folder::create()?;
        let store = Store::start(record)?;
        let engines = Engines::default();
        for (number, (service, zone)) in plan.engines.iter().enumerate() {
            let id = format!("i-{number:08x}");
            let engine =
                Engine::start(&id, service, zone, plan.pace, record)?;
            engines.lock().push(engine);
        }
        store.put("op/config", &plan.config());
        let stop = Arc::new(AtomicBool::new(false));
        check_in(&store, &engines, &stop);
        let mut nodes = [Vec::new(), Vec::new()];
        let counts = [("front", plan.fronts), ("worker", plan.workers)];
        for (nodes, (role, count)) in nodes.iter_mut().zip(counts) {
            for number in 0..count {
                let name = format!("{role}-{}", number + 1);
                let zone = ZONES[number % ZONES.len()];
                let (path, at) = (&folder.0, store.address);
                let mut node = Node::new(path, &name, role, zone, at, record)?;
                node.start()?;
                nodes.push(node);
            }
        }
        let [fronts, workers] = nodes;
        let fleet = Self {
            store,
            fronts,
            workers,
            engines,
            record: record.clone(),
            stop,
            _folder: folder,
        };
        if !fleet.fronts.iter().all(Node::wait_until_ready) {
            return Err(io::Error::other("a front does not become ready"));
        }
        // The nodes find each other.
        sleep_ms(4_000);
        record.line("client: the fleet is ready");
        Ok(fleet)
    }

    fn front(&self, number: usize) -> &Node {
        &self.fronts[number % self.fronts.len()]
    }

    /// Returns the number of requests that replicas have now.
    pub fn running(&self) -> u64 {
        self.engines.lock().iter().map(Engine::running).sum()
    }

    /// Makes a call and records it.
    fn call(
        &self,
        front: usize,
        (method, target): (&str, &str),
        id: &str,
        body: &str,
    ) -> Option<Response> {
        let headers = match id {
            "" => String::new(),
            id => format!(
                "x-pomeloslip-attempt-id: {id}\r\n\
                 content-type: application/json\r\n"
            ),
        };
        let timeout = Duration::from_secs(6);
        let front = self.front(front);
        let (at, body) = (front.front, body.as_bytes());
        let result = http::call(at, method, target, &headers, body, timeout);
        let status = match &result {
            Ok(response) => response.status.to_string(),
            Err(error) => format!("no response ({error})"),
        };
        self.record.line(&format!(
            "client: {method} {target} at {}: {status}",
            front.name
        ));
        result.ok()
    }

    /// Reads all results of a job: the last status, the total, the results.
    pub fn results(&self, front: usize, job: &str) -> (u16, u64, Vec<Json>) {
        let (mut results, mut total) = (Vec::new(), 0);
        loop {
            let target = format!("/-/lots/{job}?after={}", results.len());
            let call = ("GET", target.as_str());
            let Some(response) = self.call(front, call, "", "") else {
                return (0, total, results);
            };
            if response.status != 200 {
                return (response.status, total, results);
            }
            let page = Json::parse(&response.body).unwrap_or(Json::Null);
            total = page.get("total").number();
            let new = page.get("results").list();
            results.extend_from_slice(new);
            if new.is_empty() || results.len() as u64 >= total {
                return (200, total, results);
            }
        }
    }

    /// Submits a job as a client does, again at another front until it is
    /// accepted, and reports whether it was.
    pub fn submit(&self, job: &str, items: usize) -> bool {
        (0..6).any(|attempt| {
            if attempt > 0 {
                sleep_ms(200);
            }
            self.submit_at(attempt, job, items)
        })
    }

    pub fn submit_or_fail(&self, job: &str, items: usize) -> io::Result<()> {
        match self.submit(job, items) {
            true => Ok(()),
            false => Err(io::Error::other("a job is not accepted")),
        }
    }

    /// Submits a job once and reports whether it is accepted.
    pub fn submit_at(&self, front: usize, job: &str, items: usize) -> bool {
        let target = format!("/batch/{job}");
        let body = job_body(job, items);
        let sent = self.call(front, ("POST", &target), job, &body);
        sent.is_some_and(|response| response.status == 202)
    }

    /// Ends a job and returns the status.
    pub fn end(&self, front: usize, job: &str) -> Option<u16> {
        let target = format!("/-/lots/{job}");
        let ended = self.call(front, ("DELETE", &target), "", "");
        ended.map(|response| response.status)
    }

    /// Orders to empty workers.
    pub fn retire(&self, workers: &[&str]) {
        for worker in workers {
            self.record
                .line(&format!("operator: {worker} is to be emptied"));
            let key = format!("op/retire/{worker}");
            self.store.put(&key, "{\"finish_by_s\":8}");
        }
    }

    /// Removes each worker, with its disk, as soon as it is reported as empty.
    pub fn remove_retired(&mut self, time: Duration) {
        let until = Instant::now() + time;
        while Instant::now() < until {
            sleep_ms(50);
            for worker in &mut self.workers {
                let key = format!("status/retire/{}", worker.name);
                let state = self.store.get(&key).unwrap_or_default();
                let state = String::from_utf8_lossy(&state).into_owned();
                if state.contains("complete") && !worker.is_removed {
                    self.record.line(&format!(
                        "platform: {key} is {state}: the machine is removed \
                         with its disk"
                    ));
                    worker.remove();
                }
            }
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
    }
}

/// Time between two writes of an engine's entry.
const HEARTBEAT_MS: u64 = 1_200;

/// Renews the entries of the engines, as replicas do.
fn check_in(store: &Store, engines: &Engines, stop: &Arc<AtomicBool>) {
    let (store, engines) = (store.clone(), engines.clone());
    let stop = stop.clone();
    let put = move |seq: u64| {
        for engine in engines.lock().iter() {
            store.put(&engine.key(), &engine.entry(seq));
        }
    };
    put(0);
    thread::spawn(move || {
        for seq in 1.. {
            sleep_ms(HEARTBEAT_MS);
            if stop.load(Ordering::Relaxed) {
                return;
            }
            put(seq);
        }
    });
}

fn job_body(job: &str, items: usize) -> String {
    let items: Vec<String> = (0..items)
        .map(|number| {
            format!(
                "{{\"id\":{},\"path\":\"/batch/{number}\",\"headers\":\
                 {{\"X-Pomeloslip-Model\":\"m\",\
                 \"X-Pomeloslip-Token-Count\":\"350,20\",\
                 \"X-Pomeloslip-Prompt-Prefix\":\"9c2e41:100,{number:x}a:250\"\
                 }},\"body\":\"q83vEjRWeJA=\",\"token_count\":370}}",
                quote(&format!("{}{}{number:06x}", &job[..2], &job[8..]))
            )
        })
        .collect();
    format!("{{\"items\":[{}]}}", items.join(","))
}

