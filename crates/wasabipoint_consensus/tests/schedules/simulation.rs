//! Simulation of members, disks, messages and clients under a seeded scheduler.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;

use rand::rngs::StdRng;
use rand::seq::{IndexedRandom, SliceRandom};
use rand::{Rng, SeedableRng};
use wasabipoint_consensus::{
    Core, CoreConfig, DiskId, Effect, Entry, MembershipChange, Message, Payload, SharedBytes,
};
use wasabipoint_kernel::MemberId;

use crate::disk::{Disk, DurableStep, split_into_steps};
use crate::oracle::Oracle;

/// Number of applied entries between snapshots. It is small so that members that were down need a
/// snapshot to catch up.
const SNAPSHOT_ENTRIES: u64 = 12;
const CLIENTS: usize = 4;
/// Maximum number of client calls; bounds the work of the linearizability checker.
const MAX_CALLS: u64 = 1_500;

/// State machine with one register and a digest of all applied entries.
#[derive(Default, Clone)]
struct Register {
    value: u64,
    digest: u64,
    index: u64,
}

impl Register {
    fn apply(&mut self, entry: &Entry) {
        let mut hasher = DefaultHasher::new();
        (self.digest, entry.index, entry.term).hash(&mut hasher);
        if let Payload::Command(command) = &entry.payload {
            self.value = u64::from_le_bytes(command[..].try_into().unwrap());
            self.value.hash(&mut hasher);
        }
        self.digest = hasher.finish();
        self.index = entry.index;
    }

    fn encode(&self, padding: usize) -> Vec<u8> {
        let words = [self.value, self.digest, self.index];
        let mut bytes: Vec<u8> = words.iter().flat_map(|w| w.to_le_bytes()).collect();
        bytes.resize(bytes.len() + padding, 0);
        bytes
    }

    fn decode(bytes: &[u8]) -> Self {
        let word = |at: usize| u64::from_le_bytes(bytes[at..at + 8].try_into().unwrap());
        Self {
            value: word(0),
            digest: word(8),
            index: word(16),
        }
    }
}

fn address_of(id: u64) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], id as u16))
}

#[derive(Default)]
struct Node {
    disk_id: u64,
    disk: Disk,
    /// Number and steps of the write in progress. They become durable when it completes, or partly
    /// at a crash.
    batch: Option<(u64, Vec<DurableStep>)>,
    core: Option<Core>,
    register: Register,
    /// Term and client call of each proposed entry, by index.
    pending_writes: BTreeMap<u64, (u64, usize)>,
    /// Percentage of ticks that this member misses, at least 10; at 100 its clock stands still.
    slowness_percent: u32,
    is_joining: bool,
    has_lost_disk: bool,
    is_refused_by_peers: bool,
    /// Members whose addresses it received when it joined.
    known_addresses: BTreeSet<u64>,
    /// Members that have sent it a message since its last start.
    connected_senders: BTreeSet<u64>,
}

impl Node {
    /// Returns whether messages to a member can be delivered. Consensus identifies members only by
    /// id, but a real transport also needs an address.
    fn has_address_of(&self, core: &Core, to: MemberId, initial_member_count: u64) -> bool {
        to.0 <= initial_member_count
            || self.known_addresses.contains(&to.0)
            || self.connected_senders.contains(&to.0)
            || core.configuration().addresses.contains_key(&to)
    }
}

struct Client {
    process: usize,
    /// The member that received the call.
    member: u64,
    call: Option<usize>,
}

pub(crate) struct Simulation {
    rng: StdRng,
    initial_member_count: u64,
    snapshot_padding: usize,
    nodes: BTreeMap<u64, Node>,
    in_flight_messages: Vec<Message>,
    blocked_links: BTreeSet<(u64, u64)>,
    pub(crate) message_loss_percent: u32,
    /// Probability that a member crashes instead of completing a batch of writes.
    pub(crate) crash_percent: u32,
    clients: Vec<Client>,
    next_value: u64,
    call_limit: u64,
    pub(crate) oracle: Oracle,
}

