//! Nodes that the platform's table names.

use lentilshunt_core::dissemination::{MEMBER_PREFIX, RENDEZVOUS_PREFIX};
use lentilshunt_net::platform::Table;
use lentilshunt_schema::peer::Record;

use super::Node;

/// Returns the nodes that rows of the platform name, none when it does not answer.
///
/// A row may be old, and the rows need not name every node.
pub async fn registered(table: &dyn Table) -> Vec<Node> {
    let mut nodes = Vec::new();
    for prefix in [MEMBER_PREFIX, RENDEZVOUS_PREFIX] {
        let rows = table.scan(prefix.to_owned()).await.unwrap_or_default();
        let records = rows.iter().flat_map(|row| records(&row.value));
        nodes.extend(records.filter_map(|record| Node::from_record(&record)));
    }
    nodes
}

fn records(value: &[u8]) -> Vec<Record> {
    let one = rmp_serde::from_slice::<Record>(value).map(|record| vec![record]);
    one.or_else(|_several| rmp_serde::from_slice(value))
        .unwrap_or_default()
}
