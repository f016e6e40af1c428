//! The stand-ins and checks of the review's scripts: `review-case NAME FOLDER`, run in the
//! repository root. Exits with 1 if a rule was broken, 0 if it held, 2 if the case couldn't run.

mod first_start;
mod fleet;
mod host_case;
mod http;
mod late_answer;
mod plain;
mod record;
mod unreadable_entry;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, name, folder] = arguments.as_slice() else {
        eprintln!("usage: review-case NAME FOLDER");
        std::process::exit(2);
    };
    let repository = std::env::current_dir().expect("the current folder exists");
    let has_trouble = std::env::var("TROUBLE").map_or(true, |trouble| trouble != "0");
    let case = match name.as_str() {
        "first-start" => first_start::run,
        "host-case" => host_case::run,
        "late-answer" => late_answer::run,
        "unreadable-entry" => unreadable_entry::run,
        _ => {
            eprintln!("there is no case {name}");
            std::process::exit(2);
        }
    };
    // The processes of the case end with it, also when it takes too long.
    std::thread::spawn(|| {
        std::thread::sleep(std::time::Duration::from_secs(115));
        fleet::kill_started();
        eprintln!("the case took too long");
        std::process::exit(2);
    });
    std::process::exit(case(&repository, folder.as_ref(), has_trouble));
}
