//! Starts a small fleet of the project's programs with stand-ins of the
//! platform, of engines and of clients, and plays one case of the review.
//!
//! `sim CASE FOLDER`: writes `FOLDER/record.txt`, and exits with 1 if the rule
//! of the case was broken, 0 if it held, 2 if the case could not run. With
//! `TROUBLE=0` in the environment the disruption is left out.

mod cases;
mod engine;
mod fleet;
mod http;
mod json;
mod kv;
mod record;
mod world;

use std::{env, path::Path, process, thread, time::Duration};

use record::Record;

fn main() {
    let args: Vec<String> = env::args().collect();
    let [_, case, folder] = &args[..] else {
        eprintln!("sim CASE FOLDER");
        process::exit(2);
    };
    let trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = match Record::create(&Path::new(folder).join("record.txt")) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("{error}");
            process::exit(2);
        }
    };
    let (name, recorded) = (case.clone(), record.clone());
    let running = thread::spawn(move || cases::run(&name, trouble, &recorded));
    while !running.is_finished() {
        thread::sleep(Duration::from_millis(50));
    }
    let (code, text) = match running.join() {
        Ok(Ok(broken)) if broken.is_empty() => (0, "the rule held".to_owned()),
        Ok(Ok(broken)) => (1, format!("BROKEN: {}", broken.join("; "))),
        Ok(Err(error)) => (2, format!("the case could not run: {error}")),
        Err(_) => (2, "the case could not run".to_owned()),
    };
    record.line(&text);
    println!("{case}: {text}");
    process::exit(code);
}
