//! The normal form of hosts, on which validation and routing have to agree.

use wasabipoint_kernel::NormalHost;

/// Guards against two spellings of a host that validation takes for different ones and routing for one.
#[test]
fn spellings_of_a_host_are_equal() {
    let normal = NormalHost::new("a.example");
    for host in ["A.Example", "a.example.", "A.EXAMPLE."] {
        assert_eq!(NormalHost::new(host), normal, "{host}");
    }
    assert_eq!(
        NormalHost::new("A.example.:80"),
        NormalHost::new("a.example:80")
    );
    assert_eq!(NormalHost::new("a.example:80").without_port(), normal);
    assert_ne!(NormalHost::new("a.example:80"), normal);
    assert_ne!(NormalHost::new("b.example"), normal);
}

/// Guards against an address that is cut at one of its colons, and against hosts without a name.
#[test]
fn addresses_and_empty_names_are_kept() {
    let address = NormalHost::new("[::1]:80");
    assert_eq!(address.without_port(), NormalHost::new("[::1]"));
    assert_ne!(NormalHost::new("[::1]"), NormalHost::new("[::2]"));
    for host in ["", ":", ":80", "[", "]", "."] {
        let normal = NormalHost::new(host);
        assert_eq!(normal.without_port(), normal.without_port().without_port());
    }
}
