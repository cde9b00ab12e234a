//! Nodes with a record in the platform's table.

use lentilshunt_core::{
    dissemination::{MEMBER_PREFIX, RENDEZVOUS_PREFIX},
    encoding,
};
use lentilshunt_net::platform::Table;
use lentilshunt_schema::peer::Record;

use super::Node;

/// Returns the nodes with a record in the platform's table.
///
/// Returns no nodes when the platform does not respond. Records may be outdated, and
/// not every node needs to have one.
pub async fn registered_nodes(table: &dyn Table) -> Vec<Node> {
    let mut nodes = Vec::new();
    for prefix in [MEMBER_PREFIX, RENDEZVOUS_PREFIX] {
        let rows = table.scan(prefix.to_owned()).await.unwrap_or_default();
        let records = rows.iter().flat_map(|row| decode_records(&row.value));
        nodes.extend(records.filter_map(|record| Node::from_record(&record)));
    }
    nodes
}

/// Decodes a row that contains one record or a list of records.
fn decode_records(value: &[u8]) -> Vec<Record> {
    let single = encoding::decode::<Record>(value).map(|record| vec![record]);
    single
        .or_else(|_list| encoding::decode(value))
        .unwrap_or_default()
}
