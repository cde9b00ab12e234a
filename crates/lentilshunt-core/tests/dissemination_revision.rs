//! Tests of positions in the changes of a store.

use lentilshunt_core::dissemination::Revision;

fn revision(restorations: u16, number: u64) -> Revision {
    Revision {
        restorations,
        number,
    }
}

// A number that a restored store gave out again was taken for the old position.
#[test]
fn order_across_restorations() {
    let positions = [(0, 1), (0, 900), (1, 2), (1, 900), (2, 0)];
    let positions = positions.map(|(restorations, number)| revision(restorations, number));
    assert!(positions.is_sorted());
    let bits = positions.map(u64::from);
    assert!(bits.is_sorted());
    assert_eq!(bits.map(Revision::from), positions);
    assert!(positions[2].is_restored_since(positions[1]));
    assert!(!positions[1].is_restored_since(positions[0]));
    assert!(!positions[1].is_restored_since(positions[2]));
}

#[test]
fn encode_number_without_restorations() {
    assert_eq!(u64::from(revision(0, 22)), 22);
    // A number that does not fit does not change the count of restorations.
    let highest = u64::from(revision(1, u64::MAX));
    assert_eq!(Revision::from(highest).restorations, 1);
}
