//! The fake store as a process.

use wasabipoint_fakes::{FakeStore, announce_and_wait, store_options};

#[tokio::main]
async fn main() -> std::io::Result<()> {
    let fake = FakeStore::start(store_options().run()).await?;
    match announce_and_wait(fake.into_server()).await {}
}