impl Simulation {
    pub(crate) fn new(seed: u64, initial_member_count: u64, snapshot_padding: usize) -> Self {
        let mut oracle = Oracle::default();
        let client = |_| Client {
            process: oracle.new_process(),
            member: 0,
            call: None,
        };
        let clients = (0..CLIENTS).map(client).collect();
        let mut simulation = Self {
            rng: StdRng::seed_from_u64(seed),
            initial_member_count,
            snapshot_padding,
            nodes: BTreeMap::new(),
            in_flight_messages: Vec::new(),
            blocked_links: BTreeSet::new(),
            message_loss_percent: 0,
            crash_percent: 0,
            clients,
            next_value: 1,
            call_limit: MAX_CALLS,
            oracle,
        };
        for id in 1..=initial_member_count {
            simulation.add_node(id);
        }
        simulation
    }

    fn add_node(&mut self, id: u64) {
        let node = Node {
            disk_id: self.rng.random(),
            is_joining: id > self.initial_member_count,
            ..Node::default()
        };
        self.nodes.insert(id, node);
        self.start(id);
    }

    fn start(&mut self, id: u64) {
        let seed = self.rng.random();
        let node = self.nodes.get_mut(&id).unwrap();
        let config = CoreConfig {
            member: MemberId(id),
            disk: DiskId(node.disk_id),
            initial_members: (1..=self.initial_member_count).map(MemberId).collect(),
            is_joining: node.is_joining,
            trailing_entries: SNAPSHOT_ENTRIES / 2,
            // Two to six entries of the simulation, whose commands have eight bytes.
            trailing_bytes: 48 + (self.snapshot_padding % 100) as u64,
            seed,
        };
        node.register = Register::default();
        node.core = Some(Core::new(config, node.disk.recover()));
        self.process_outputs(id);
    }

    /// Crashes a member after the given number of steps of its write in progress became durable.
    pub(crate) fn crash(&mut self, id: u64, durable_steps: usize) {
        let Some(node) = self.nodes.get_mut(&id) else {
            return;
        };
        node.core = None;
        node.pending_writes.clear();
        node.connected_senders.clear();
        if let Some((_, steps)) = node.batch.take() {
            for step in steps.into_iter().take(durable_steps) {
                node.disk
                    .apply(step, |entry, prev| self.oracle.record_written(entry, prev));
            }
        }
        for client in &mut self.clients {
            if client.member == id && client.call.take().is_some() {
                client.process = self.oracle.new_process();
            }
        }
    }

    pub(crate) fn restart(&mut self, id: u64) {
        if self
            .nodes
            .get(&id)
            .is_some_and(|n| n.core.is_none() && !n.is_refused_by_peers)
        {
            self.start(id);
        }
    }

    /// Restarts a member with an empty disk under its old id, unless too few intact disks would
    /// remain.
    pub(crate) fn lose_disk(&mut self, id: u64) {
        let cores = self.nodes.values().filter_map(|n| n.core.as_ref());
        let current = cores.map(Core::configuration);
        let possible = self.oracle.possible_configurations();
        let has_started = !possible.is_empty();
        let is_tolerable = has_started
            && possible.into_iter().chain(current).all(|configuration| {
                let voters = configuration.voters.keys();
                let healthy = voters.filter(|v| v.0 != id && !self.nodes[&v.0].has_lost_disk);
                configuration.voters.is_empty() || healthy.count() >= configuration.quorum()
            });
        if !is_tolerable || self.nodes.get(&id).is_none_or(|n| n.has_lost_disk) {
            return;
        }
        self.crash(id, 0);
        let disk_id = self.rng.random();
        let node = self.nodes.get_mut(&id).unwrap();
        node.disk = Disk::default();
        node.disk_id = disk_id;
        node.has_lost_disk = true;
        self.start(id);
    }

