//! Tests of organisations and their keys.

use lentilshunt_core::organisation::{Directory, Identity, Key, KeyError, Organisation};
use rstest::rstest;

fn key(text: &str) -> Key {
    Key::new(text.as_bytes()).expect("a key")
}

fn organisation(name: &str) -> Organisation {
    Organisation {
        name: name.into(),
        rank: None,
        quota: None,
    }
}

#[rstest]
#[case(b"", KeyError::Length)]
#[case(&[b'a'; 257], KeyError::Length)]
#[case(b"a b", KeyError::Character)]
#[case("ä".as_bytes(), KeyError::Character)]
fn identify_unusable_key(#[case] text: &[u8], #[case] expected: KeyError) {
    assert_eq!(Key::new(text).err(), Some(expected));
}

#[test]
fn identify_among_many() {
    let mut directory = Directory::new([1; 32]);
    for index in 0..3000 {
        let name = format!("o{index}");
        let keys = [key(&format!("{name}-a")), key(&format!("{name}-b"))];
        directory.insert(organisation(&name), &keys);
    }
    let identity = directory.identify(Some(&key("o1234-b")));
    assert_eq!(identity, Identity::Known(organisation("o1234").into()));
    assert_eq!(directory.identify(Some(&key("o1234"))), Identity::Unknown);
    assert_eq!(directory.identify(None), Identity::Unknown);
    assert!(!format!("{directory:?}").contains("o1234-b"));
}

// It is unknown which of the two holds the key.
#[test]
fn insert_shared_key() {
    let mut directory = Directory::new([1; 32]);
    directory.insert(organisation("yard"), &[key("a"), key("a"), key("b")]);
    directory.insert(organisation("gate"), &[key("b"), key("c")]);
    let identify = |text| directory.identify(Some(&key(text)));
    assert_eq!(identify("a"), Identity::Known(organisation("yard").into()));
    assert_eq!(identify("b"), Identity::Undecidable);
    assert_eq!(identify("c"), Identity::Known(organisation("gate").into()));
    assert_eq!(directory.problems().len(), 1);
}
