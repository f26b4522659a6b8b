//! Guards against a change of the proto file without new generated code, and against changes of the
//! generated code by hand.

#[path = "../examples/generate.rs"]
mod generate;

#[test]
fn committed_code_is_what_the_generator_gives() {
    let path = generate::committed_path();
    let committed = std::fs::read_to_string(path).expect("the file exists");
    assert!(
        committed == generate::generate(),
        "run `cargo run -p heatherhollow-peer --example generate`",
    );
}
