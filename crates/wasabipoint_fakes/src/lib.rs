//! Fake servers for tests and experiments: model engine, plain service, weight store and the
//! platform's VM list. Each runs as a separate process or inside a test, and its faults can be
//! changed at run time.

mod engine;
mod faults;
mod platform;
mod server;
mod service;
mod slots;
mod store;

pub use engine::{
    EngineOptions, ExitMode, FakeEngine, HistoryEvent, HistoryKind, chat_text, completion_text,
    engine_options, generated_text, prefix_hashes,
};
pub use faults::{EngineFaults, ResponseFaults};
pub use platform::{FakePlatform, PlatformOptions, VmState, platform_options};
pub use server::{FakeServer, print_address_and_serve};
pub use service::{FakeService, ServiceOptions, service_options};
pub use store::{FakeStore, StoreOptions, store_options};
