use std::{fmt, net::SocketAddr, str::FromStr};

use serde::{Deserialize, Deserializer, Serialize, de::Error as _};

const SCHEME: &str = "http://";

/// Names a plain-HTTP server by the number of its IP address.
///
/// It is written `http://IP:PORT`, optionally with a path. Host names are
/// refused: a process must be able to start and to reconnect while no name
/// service answers, and a name that changes its meaning would go unnoticed
/// in a pool of open connections.
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
    /// Returns the address as text, without a slash at its end.
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
        let rest = text
            .strip_prefix(SCHEME)
            .ok_or_else(|| AddressError::new(Cause::Scheme, text))?;
        let end = rest.find('/').unwrap_or(rest.len());
        let socket = parse_socket(&rest[..end])?;
        let path = &rest[end..];
        let bad = |c: char| c.is_whitespace() || "?#".contains(c);
        if path.contains(bad) {
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

/// Says why a text is no address.
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
                write!(f, "{text:?} is no address of the form http://IP:PORT")
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

/// Parses `IP:PORT` and says clearly when a host name stands there.
///
/// # Errors
///
/// If the text has no port or no IP address by number.
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
    let only_ip = text.parse::<std::net::IpAddr>().is_ok();
    let cause = if only_ip {
        Cause::NoPort
    } else {
        Cause::HostName
    };
    Err(AddressError::new(cause, text))
}

/// Deserializes one `IP:PORT`, for `#[serde(deserialize_with)]`.
pub(crate) fn socket<'de, D>(deserializer: D) -> Result<SocketAddr, D::Error>
where
    D: Deserializer<'de>,
{
    let text = String::deserialize(deserializer)?;
    parse_socket(&text).map_err(D::Error::custom)
}

/// Deserializes one `IP:PORT` that may be left out.
pub(crate) fn optional_socket<'de, D>(
    deserializer: D,
) -> Result<Option<SocketAddr>, D::Error>
where
    D: Deserializer<'de>,
{
    let one = Option::<Socket>::deserialize(deserializer)?;
    Ok(one.map(|one| one.0))
}

/// Deserializes a list of `IP:PORT`.
pub(crate) fn sockets<'de, D>(
    deserializer: D,
) -> Result<Vec<SocketAddr>, D::Error>
where
    D: Deserializer<'de>,
{
    let list = Vec::<Socket>::deserialize(deserializer)?;
    Ok(list.into_iter().map(|one| one.0).collect())
}

struct Socket(SocketAddr);

impl<'de> Deserialize<'de> for Socket {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        socket(d).map(Socket)
    }
}
