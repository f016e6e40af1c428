//! Access checks of customers to models and routes, on arrival and again at dispatch.

use wasabipoint_kernel::{Customer, CustomerId, ErrorKind, Refusal, RouteAccess, RouteName};
use wasabipoint_rpc::FleetView;

use crate::fleet::{Caller, FleetCache};

/// The resource that a request accesses.
#[derive(Clone)]
pub(crate) enum Resource {
    /// A model or adapter, by the name in the request.
    Model(String),
    Route(RouteName),
}

/// Looks up the customer of an authenticated caller.
pub(crate) fn find_customer<'a>(
    view: &'a FleetView,
    customer: &CustomerId,
) -> Result<&'a Customer, Refusal> {
    view.inventory
        .customers
        .get(customer)
        .ok_or_else(|| Refusal::new(ErrorKind::InvalidKey, ""))
}

/// Checks that a customer may access a resource.
pub(crate) fn check_access(
    view: &FleetView,
    customer: &CustomerId,
    resource: &Resource,
) -> Result<(), Refusal> {
    let customer = find_customer(view, customer)?;
    match resource {
        Resource::Model(name) => {
            if view.inventory.resolve(name).is_none() {
                return Err(Refusal::new(ErrorKind::ModelUnknown, ""));
            }
            if !customer.models.contains(name) {
                return Err(Refusal::new(ErrorKind::ModelNotAllowed, ""));
            }
        }
        Resource::Route(name) => {
            if !customer.routes.iter().any(|route| route == name.as_str()) {
                let detail = "the customer does not list the route";
                return Err(Refusal::new(ErrorKind::NotFound, detail));
            }
        }
    }
    Ok(())
}

/// Repeats the access check when a request leaves the queue, since its key may have been revoked
/// meanwhile.
pub(crate) fn reverify_access(
    fleet: &FleetCache,
    caller: Option<&Caller>,
    resource: &Resource,
) -> Result<(), Refusal> {
    if let Some(caller) = caller {
        let verified = fleet.verify(&caller.digest)?;
        return check_access(&fleet.view(), &verified.customer, resource);
    }
    let view = fleet.view();
    match resource {
        Resource::Route(name)
            if (view.rules.routes.get(name))
                .is_some_and(|rule| rule.access == RouteAccess::Open) =>
        {
            Ok(())
        }
        _ => Err(Refusal::new(ErrorKind::MissingKey, "")),
    }
}
