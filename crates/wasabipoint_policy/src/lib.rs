//! Placement and routing policies, which decide on typed snapshots without any I/O. Each placement
//! or routing policy is a module that registers itself; the rules file names the policies in use.
//! [`plan_engine_changes`], the planner for engines that the leader commands, is a plain function.

#![expect(
    unsafe_code,
    reason = "distributed slices place their elements in a link section"
)]

mod allowance_queue;
mod cold_limit;
mod endpoint_availability;
mod endpoint_limit;
mod endpoint_speed;
mod endpoint_work;
mod engine_demand;
mod engine_plan;
mod hedging;
mod load_estimate;
mod load_forecast;
mod placement;
mod prompt_history;
mod prompt_suspicion;
mod quarantine_schedule;
mod routing;
mod shared_speed;
mod store_concurrency;
mod stream_origin;

pub use allowance_queue::{
    AllowanceClass, AllowanceDeal, AllowanceQueue, AllowanceTicket, BucketState,
    MAX_TICKETS_PER_ENTRY, STATEMENT_LIFETIME_MS, TicketSource, TicketVerdict,
};
pub use cold_limit::{
    COLD_PERMISSION_LIFETIME_MS, COLD_TAKEOVER_MS, ColdMargins, ColdRate, ColdSource,
    ColdStatement, MAX_COLD_MS, MAX_SHARE_HOLDERS,
};
pub use endpoint_availability::{
    AnnouncedPause, Announcement, AvailabilityChange, EndpointAvailability, MAX_PAUSE_MS,
};
pub use endpoint_limit::{
    LimitDealer, NamedLimit, PERMISSION_LIFETIME_MS, PermissionGrant, RequestAllowance,
};
pub use endpoint_speed::{
    EndpointSpeed, GAP_BATCH, GapBatch, SpeedSample, combine_speeds, has_speed_changed,
    mean_event_us,
};
pub use endpoint_work::{EndpointWork, RequestWork, ServiceWork, WorkCost, WorkView};
pub use engine_demand::EngineDemand;
pub use engine_plan::{
    ChangeCause, Deferral, EngineChange, EnginePlan, EngineView, ModelLoad, StoreBudget,
    plan_engine_changes,
};
pub use hedging::{
    AttemptGrade, Entrant, HedgeDelay, HedgeRace, HedgeRefusal, HedgeRequest, Hedging, RaceStep,
};
pub use load_estimate::{LoadEstimate, choose_lowest_cost, mean_load, mean_load_by_share};
pub use load_forecast::{EngineForecast, LoadForecast, LoadTimes};
pub use placement::{
    DemandSample, EndpointCapacity, GrantState, GrantView, LoadOption, ModelView,
    PLACEMENT_POLICIES, PlacementDecision, PlacementPlan, PlacementPlugin, PlacementPolicy,
    PlacementView, StoreView, build_placement_policy, idle_ms, is_idle, placement_policy_names,
};
pub use prompt_history::PromptHistory;
pub use prompt_suspicion::{PromptSuspicion, PromptVerdict, VerdictContext};
pub use quarantine_schedule::{
    ProbeView, QuarantineStep, QuarantineView, next_quarantine_step, probe_delay,
};
pub use routing::{
    ROUTING_POLICIES, RoutingCandidate, RoutingChoice, RoutingPlugin, RoutingPolicy,
    RoutingRequest, build_routing_policy, routing_policy_names,
};
pub use shared_speed::{MAX_SPEEDS, SharedSpeeds, StatedSpeed};
pub use store_concurrency::StoreConcurrency;
pub use stream_origin::{
    BASE_RETIREMENT_MS, BaseVersionStep, BaseVersionView, MAX_BASE_VERSION_AGE_MS,
    MAX_STREAM_LIFETIME_MS, StreamStart, add_version_costs, next_base_version, record_lifetime_ms,
};
