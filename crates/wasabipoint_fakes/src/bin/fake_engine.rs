//! The fake engine as a process.

use wasabipoint_fakes::{FakeEngine, announce_and_wait, engine_options};

#[tokio::main]
async fn main() -> std::io::Result<()> {
    let fake = FakeEngine::start(engine_options().run()).await?;
    match announce_and_wait(fake.into_server()).await {}
}
