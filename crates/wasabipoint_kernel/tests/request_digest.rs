//! Digests that identify a request whose caller sends it again.

use wasabipoint_kernel::{PromptPartId, RequestDigester};

/// Guards against evidence that never adds up because processes compute different digests, and against
/// requests that are taken for each other because their joined fields are equal.
#[test]
fn equal_requests_have_equal_digests_and_others_do_not() {
    let digest = |fields: &[&[u8]]| RequestDigester::new("secret").digest(fields);
    let request: [&[u8]; 3] = [b"customer", b"/path", b"body"];
    assert_eq!(digest(&request), digest(&request));
    let others: [[&[u8]; 3]; 4] = [
        [b"other", b"/path", b"body"],
        [b"customer", b"/path/", b"body"],
        [b"customer", b"/path", b"body2"],
        [b"customer/", b"path", b"body"],
    ];
    for other in others {
        assert_ne!(digest(&request), digest(&other));
    }
    assert_ne!(digest(&request), RequestDigester::new("x").digest(&request));
}

/// Guards against the id of a request that an operator cannot pass back, or that a caller can choose as
/// the id of a prompt part.
#[test]
fn ids_of_requests_and_parts_are_told_apart() {
    for id in [
        PromptPartId::of_request(0xab),
        PromptPartId::of_part(u64::MAX),
    ] {
        assert_eq!(PromptPartId::parse(&id.to_string()), Some(id));
    }
    assert_eq!(PromptPartId::of_request(0xab).to_string(), "request-ab");
    assert!(!PromptPartId::of_part(u64::MAX).is_request());
}