    /// Tells a member that another one lost its disk, although it did not.
    pub(crate) fn report_as_lost(&mut self, reporter: u64, member: u64) {
        // The members that bootstrap without it may refuse it.
        self.nodes.get_mut(&member).unwrap().has_lost_disk = true;
        self.step(reporter, |core| core.record_lost_disk(MemberId(member)));
    }

    pub(crate) fn ids(&self) -> Vec<u64> {
        self.nodes.keys().copied().collect()
    }

    pub(crate) fn block_link(&mut self, from: u64, to: u64) {
        self.blocked_links.insert((from, to));
    }

    pub(crate) fn isolate(&mut self, id: u64) {
        for other in self.ids() {
            self.block_link(id, other);
            self.block_link(other, id);
        }
    }

    pub(crate) fn heal(&mut self) {
        self.blocked_links.clear();
        for node in self.nodes.values_mut() {
            node.slowness_percent = 0;
        }
    }

    pub(crate) fn slow_clock(&mut self, id: u64, percent: u32) {
        if let Some(node) = self.nodes.get_mut(&id) {
            node.slowness_percent = percent;
        }
    }

    fn leaders(&self) -> Vec<u64> {
        let leads = |n: &Node| n.core.as_ref().is_some_and(Core::is_leader);
        let leaders = self.nodes.iter().filter(|(_, n)| leads(n));
        leaders.map(|(id, _)| *id).collect()
    }

    /// Returns the leader with the highest term, and that term.
    pub(crate) fn leader(&self) -> Option<(u64, u64)> {
        let term = |id: &u64| self.nodes[id].core.as_ref().map_or(0, Core::term);
        let leader = self.leaders().into_iter().max_by_key(term);
        leader.map(|id| (id, term(&id)))
    }

    /// Adds a learner, promotes one or removes a member, unless too few intact disks would remain.
    pub(crate) fn change_membership(&mut self, kind: u8, selector: usize) {
        let Some((leader, _)) = self.leader() else {
            return;
        };
        let core = self.nodes[&leader].core.as_ref().unwrap();
        let configuration = core.configuration().clone();
        let change = match kind % 3 {
            0 if configuration.members().count() < 6 => {
                let id = self.nodes.keys().last().unwrap() + 1;
                self.add_node(id);
                let known_addresses = configuration.members().map(|m| m.0);
                self.nodes.get_mut(&id).unwrap().known_addresses = known_addresses.collect();
                MembershipChange::AddLearner(MemberId(id), address_of(id))
            }
            1 if configuration.voters.len() < 5 => {
                let learners: Vec<_> = configuration.learners.iter().collect();
                let Some(learner) = learners.get(selector % learners.len().max(1)) else {
                    return;
                };
                MembershipChange::Promote(**learner)
            }
            2 => {
                let voters: Vec<_> = configuration.voters.keys().collect();
                let lost = voters.iter().find(|v| self.nodes[&v.0].has_lost_disk);
                let removed = **lost.unwrap_or(&voters[selector % voters.len()]);
                let rest = voters.iter().filter(|v| ***v != removed);
                let healthy = rest.filter(|v| !self.nodes[&v.0].has_lost_disk).count();
                if voters.len() < 3 || healthy < (voters.len() - 1) / 2 + 1 {
                    return;
                }
                MembershipChange::Remove(removed)
            }
            _ => return,
        };
        let core = self.nodes.get_mut(&leader).unwrap().core.as_mut().unwrap();
        let _ = core.change_membership(change);
        self.process_outputs(leader);
    }

    /// Runs rounds of ticks, message deliveries in random order, completed writes and client calls.
    pub(crate) fn run(&mut self, rounds: usize) {
        for _ in 0..rounds {
            let mut ids = self.ids();
            ids.shuffle(&mut self.rng);
            for id in ids {
                if self.rng.random_range(0..100) >= self.nodes[&id].slowness_percent.max(10) {
                    self.step(id, Core::tick);
                }
            }
            for _ in 0..3 {
                self.deliver_all();
                self.complete_disk_writes();
            }
            self.start_client_calls();
        }
    }

