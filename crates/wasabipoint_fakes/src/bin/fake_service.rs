//! Runs the fake service as a process.

use wasabipoint_fakes::{FakeService, print_address_and_serve, service_options};

#[tokio::main]
async fn main() -> std::io::Result<()> {
    let fake = FakeService::start(service_options().run()).await?;
    match print_address_and_serve(fake.into_server()).await {}
}
