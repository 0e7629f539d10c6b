//! The HTTP service that exposes metrics in the Prometheus text format.

use std::net::SocketAddr;

use http::header::CONTENT_TYPE;
use http::{HeaderValue, Request, Response};
use hyper::body::Incoming;

use crate::body::{self, Body};
use crate::metrics::Metrics;
use crate::process_memory::ProcessMemory;
use crate::server::Service;

/// Serves the metrics of a process in the Prometheus text format.
pub struct Exposition {
    /// The metrics of this process.
    pub metrics: Metrics,
    /// The bound on the memory of this process.
    pub memory: ProcessMemory,
}

impl Service for Exposition {
    async fn serve(&self, _: Request<Incoming>, _: SocketAddr) -> Response<Body> {
        let text = self.metrics.text() + &self.memory.text();
        let mut response = Response::new(body::full(text));
        let media_type = HeaderValue::from_static("text/plain; version=0.0.4");
        response.headers_mut().insert(CONTENT_TYPE, media_type);
        response
    }
}
