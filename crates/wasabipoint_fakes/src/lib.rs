//! Stand-ins for the platform's parts: model engine, plain service, weight store and VM list.
//! Each runs in a process of its own or inside a test, and switches faults at run time.

mod engine;
mod faults;
mod platform;
mod server;
mod service;
mod slots;
mod store;

pub use engine::{
    EngineOptions, ExitMode, FakeEngine, HistoryEvent, HistoryKind, answer_text, chat_text,
    completion_text, engine_options, prefix_hashes,
};
pub use faults::{EngineFaults, ResponseFaults};
pub use platform::{FakePlatform, PlatformOptions, VmState, platform_options};
pub use server::{FakeServer, announce_and_wait};
pub use service::{FakeService, ServiceOptions, service_options};
pub use store::{FakeStore, StoreOptions, store_options};
