//! Plays one case: `standin CASE`, from the repository's root. The record goes to
//! `review/N/record.txt`, where N is the case's folder, given as second argument.
//! Exit status: 0 if the rule held, 1 if it was broken, 2 if the case couldn't run.

mod common;
mod founder;
mod members;
mod poison;
mod unreadable;

use std::path::{Path, PathBuf};

use common::{CANNOT_RUN, Record};

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let (Some(case), Some(folder)) = (arguments.get(1), arguments.get(2)) else {
        println!("usage: standin CASE FOLDER");
        std::process::exit(CANNOT_RUN);
    };
    let root = std::env::current_dir().expect("current folder");
    let record = Record::create(&Path::new(folder).join("record.txt"));
    let work: PathBuf =
        std::env::temp_dir().join(format!("teasellever-review-{}", std::process::id()));
    std::fs::create_dir_all(&work).expect("temporary folder");
    common::watch_time();
    let broken = match case.as_str() {
        "unreadable" => unreadable::play(&root, &work, &record),
        "founder" => founder::play(&root, &work, &record),
        "replaced" => members::replaced(&root, &work, &record),
        "retired" => members::retired(&root, &work, &record),
        "poison" => poison::play(&root, &work, &record),
        _ => {
            println!("no such case");
            std::process::exit(CANNOT_RUN);
        }
    };
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(&work);
    } else {
        println!("kept: {}", work.display());
    }
    std::process::exit(i32::from(broken));
}
