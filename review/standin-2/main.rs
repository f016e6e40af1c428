//! Cases of the second review. Starts the programs of the deploy file with small stand-ins for the
//! platform, the servers and the clients, and writes what was sent, answered and run.
//!
//! Usage: `standin-2 CASE FOLDER-FOR-RECORD`. `TROUBLE=0` leaves the disruption out.
//! Exit code: 0 the rule held, 1 it was broken, 2 the case could not run.

mod cases;
mod fleet;
mod http;
mod record;

use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let (Some(case), Some(folder)) = (arguments.get(1), arguments.get(2)) else {
        eprintln!("usage: standin-2 CASE FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = match record::Record::create(folder) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("the record cannot be created: {error}");
            return ExitCode::from(2);
        }
    };
    match cases::run(case, has_trouble, &record) {
        Ok(true) => {
            record.line("verdict: the rule held");
            ExitCode::SUCCESS
        }
        Ok(false) => {
            record.line("verdict: the rule was broken");
            ExitCode::from(1)
        }
        Err(error) => {
            record.line(&format!("verdict: the case could not run: {error}"));
            ExitCode::from(2)
        }
    }
}
