//! Configuration of a fleet.

/// Whether engines reject commands with stale fencing tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineFencing {
    /// Engines reject stale tokens.
    Checked,
    /// Engines execute every command.
    Ignored,
}

/// Processes of a fleet and the example configuration that it serves.
#[derive(Debug, Clone)]
pub struct FleetConfig {
    pub(crate) example: String,
    pub(crate) inventory: Option<String>,
    pub(crate) rules: Option<String>,
    pub(crate) failure_domains: Vec<String>,
    pub(crate) control_members: u64,
    pub(crate) entries: usize,
    pub(crate) engines: usize,
    pub(crate) services: usize,
    pub(crate) service_name: String,
    pub(crate) engine_memory_mib: u64,
    pub(crate) engine_token_ms: u64,
    pub(crate) engine_load_ms: u64,
    pub(crate) fencing: EngineFencing,
    pub(crate) drain_grace_ms: u64,
    pub(crate) has_control_proxies: bool,
}

impl FleetConfig {
    /// Returns a small fleet of the Delta example: 3 control members, 2 entry processes, 2 engines
    /// and 1 booking endpoint.
    pub fn delta() -> Self {
        Self {
            example: "delta".to_owned(),
            inventory: None,
            rules: None,
            failure_domains: ["Tanta", "Mansoura", "Zagazig", "Banha"]
                .map(str::to_owned)
                .to_vec(),
            control_members: 3,
            entries: 2,
            engines: 2,
            services: 1,
            service_name: "booking".to_owned(),
            engine_memory_mib: 80_000,
            engine_token_ms: 5,
            engine_load_ms: 200,
            fencing: EngineFencing::Checked,
            drain_grace_ms: 500,
            has_control_proxies: false,
        }
    }

    /// Sets the number of control members.
    #[must_use]
    pub fn with_control_members(mut self, control_members: u64) -> Self {
        self.control_members = control_members;
        self
    }

    /// Sets the numbers of engines and of service endpoints.
    #[must_use]
    pub fn with_endpoints(mut self, engines: usize, services: usize) -> Self {
        self.engines = engines;
        self.services = services;
        self
    }

    /// Sets the number of entry processes.
    #[must_use]
    pub fn with_entries(mut self, entries: usize) -> Self {
        self.entries = entries;
        self
    }

    /// Replaces the inventory of the example.
    #[must_use]
    pub fn with_inventory(mut self, inventory: &str) -> Self {
        self.inventory = Some(inventory.to_owned());
        self
    }

    /// Replaces the rules of the example.
    #[must_use]
    pub fn with_rules(mut self, rules: &str) -> Self {
        self.rules = Some(rules.to_owned());
        self
    }

    /// Sets the times that engines take per token and per load.
    #[must_use]
    pub fn with_engine_timing(mut self, token_ms: u64, load_ms: u64) -> Self {
        self.engine_token_ms = token_ms;
        self.engine_load_ms = load_ms;
        self
    }

    /// Sets whether engines reject stale fencing tokens.
    #[must_use]
    pub fn with_fencing(mut self, fencing: EngineFencing) -> Self {
        self.fencing = fencing;
        self
    }

    /// Puts a proxy that can simulate a partition in front of each control member.
    #[must_use]
    pub fn with_control_proxies(mut self) -> Self {
        self.has_control_proxies = true;
        self
    }
}
