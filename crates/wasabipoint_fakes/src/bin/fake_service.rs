//! The fake service as a process.

use wasabipoint_fakes::{FakeService, announce_and_wait, service_options};

#[tokio::main]
async fn main() -> std::io::Result<()> {
    let fake = FakeService::start(service_options().run()).await?;
    match announce_and_wait(fake.into_server()).await {}
}
