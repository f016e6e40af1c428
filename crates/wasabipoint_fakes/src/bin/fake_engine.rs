//! Runs the fake engine as a process.

use wasabipoint_fakes::{FakeEngine, engine_options, print_address_and_serve};

#[tokio::main]
async fn main() -> std::io::Result<()> {
    let fake = FakeEngine::start(engine_options().run()).await?;
    match print_address_and_serve(fake.into_server()).await {}
}
