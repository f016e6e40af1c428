//! Runs the fake platform as a process.

use wasabipoint_fakes::{FakePlatform, platform_options, print_address_and_serve};

#[tokio::main]
async fn main() -> std::io::Result<()> {
    let fake = FakePlatform::start(platform_options().run()).await?;
    match print_address_and_serve(fake.into_server()).await {}
}
