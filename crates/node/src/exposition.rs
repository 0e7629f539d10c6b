//! Counters and latencies as text.

use std::net::SocketAddr;

use http::header::CONTENT_TYPE;
use http::{HeaderValue, Request, Response};
use hyper::body::Incoming;

use crate::body::{self, Body};
use crate::metrics::Metrics;
use crate::server::Service;

/// Serves the counters of a process, as the text format of Prometheus has them.
pub struct Exposition {
    /// The counters.
    pub metrics: Metrics,
}

impl Service for Exposition {
    async fn serve(&self, _: Request<Incoming>, _: SocketAddr) -> Response<Body> {
        let mut response = Response::new(body::whole(self.metrics.text()));
        let media_type = HeaderValue::from_static("text/plain; version=0.0.4");
        response.headers_mut().insert(CONTENT_TYPE, media_type);
        response
    }
}
