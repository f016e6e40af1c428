//! Identifiers: names chosen by operators, and numbers assigned by the system.

use std::fmt;

use crate::plain_data;

macro_rules! text_id {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize)]
        #[serde(transparent)]
        pub struct $name(String);

        impl $name {
            /// Creates the identifier from its text.
            pub fn new(text: impl Into<String>) -> Self {
                Self(text.into())
            }

            /// Returns the identifier's text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl std::borrow::Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }
    )*};
}

macro_rules! number_id {
    ($($(#[$doc:meta])* $name:ident($inner:ty);)*) => {$(
        plain_data! {
            copy
            $(#[$doc])*
            #[derive(Default)]
            #[serde(transparent)]
            pub struct $name(pub $inner);
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}", self.0)
            }
        }
    )*};
}

text_id! {
    /// A model in the inventory.
    ModelName;
    /// An adapter of a model in the inventory.
    AdapterName;
    /// A customer, whose rate and burst limits apply across the fleet.
    CustomerId;
    /// One instance of a model engine or plain service, to which requests are routed.
    EndpointId;
    /// An entry process.
    EntryId;
    /// A virtual machine on the platform.
    VmId;
    /// A group of VMs that may fail together.
    FailureDomain;
    /// A group of failure domains. Routes and customers may be bound to regions.
    Region;
    /// The public identifier of an API key; never the key itself.
    KeyId;
    /// An identifier that an operator assigns to a change and reuses when resending it.
    ChangeId;
    /// A route, which selects the services of a request.
    RouteName;
    /// A service, which one or more endpoints provide.
    ServiceName;
    /// The version of an endpoint's software, not of its models. Versions have no order. Empty where
    /// the platform states none.
    SoftwareVersion;
}

number_id! {
    /// A member of the control cluster. A VM that lost its disk gets a new id.
    MemberId(u64);
    /// Identifies one start of a process; it increases with every restart.
    Incarnation(u64);
    /// Orders grants. An engine that checks fencing tokens refuses commands with a smaller one.
    FencingToken(u64);
    /// The version of inventory and rules; it never decreases.
    ConfigVersion(u64);
}

plain_data! {
    copy
    /// A part of a prompt, or a whole request. Requests whose prompts share a part name it by the same
    /// id, and repeats of a request have the same digest.
    #[serde(transparent)]
    pub struct PromptPartId(pub u64);
}

impl PromptPartId {
    /// Set in the ids of whole requests, clear in those of parts.
    const REQUEST_FLAG: u64 = 1 << 63;

    /// Prefix of whole requests in text.
    const REQUEST_PREFIX: &str = "request-";

    /// Returns the id of a part that callers named so. Only 63 bits are significant.
    pub fn of_part(id: u64) -> Self {
        Self(id & !Self::REQUEST_FLAG)
    }

    /// Returns the id of a whole request with this digest, which is suspected and quarantined like a
    /// part of its prompt.
    pub fn of_request(digest: u64) -> Self {
        Self(digest | Self::REQUEST_FLAG)
    }

    /// Returns whether the id names a whole request.
    pub fn is_request(self) -> bool {
        self.0 & Self::REQUEST_FLAG != 0
    }

    /// Parses the format that `Display` writes.
    pub fn parse(text: &str) -> Option<Self> {
        let parse_hex = |text| u64::from_str_radix(text, 16).ok();
        match text.strip_prefix(Self::REQUEST_PREFIX) {
            Some(digest) => parse_hex(digest).map(Self::of_request),
            None => parse_hex(text).map(Self::of_part),
        }
    }
}

impl fmt::Display for PromptPartId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.is_request() {
            f.write_str(Self::REQUEST_PREFIX)?;
        }
        write!(f, "{:x}", self.0 & !Self::REQUEST_FLAG)
    }
}

plain_data! {
    copy
    /// Identifies one request of a caller, unique across the fleet.
    pub struct RequestId(pub u128);
}

impl RequestId {
    /// Creates a random identifier.
    pub fn random() -> Self {
        Self(rand::random())
    }

    /// Parses the format that `Display` writes.
    pub fn parse(text: &str) -> Option<Self> {
        (text.len() == 32)
            .then(|| u128::from_str_radix(text, 16).ok().map(Self))
            .flatten()
    }
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}
