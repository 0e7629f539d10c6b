//! Parses the HTTP examples of the interface page.

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Response, StatusCode};

/// Headers that depend on the connection and are not documented.
const CONNECTION_HEADERS: [&str; 4] = ["content-length", "date", "host", "transfer-encoding"];

/// A documented request and its response.
#[derive(Debug, Clone)]
pub struct Exchange {
    /// The heading above the example.
    pub name: String,
    /// The documented request.
    pub request: Message,
    /// The documented response.
    pub response: Message,
}

/// An HTTP request or response.
#[derive(Debug, Clone)]
pub struct Message {
    /// The request line, or HTTP version and status.
    pub start: String,
    /// All headers, undocumented ones included.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
}

/// Returns all examples of a page in document order.
pub fn exchanges(page: &str) -> Vec<Exchange> {
    let mut exchanges = Vec::new();
    let mut name = String::new();
    let mut request = None;
    let mut lines = page.lines();
    while let Some(line) = lines.next() {
        if let Some(heading) = line.strip_prefix("#### ") {
            assert!(request.is_none(), "{name}: request without a response");
            heading.clone_into(&mut name);
        }
        if line != "```http" {
            continue;
        }
        let block: Vec<&str> = lines.by_ref().take_while(|line| *line != "```").collect();
        let message = Message::read(&block);
        match request.take() {
            None => request = Some(message),
            Some(request) => exchanges.push(Exchange {
                name: name.clone(),
                request,
                response: message,
            }),
        }
    }
    assert!(request.is_none(), "{name}: request without a response");
    exchanges
}

impl Message {
    /// Parses the lines of an example; the body of an event stream ends with an empty line.
    fn read(block: &[&str]) -> Self {
        let (start, rest) = block
            .split_first()
            .expect("example should have a first line");
        let empty = rest.iter().position(|line| line.is_empty());
        let (head, body) = rest.split_at(empty.unwrap_or(rest.len()));
        let mut headers = HeaderMap::new();
        for line in head {
            let (name, value) = line.split_once(": ").expect("line should be a header");
            let name: HeaderName = name.parse().expect("header name should be valid");
            headers.insert(name, value.parse().expect("header value should be valid"));
        }
        let mut body = body.get(1..).unwrap_or_default().join("\n");
        if headers.get("content-type") == Some(&HeaderValue::from_static("text/event-stream")) {
            body.push_str("\n\n");
        }
        Self {
            start: (*start).to_owned(),
            headers,
            body: body.into(),
        }
    }

    /// Converts a recorded request.
    pub fn from_request(head: &http::request::Parts, body: Bytes) -> Self {
        Self {
            start: format!("{} {} HTTP/1.1", head.method, head.uri),
            headers: head.headers.clone(),
            body,
        }
    }

    /// Converts a received response.
    pub fn from_response(head: &http::response::Parts, body: Bytes) -> Self {
        Self {
            start: format!("HTTP/1.1 {}", head.status.as_u16()),
            headers: head.headers.clone(),
            body,
        }
    }

    /// Returns the response that this example shows.
    pub fn to_response(&self) -> Response<Bytes> {
        let status = self
            .start
            .split(' ')
            .nth(1)
            .expect("start line should have a status");
        let status: StatusCode = status.parse().expect("start line should have a status");
        let mut response = Response::new(self.body.clone());
        *response.status_mut() = status;
        *response.headers_mut() = self.headers.clone();
        response
    }

    /// Returns the method of a request.
    pub fn method(&self) -> Method {
        let method = self
            .start
            .split(' ')
            .next()
            .expect("start line should have a valid method");
        method
            .parse()
            .expect("start line should have a valid method")
    }

    /// Returns the path and query of a request.
    pub fn path(&self) -> &str {
        self.start
            .split(' ')
            .nth(1)
            .expect("start line should have a path")
    }

    /// Returns a header's value; panics if it is missing.
    pub fn text(&self, name: &str) -> &str {
        let value = self
            .headers
            .get(name)
            .unwrap_or_else(|| panic!("header {name} is missing"));
        value.to_str().expect("text")
    }

    /// Returns a header's value as a number; `None` if it is missing.
    pub fn number(&self, name: &str) -> Option<u64> {
        let value = self.headers.get(name)?.to_str().expect("text");
        Some(value.parse().expect("header value should be a number"))
    }

    /// Asserts that a message equals this example. JSON bodies are compared as values, and an
    /// empty documented body matches any body.
    pub fn assert_matches(&self, name: &str, other: &Self) {
        assert_eq!(self.start, other.start, "{name}: {:?}", other.body);
        assert_eq!(
            self.documented_headers(),
            other.documented_headers(),
            "{name}"
        );
        let json = |bytes: &[u8]| serde_json::from_slice::<serde_json::Value>(bytes);
        match (json(&self.body), json(&other.body)) {
            (Ok(expected), Ok(other)) => assert_eq!(expected, other, "{name}"),
            _ if self.body.is_empty() => (),
            _ => assert_eq!(self.body, other.body, "{name}"),
        }
    }

    /// Returns the headers without those of the connection.
    fn documented_headers(&self) -> HeaderMap {
        let mut headers = self.headers.clone();
        for name in CONNECTION_HEADERS {
            headers.remove(name);
        }
        headers
    }
}
