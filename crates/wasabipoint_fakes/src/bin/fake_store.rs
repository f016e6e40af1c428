//! Runs the fake store as a process.

use wasabipoint_fakes::{FakeStore, print_address_and_serve, store_options};

#[tokio::main]
async fn main() -> std::io::Result<()> {
    let fake = FakeStore::start(store_options().run()).await?;
    match print_address_and_serve(fake.into_server()).await {}
}
