//! Cases of the review that are scripts: `standin CASE RECORD`, with `TROUBLE=0` for the control.
//!
//! Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.

mod http;
mod json;
mod node;
mod record;
mod server;
mod store;

mod departure;
mod grace;
mod pipeline;
mod quarantine;
mod removal;

use std::{env, fs, path::Path, process, sync::Arc, thread, time::Duration};

use record::Record;

/// Time after which a case is given up.
const LIMIT: Duration = Duration::from_secs(115);

/// What came of a case.
pub enum Verdict {
    Held,
    Broken,
    NotRun(&'static str),
}

fn main() {
    let arguments: Vec<_> = env::args().collect();
    let [_, case, record] = arguments.as_slice() else {
        eprintln!("usage: standin CASE RECORD");
        process::exit(2);
    };
    let has_trouble = env::var("TROUBLE").map_or(true, |trouble| trouble != "0");
    let folder = env::temp_dir().join(format!("review-{}", process::id()));
    fs::create_dir_all(&folder).expect("a temporary folder");
    let record = Arc::new(Record::new(Path::new(record)));
    thread::spawn(|| {
        thread::sleep(LIMIT);
        node::kill_all();
        eprintln!("the case takes too long");
        process::exit(2);
    });
    let verdict = match case.as_str() {
        "pipeline" => pipeline::run(has_trouble, &folder, &record),
        "quarantine" => quarantine::run(has_trouble, &folder, &record),
        "late-removal" => removal::run(has_trouble, &folder, &record),
        "departure" => departure::run(has_trouble, &folder, &record),
        "grace" => grace::run(has_trouble, &folder, &record),
        _ => Verdict::NotRun("no such case"),
    };
    if env::var("KEEP").is_err() {
        fs::remove_dir_all(&folder).expect("the temporary folder");
    }
    let (text, code) = match verdict {
        Verdict::Held => ("the rule held".to_owned(), 0),
        Verdict::Broken => ("THE RULE WAS BROKEN".to_owned(), 1),
        Verdict::NotRun(why) => (format!("the case could not run: {why}"), 2),
    };
    record.line(&text);
    println!("{case}, trouble {has_trouble}: {text}");
    process::exit(code);
}