    fn step(&mut self, id: u64, input: impl FnOnce(&mut Core)) {
        if let Some(core) = self.nodes.get_mut(&id).and_then(|n| n.core.as_mut()) {
            input(core);
            self.process_outputs(id);
        }
    }

    fn deliver_all(&mut self) {
        let mut messages = std::mem::take(&mut self.in_flight_messages);
        messages.shuffle(&mut self.rng);
        for message in messages {
            let chance = self.rng.random_range(0..100);
            if chance < self.message_loss_percent
                || self.blocked_links.contains(&(message.from.0, message.to.0))
            {
                continue;
            }
            if chance >= 92 {
                // The message is delayed by one or more delivery passes, or duplicated.
                self.in_flight_messages.push(message.clone());
            }
            if chance < 96 {
                if let Some(node) = self.nodes.get_mut(&message.to.0) {
                    node.connected_senders.insert(message.from.0);
                }
                self.step(message.to.0, |core| core.receive(message));
            }
        }
    }

    fn complete_disk_writes(&mut self) {
        for id in self.ids() {
            if !self.rng.random_ratio(2, 3) {
                continue;
            }
            let is_crashing = self.rng.random_range(0..100) < self.crash_percent;
            let node = self.nodes.get_mut(&id).unwrap();
            if node.batch.is_some() && is_crashing {
                let durable_steps = self.rng.random_range(0..3);
                self.crash(id, durable_steps);
                if self.rng.random_ratio(2, 3) {
                    self.restart(id);
                }
            } else if let Some((batch, steps)) = node.batch.take() {
                for step in steps {
                    node.disk
                        .apply(step, |entry, prev| self.oracle.record_written(entry, prev));
                }
                self.step(id, |core| core.complete_writes(batch));
            }
        }
    }

    fn start_client_calls(&mut self) {
        let leaders = self.leaders();
        for client in 0..self.clients.len() {
            if self.clients[client].call.is_some() {
                // Some callers time out; the outcome of their calls remains unknown.
                if self.rng.random_ratio(1, 40) {
                    self.clients[client].call = None;
                    self.clients[client].process = self.oracle.new_process();
                }
                continue;
            }
            // Outdated leaders are called as well.
            let Some(leader) = leaders.choose(&mut self.rng).copied() else {
                return;
            };
            if self.rng.random_ratio(1, 5) && self.next_value < self.call_limit {
                let is_read = self.rng.random_ratio(1, 2);
                self.start_call(client, leader, is_read);
            }
        }
    }

    fn start_call(&mut self, client: usize, leader: u64, is_read: bool) {
        let value = self.next_value;
        self.next_value += 1;
        let process = self.clients[client].process;
        let call = self
            .oracle
            .record_call(process, (!is_read).then_some(value));
        self.clients[client].call = Some(call);
        self.clients[client].member = leader;
        let node = self.nodes.get_mut(&leader).unwrap();
        let core = node.core.as_mut().unwrap();
        let result = if is_read {
            core.request_read(call as u64)
        } else {
            let command = SharedBytes::new(value.to_le_bytes().to_vec());
            let term = core.term();
            core.propose(command).map(|index| {
                node.pending_writes.insert(index, (term, call));
            })
        };
        if result.is_err() {
            self.finish_call(call);
        }
        self.process_outputs(leader);
    }

    fn finish_call(&mut self, call: usize) {
        for client in &mut self.clients {
            client.call.take_if(|waiting| *waiting == call);
        }
    }

    fn is_call_pending(&self, call: usize) -> bool {
        self.clients.iter().any(|c| c.call == Some(call))
    }

