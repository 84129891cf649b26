//! Generates `clayplank-wire/src/generated` from the protocol file.
//!
//! Run from the root of the repository: `cargo run -p clayplank-wire-gen`.

const PROTO: &str = "clayplank-wire/proto/inner.proto";
const OUT_DIR: &str = "clayplank-wire/src/generated";

/// Reason for which no code was generated.
#[derive(Debug, thiserror::Error)]
enum GenerateError {
    #[error("the protocol file cannot be compiled")]
    Compile(#[from] protox::Error),
    #[error("cannot write the generated code")]
    Write(#[from] std::io::Error),
}

fn main() -> Result<(), GenerateError> {
    let descriptors = protox::compile([PROTO], ["clayplank-wire/proto"])?;
    tonic_prost_build::configure().out_dir(OUT_DIR).compile_fds(descriptors)?;
    Ok(())
}
