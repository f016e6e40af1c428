//! HTTP server and client of all programs: an `xitca-web` server whose handlers run on the shared
//! runtime, and a `hyper-util` client that never retries a request by itself.

mod client;
mod metered;
mod server;
mod start;

pub use client::{ClientError, HttpClient, ResponseBody};
pub use metered::{MAX_READ_BUFFER_BYTES, MeteredStream, ReadMeter};
pub use server::{
    BodyError, HttpHandler, HttpRequest, HttpResponse, HttpServer, HttpServerHandle, OutgoingBody,
    RequestBody, StreamAborted, json_response, refusal_response, text_response,
};
pub use start::run_startup_in_thread;
