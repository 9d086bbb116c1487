//! Regenerates `src/generated` from `proto/teasellever.proto`.

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let root = std::path::Path::new(env!("CARGO_MANIFEST_DIR"));
    let files = protox::compile(["teasellever.proto"], [root.join("proto")])?;
    tonic_prost_build::configure()
        .out_dir(root.join("src/generated"))
        .bytes(".")
        .compile_fds(files)?;
    Ok(())
}
