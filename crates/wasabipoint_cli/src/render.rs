//! Human-readable rendering of responses and inventory changes.

use serde_json::{Value, json};
use wasabipoint_kernel::{Inventory, InventoryChange};

/// Renders a JSON value as indented text. Each element of a list takes one line.
pub(crate) fn render_value(value: &Value) -> String {
    let mut lines = Vec::new();
    render_lines(value, 0, &mut lines);
    lines.join("\n")
}

fn render_lines(value: &Value, depth: usize, lines: &mut Vec<String>) {
    let indent = "  ".repeat(depth);
    match value {
        Value::Object(fields) => {
            for (key, field) in fields {
                match field {
                    Value::Object(_) | Value::Array(_) if !is_empty_container(field) => {
                        lines.push(format!("{indent}{key}:"));
                        render_lines(field, depth + 1, lines);
                    }
                    Value::String(text) if text.contains('\n') => {
                        lines.push(format!("{indent}{key}:\n{}", text.trim_end()));
                    }
                    _ => lines.push(format!("{indent}{key}: {}", render_inline(field))),
                }
            }
        }
        Value::Array(items) => {
            lines.extend(
                items
                    .iter()
                    .map(|item| format!("{indent}- {}", render_inline(item))),
            );
        }
        _ => lines.push(format!("{indent}{}", render_inline(value))),
    }
}

fn is_empty_container(value: &Value) -> bool {
    match value {
        Value::Object(fields) => fields.is_empty(),
        Value::Array(items) => items.is_empty(),
        _ => false,
    }
}

/// Renders a value on one line; nested objects and lists are written inline.
fn render_inline(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Null => "-".to_owned(),
        Value::Array(items) if items.is_empty() => "none".to_owned(),
        Value::Array(items) => items
            .iter()
            .map(render_inline)
            .collect::<Vec<_>>()
            .join(", "),
        Value::Object(fields) if fields.is_empty() => "none".to_owned(),
        Value::Object(fields) => {
            let parts = fields.iter().map(|(key, field)| match field {
                Value::Object(_) | Value::Array(_) => format!("{key} ({})", render_inline(field)),
                _ => format!("{key} {}", render_inline(field)),
            });
            parts.collect::<Vec<_>>().join(", ")
        }
        _ => value.to_string(),
    }
}

/// Renders the changes that applying an inventory would make to the current one, as text or JSON.
pub(crate) fn render_changes(
    current: &Inventory,
    changes: &[InventoryChange],
    is_json: bool,
) -> String {
    let rows: Vec<(&str, &str, String)> = changes
        .iter()
        .map(|change| describe_change(current, change))
        .collect();
    if is_json {
        let rows: Vec<Value> = rows
            .iter()
            .map(|(action, kind, name)| json!({"action": action, "kind": kind, "name": name}))
            .collect();
        return json!({"changes": rows}).to_string();
    }
    if rows.is_empty() {
        return "no changes".to_owned();
    }
    let lines: Vec<String> = rows
        .iter()
        .map(|(action, kind, name)| format!("{action:<7} {kind:<9} {name}"))
        .collect();
    lines.join("\n")
}

/// Returns action, kind and name of a change.
fn describe_change<'a>(
    current: &Inventory,
    change: &'a InventoryChange,
) -> (&'a str, &'a str, String) {
    let put_action = |exists: bool| if exists { "change" } else { "add" };
    match change {
        InventoryChange::PutModel(model) => (
            put_action(current.models.contains_key(&model.name)),
            "model",
            model.name.to_string(),
        ),
        InventoryChange::RemoveModel(name) => ("remove", "model", name.to_string()),
        InventoryChange::PutAdapter(adapter) => (
            put_action(current.adapters.contains_key(&adapter.name)),
            "adapter",
            adapter.name.to_string(),
        ),
        InventoryChange::RemoveAdapter(name) => ("remove", "adapter", name.to_string()),
        InventoryChange::PutCustomer(customer) => (
            put_action(current.customers.contains_key(&customer.id)),
            "customer",
            customer.id.to_string(),
        ),
        InventoryChange::RemoveCustomer(id) => ("remove", "customer", id.to_string()),
    }
}
