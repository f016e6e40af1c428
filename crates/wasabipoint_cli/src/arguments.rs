//! Command-line arguments.

use std::path::PathBuf;

use bpaf::Bpaf;

/// Operates a wasabipoint fleet
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
pub struct Arguments {
    /// Settings file with the section [operator]
    #[bpaf(short, long, argument("FILE"), fallback(PathBuf::from("operator.ini")))]
    pub(crate) settings: PathBuf,
    /// Print JSON instead of text
    #[bpaf(long)]
    pub(crate) json: bool,
    #[bpaf(external)]
    pub(crate) command: Command,
}

#[derive(Debug, Clone, Bpaf)]
pub(crate) enum Command {
    /// Apply, compare or show the inventory
    #[bpaf(command)]
    Inventory(#[bpaf(external(inventory_command))] InventoryCommand),
    /// Apply or show the rules
    #[bpaf(command)]
    Rules(#[bpaf(external(rules_command))] RulesCommand),
    /// Add, withdraw or list callers' keys
    #[bpaf(command)]
    Keys(#[bpaf(external(keys_command))] KeysCommand),
    /// Show the control members, the fleet and its configuration version
    #[bpaf(command)]
    Status,
    /// Explain why a model is where it is, or why a request went where it went or was refused
    #[bpaf(command)]
    Explain(#[bpaf(external(explain_command))] ExplainCommand),
    /// Add, promote or remove a control member
    #[bpaf(command)]
    Members(#[bpaf(external(members_command))] MembersCommand),
    /// List, quarantine or release prompt parts that crash engines
    #[bpaf(command)]
    Quarantine(#[bpaf(external(quarantine_command))] QuarantineCommand),
    /// List failure domains, take one out of service or return it
    #[bpaf(command)]
    Domains(#[bpaf(external(domains_command))] DomainsCommand),
    /// Check a settings, inventory or rules file without starting anything
    #[bpaf(command)]
    Check {
        /// The file
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Print the table of exit codes
    #[bpaf(command("exit-codes"))]
    ExitCodes,
}

#[derive(Debug, Clone, Bpaf)]
pub(crate) enum InventoryCommand {
    /// Apply an inventory file
    #[bpaf(command)]
    Apply(#[bpaf(external(apply_options))] ApplyOptions),
    /// Show what applying a file would change
    #[bpaf(command)]
    Diff {
        /// The file
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Show the inventory in force
    #[bpaf(command)]
    Show,
}

#[derive(Debug, Clone, Bpaf)]
pub(crate) enum RulesCommand {
    /// Apply a rules file
    #[bpaf(command)]
    Apply(#[bpaf(external(apply_options))] ApplyOptions),
    /// Show the rules in force
    #[bpaf(command)]
    Show,
}

/// Options of `inventory apply` and `rules apply`.
#[derive(Debug, Clone, Bpaf)]
pub(crate) struct ApplyOptions {
    /// Version that the change is based on; the current one by default
    #[bpaf(long, argument("VERSION"))]
    pub(crate) expected_version: Option<u64>,
    /// Identifier of the change; give the same one to resend after a lost answer
    #[bpaf(long, argument("ID"))]
    pub(crate) change_id: Option<String>,
    /// The file
    #[bpaf(positional("FILE"))]
    pub(crate) file: PathBuf,
}

#[derive(Debug, Clone, Bpaf)]
pub(crate) enum KeysCommand {
    /// Add a key and print it with its public name
    #[bpaf(command)]
    Add {
        /// Customer that the key belongs to
        #[bpaf(long, argument("CUSTOMER"))]
        customer: String,
        /// Identifier of the change; give the same one to resend, which prints the same key
        #[bpaf(long, argument("ID"))]
        change_id: Option<String>,
    },
    /// Withdraw a key
    #[bpaf(command)]
    Withdraw {
        /// Identifier of the change; give the same one to resend after a lost answer
        #[bpaf(long, argument("ID"))]
        change_id: Option<String>,
        /// Public name of the key, as printed by `keys add` and `keys list`
        #[bpaf(positional("NAME"))]
        id: String,
    },
    /// List the names of all valid keys
    #[bpaf(command)]
    List,
}

#[derive(Debug, Clone, Bpaf)]
pub(crate) enum QuarantineCommand {
    /// List the quarantined prompt parts with their evidence
    #[bpaf(command)]
    List,
    /// Refuse all requests with a prompt part until it is released
    #[bpaf(command)]
    Add {
        /// Id of the part in hexadecimal, as in the records of failed requests
        #[bpaf(positional("PART"))]
        part: String,
    },
    /// Serve requests with a prompt part again
    #[bpaf(command)]
    Release {
        /// Id of the part in hexadecimal, as printed by `quarantine list`
        #[bpaf(positional("PART"))]
        part: String,
    },
}

#[derive(Debug, Clone, Bpaf)]
pub(crate) enum DomainsCommand {
    /// List the failure domains and whether they are out of service
    #[bpaf(command)]
    List,
    /// Send no new requests and no model loads to the endpoints of a failure domain
    #[bpaf(command("take-out"))]
    TakeOut {
        /// Name of the failure domain
        #[bpaf(positional("NAME"))]
        domain: String,
    },
    /// Use the endpoints of a failure domain again
    #[bpaf(command)]
    Return {
        /// Name of the failure domain, as printed by `domains list`
        #[bpaf(positional("NAME"))]
        domain: String,
    },
}

#[derive(Debug, Clone, Bpaf)]
pub(crate) enum ExplainCommand {
    /// Explain the placement of a model
    #[bpaf(command)]
    Model {
        /// The model
        #[bpaf(positional("MODEL"))]
        model: String,
    },
    /// Explain the routing of a request
    #[bpaf(command)]
    Request {
        /// Address of the entry process; all known ones are asked by default
        #[bpaf(long, argument("IP:PORT"))]
        entry: Option<String>,
        /// The request, from its `x-request-id` header
        #[bpaf(positional("REQUEST"))]
        request: String,
    },
}

#[derive(Debug, Clone, Bpaf)]
pub(crate) enum MembersCommand {
    /// Add a member that receives the log but does not vote
    #[bpaf(command("add-learner"))]
    AddLearner {
        /// Member id
        #[bpaf(positional("MEMBER"))]
        member: u64,
        /// RPC address of the member
        #[bpaf(positional("IP:PORT"))]
        address: String,
    },
    /// Make a learner whose log is up to date a voter
    #[bpaf(command)]
    Promote {
        /// Member id
        #[bpaf(positional("MEMBER"))]
        member: u64,
    },
    /// Remove a member
    #[bpaf(command)]
    Remove {
        /// Member id
        #[bpaf(positional("MEMBER"))]
        member: u64,
    },
}

/// Parses the arguments of the process. Exits after printing help, the version or a usage error.
pub fn parse_arguments() -> Arguments {
    arguments().run()
}
