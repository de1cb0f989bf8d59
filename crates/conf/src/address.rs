use std::{fmt, net::SocketAddr, str::FromStr};

use serde::{Deserialize, Deserializer, Serialize, de::Error as _};

const SCHEME: &str = "http://";

/// Base URL of a plain-HTTP server, with a numeric IP address.
///
/// The format is `http://IP:PORT`, optionally with a path. Host names are
/// rejected: a process must be able to start and to reconnect while DNS is
/// down, and a pool of open connections would not notice that a name now
/// resolves to another address.
///
/// # Example
///
/// ```
/// use pomeloslip_conf::HttpAddress;
///
/// let address: HttpAddress = "http://127.0.0.1:18001/".parse()?;
/// assert_eq!(address.as_str(), "http://127.0.0.1:18001");
/// assert_eq!(address.join("/v3/kv/txn"), "http://127.0.0.1:18001/v3/kv/txn");
/// assert_eq!(address.socket().port(), 18001);
/// assert!("http://localhost:18001".parse::<HttpAddress>().is_err());
/// # Ok::<(), pomeloslip_conf::AddressError>(())
/// ```
#[derive(Clone, Debug, Eq, PartialEq, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct HttpAddress {
    socket: SocketAddr,
    text: String,
}

impl HttpAddress {
    /// Returns the address as text, without a trailing slash.
    #[inline]
    pub fn as_str(&self) -> &str {
        &self.text
    }

    /// Returns the IP address and port.
    #[inline]
    pub fn socket(&self) -> SocketAddr {
        self.socket
    }

    /// Returns the URL of a path, which starts with `/`, on this server.
    pub fn join(&self, path: &str) -> String {
        format!("{}{path}", self.text)
    }
}

impl From<SocketAddr> for HttpAddress {
    fn from(socket: SocketAddr) -> Self {
        let text = format!("{SCHEME}{socket}");
        Self { socket, text }
    }
}

impl FromStr for HttpAddress {
    type Err = AddressError;

    fn from_str(text: &str) -> Result<Self, AddressError> {
        let remainder = text
            .strip_prefix(SCHEME)
            .ok_or_else(|| AddressError::new(Cause::Scheme, text))?;
        let path_start = remainder.find('/').unwrap_or(remainder.len());
        let socket = parse_socket(&remainder[..path_start])?;
        let path = &remainder[path_start..];
        let is_forbidden = |c: char| c.is_whitespace() || "?#".contains(c);
        if path.contains(is_forbidden) {
            return Err(AddressError::new(Cause::Path, text));
        }
        let text = text.trim_end_matches('/').to_owned();
        Ok(Self { socket, text })
    }
}

impl TryFrom<String> for HttpAddress {
    type Error = AddressError;

    fn try_from(text: String) -> Result<Self, AddressError> {
        text.parse()
    }
}

impl From<HttpAddress> for String {
    fn from(address: HttpAddress) -> String {
        address.text
    }
}

impl fmt::Display for HttpAddress {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.text)
    }
}

/// Reason why a text is not a valid address.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AddressError {
    cause: Cause,
    text: String,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Cause {
    Scheme,
    NoPort,
    HostName,
    Path,
}

impl AddressError {
    fn new(cause: Cause, text: &str) -> Self {
        let text = text.to_owned();
        Self { cause, text }
    }
}

impl fmt::Display for AddressError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = &self.text;
        match self.cause {
            Cause::Scheme => {
                write!(
                    f,
                    "{text:?} is not an address of the form http://IP:PORT"
                )
            }
            Cause::NoPort => write!(
                f,
                "{text:?} has no port; write IP:PORT, such as 10.0.0.1:8080"
            ),
            Cause::HostName => write!(
                f,
                "{text:?} is not an IP address by number with a port, such \
                 as 10.0.0.1:8080; host names are not looked up"
            ),
            Cause::Path => write!(
                f,
                "{text:?} has a query, a fragment or a space in its path"
            ),
        }
    }
}

impl std::error::Error for AddressError {}

/// Parses `IP:PORT`, with an explicit error for a host name.
///
/// # Errors
///
/// If the text has no port or no numeric IP address.
///
/// # Example
///
/// ```
/// use pomeloslip_conf::parse_socket;
///
/// assert_eq!(parse_socket("10.0.0.1:80")?.port(), 80);
/// let error = parse_socket("entry-1:80").unwrap_err();
/// assert!(error.to_string().contains("host names"));
/// # Ok::<(), pomeloslip_conf::AddressError>(())
/// ```
pub fn parse_socket(text: &str) -> Result<SocketAddr, AddressError> {
    if let Ok(socket) = text.parse() {
        return Ok(socket);
    }
    let is_ip_only = text.parse::<std::net::IpAddr>().is_ok();
    let cause = if is_ip_only {
        Cause::NoPort
    } else {
        Cause::HostName
    };
    Err(AddressError::new(cause, text))
}

/// Deserializes an `IP:PORT`, for `#[serde(deserialize_with)]`.
pub(crate) fn socket<'de, D>(deserializer: D) -> Result<SocketAddr, D::Error>
where
    D: Deserializer<'de>,
{
    let text = String::deserialize(deserializer)?;
    parse_socket(&text).map_err(D::Error::custom)
}

/// Deserializes an optional `IP:PORT`.
pub(crate) fn optional_socket<'de, D>(
    deserializer: D,
) -> Result<Option<SocketAddr>, D::Error>
where
    D: Deserializer<'de>,
{
    let socket = Option::<Socket>::deserialize(deserializer)?;
    Ok(socket.map(|socket| socket.0))
}

/// Deserializes a list of `IP:PORT`.
pub(crate) fn sockets<'de, D>(
    deserializer: D,
) -> Result<Vec<SocketAddr>, D::Error>
where
    D: Deserializer<'de>,
{
    let list = Vec::<Socket>::deserialize(deserializer)?;
    Ok(list.into_iter().map(|socket| socket.0).collect())
}

/// An `IP:PORT` that is deserialized by [`parse_socket`].
struct Socket(SocketAddr);

impl<'de> Deserialize<'de> for Socket {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        socket(d).map(Socket)
    }
}
