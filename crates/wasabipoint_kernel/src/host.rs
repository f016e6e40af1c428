//! The normal form of host names.

/// The name in a host, in the form in which hosts are compared: in small letters and without the dot
/// that ends a fully qualified name. A port is kept if the host has one.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct NormalHost(String);

impl NormalHost {
    /// Converts the host of a route, or of a request's `Host` header.
    pub fn new(host: &str) -> Self {
        let (name, port) = split_port(host);
        let name = name.strip_suffix('.').unwrap_or(name);
        let mut normal = name.to_ascii_lowercase();
        normal.push_str(port);
        Self(normal)
    }

    /// Returns the host without its port.
    #[must_use]
    pub fn without_port(&self) -> Self {
        Self(split_port(&self.0).0.to_owned())
    }
}

/// Splits a host into its name and its port with the colon. An IPv6 address has brackets.
fn split_port(host: &str) -> (&str, &str) {
    let name_end = host.rfind(']').map_or(0, |bracket| bracket + 1);
    let port_start = host[name_end..].find(':').map(|colon| name_end + colon);
    host.split_at(port_start.unwrap_or(host.len()))
}