    /// Processes the outputs of the core as the driver does after each batch of inputs.
    fn process_outputs(&mut self, id: u64) {
        let node = self.nodes.get_mut(&id).unwrap();
        let Some(mut core) = node.core.take() else {
            return;
        };
        core.flush();
        for effect in core.take_effects() {
            self.apply_effect(id, effect);
        }
        for (call, result) in core.take_read_results() {
            let call = call as usize;
            if self.is_call_pending(call) {
                if let Ok(index) = result {
                    let register = &self.nodes[&id].register;
                    assert!(register.index >= index, "state is behind the read barrier");
                    self.oracle.complete_read(call, register.value);
                }
                self.finish_call(call);
            }
        }
        let node = self.nodes.get_mut(&id).unwrap();
        if core.commit_index() - core.snapshot_index() >= SNAPSHOT_ENTRIES {
            let data = node.register.encode(self.snapshot_padding);
            core.compact(core.commit_index(), SharedBytes::new(data));
        }
        if node.batch.is_none()
            && let Some((batch, writes)) = core.take_writes()
        {
            node.batch = Some((batch, split_into_steps(writes)));
        }
        let messages = core.take_messages().into_iter();
        let (node, initial) = (&self.nodes[&id], self.initial_member_count);
        let addressed = messages.filter(|m| node.has_address_of(&core, m.to, initial));
        self.in_flight_messages.extend(addressed);
        if core.is_leader() {
            self.oracle.record_leader(core.term(), id);
        }
        let node = self.nodes.get_mut(&id).unwrap();
        if core.refusal().is_some() {
            node.is_refused_by_peers = true;
            node.batch = None;
            return;
        }
        node.core = Some(core);
    }

    fn apply_effect(&mut self, id: u64, effect: Effect) {
        let node = self.nodes.get_mut(&id).unwrap();
        match effect {
            Effect::Restore(snapshot) => {
                node.register = Register::decode(&snapshot.data);
                assert_eq!(node.register.index, snapshot.index);
            }
            Effect::Apply(entry) => {
                assert_eq!(entry.index, node.register.index + 1, "entries in order");
                node.register.apply(&entry);
                let waiting = node.pending_writes.remove(&entry.index);
                if let Some((term, call)) = waiting.filter(|(term, _)| *term == entry.term)
                    && self.is_call_pending(call)
                {
                    self.oracle.complete_write(call, entry.index, term);
                    self.finish_call(call);
                }
            }
        }
        let register = &self.nodes[&id].register;
        self.oracle.record_applied(register.index, register.digest);
    }

    /// Crashes all members at once. One of them restarts without its disk, unless too few intact
    /// disks would remain.
    fn power_off_all(&mut self) {
        for id in self.ids() {
            self.crash(id, 0);
        }
        self.in_flight_messages.clear();
        let lost = *self.ids().choose(&mut self.rng).unwrap();
        self.lose_disk(lost);
    }

    /// Ends all faults with a power failure, then checks that the cluster recovers and that no
    /// acknowledged entry is lost.
    pub(crate) fn finish_and_check(&mut self) {
        self.power_off_all();
        self.heal();
        self.message_loss_percent = 0;
        self.crash_percent = 0;
        self.call_limit = self.next_value + 200;
        for id in self.ids() {
            self.restart(id);
        }
        let reads = self.oracle.completed_reads();
        for _ in 0..60 {
            self.run(10);
            if self.oracle.completed_reads() > reads && self.leader().is_some() {
                break;
            }
        }
        assert!(
            self.oracle.completed_reads() > reads,
            "no read completes again"
        );
        // A newly elected leader learns the commit index only once its first entry is committed.
        self.call_limit = 0;
        self.run(100);
        self.check_members_agree();
        self.oracle.check_linearizability();
    }

    fn check_members_agree(&self) {
        let (leader, _) = self.leader().expect("a leader after 100 quiet rounds");
        let expected = &self.nodes[&leader].register;
        let acknowledged = self.oracle.last_acknowledged();
        assert!(
            expected.index >= acknowledged,
            "acknowledged entry {acknowledged} is lost, the leader has {}",
            expected.index
        );
        let core = self.nodes[&leader].core.as_ref().expect("the leader runs");
        for member in core.configuration().members() {
            let node = &self.nodes[&member.0];
            let is_equal = node.register.digest == expected.digest;
            assert!(
                is_equal || node.has_lost_disk,
                "member {member} does not catch up"
            );
        }
    }
}
