//! The fake platform as a process.

use wasabipoint_fakes::{FakePlatform, announce_and_wait, platform_options};

#[tokio::main]
async fn main() -> std::io::Result<()> {
    let fake = FakePlatform::start(platform_options().run()).await?;
    match announce_and_wait(fake.into_server()).await {}
}
