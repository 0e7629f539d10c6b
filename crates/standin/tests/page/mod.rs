//! Reads the examples of the page on interfaces.

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Response, StatusCode};

/// Headers that depend on the connection, and are not on the page.
const HIDDEN: [&str; 4] = ["content-length", "date", "host", "transfer-encoding"];

/// An example: what is asked, and what is answered.
#[derive(Debug, Clone)]
pub struct Exchange {
    /// The heading above it.
    pub name: String,
    /// The request.
    pub request: Message,
    /// The answer.
    pub answer: Message,
}

/// A request or an answer.
#[derive(Debug, Clone)]
pub struct Message {
    /// The first line.
    pub start: String,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

/// All examples of a page, in its order.
pub fn exchanges(page: &str) -> Vec<Exchange> {
    let mut found = Vec::new();
    let mut name = String::new();
    let mut request = None;
    let mut lines = page.lines();
    while let Some(line) = lines.next() {
        if let Some(heading) = line.strip_prefix("#### ") {
            assert!(request.is_none(), "{name}: no answer");
            heading.clone_into(&mut name);
        }
        if line != "```http" {
            continue;
        }
        let block: Vec<&str> = lines.by_ref().take_while(|line| *line != "```").collect();
        let message = Message::read(&block);
        match request.take() {
            None => request = Some(message),
            Some(request) => found.push(Exchange {
                name: name.clone(),
                request,
                answer: message,
            }),
        }
    }
    assert!(request.is_none(), "{name}: no answer");
    found
}

impl Message {
    /// Reads the lines of an example; a stream's body ends with an empty line.
    fn read(block: &[&str]) -> Self {
        let (start, rest) = block.split_first().expect("a first line");
        let empty = rest.iter().position(|line| line.is_empty());
        let (head, body) = rest.split_at(empty.unwrap_or(rest.len()));
        let mut headers = HeaderMap::new();
        for line in head {
            let (name, value) = line.split_once(": ").expect("a header");
            let name: HeaderName = name.parse().expect("a name");
            headers.insert(name, value.parse().expect("a value"));
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

    /// A request that was recorded.
    pub fn request(head: &http::request::Parts, body: Bytes) -> Self {
        Self {
            start: format!("{} {} HTTP/1.1", head.method, head.uri),
            headers: head.headers.clone(),
            body,
        }
    }

    /// An answer that was given.
    pub fn answer(head: &http::response::Parts, body: Bytes) -> Self {
        Self {
            start: format!("HTTP/1.1 {}", head.status.as_u16()),
            headers: head.headers.clone(),
            body,
        }
    }

    /// The response that this example shows.
    pub fn response(&self) -> Response<Bytes> {
        let status = self.start.split(' ').nth(1).expect("a status");
        let status: StatusCode = status.parse().expect("a status");
        let mut response = Response::new(self.body.clone());
        *response.status_mut() = status;
        *response.headers_mut() = self.headers.clone();
        response
    }

    /// The method of a request.
    pub fn method(&self) -> Method {
        let method = self.start.split(' ').next().expect("a method");
        method.parse().expect("a method")
    }

    /// The path of a request.
    pub fn path(&self) -> &str {
        self.start.split(' ').nth(1).expect("a path")
    }

    /// A header's text.
    pub fn text(&self, name: &str) -> &str {
        let value = self.headers.get(name).unwrap_or_else(|| panic!("{name}"));
        value.to_str().expect("text")
    }

    /// A header's number, if it is there.
    pub fn number(&self, name: &str) -> Option<u64> {
        let value = self.headers.get(name)?.to_str().expect("text");
        Some(value.parse().expect("a number"))
    }

    /// Checks that another message says the same as this example.
    pub fn same(&self, name: &str, other: &Self) {
        assert_eq!(self.start, other.start, "{name}: {:?}", other.body);
        assert_eq!(self.shown(), other.shown(), "{name}");
        let json = |bytes: &[u8]| serde_json::from_slice::<serde_json::Value>(bytes);
        match (json(&self.body), json(&other.body)) {
            (Ok(own), Ok(other)) => assert_eq!(own, other, "{name}"),
            _ if self.body.is_empty() => (),
            _ => assert_eq!(self.body, other.body, "{name}"),
        }
    }

    /// The headers that stand on the page.
    fn shown(&self) -> HeaderMap {
        let mut headers = self.headers.clone();
        for name in HIDDEN {
            headers.remove(name);
        }
        headers
    }
}
