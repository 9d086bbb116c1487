//! The command lines of both programs, with their exit codes.

use std::path::Path;
use std::path::PathBuf;

use holds::caller::Caller;
use holds::fleet::Fleet;
use holds::fleet::PATIENCE;
use holds::object::OPERATOR;
use holds::plan::Plan;
use holds::process::Process;
use http::Method;
use rstest::rstest;

fn example(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../examples")
        .join(name)
}

/// Runs a program to its end; gives its exit code and all that it wrote.
async fn run(folder: &Path, program: &str, args: &[&str]) -> eyre::Result<(i32, String)> {
    let name = format!("{program}-{}", args.join("-").replace('/', "_"));
    let mut process = Process::start(folder, &name, program, args)?;
    let status = process.wait(PATIENCE).await?;
    Ok((status.code().unwrap_or(-1), process.output()))
}

fn folder(name: &str) -> eyre::Result<PathBuf> {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder)?;
    Ok(folder)
}

#[rstest]
#[case(
    "teasellever-entry",
    "entry.jsonc",
    "\"duration_ms\"",
    "lease.durration_ms"
)]
#[case("teasellever-sidecar", "sidecar.jsonc", "\"slots\"", "limits.sslots")]
#[tokio::test]
async fn check_takes_the_example_and_names_a_misspelt_field(
    #[case] program: &str,
    #[case] file: &str,
    #[case] right: &str,
    #[case] field: &str,
) -> eyre::Result<()> {
    let folder = folder(program)?;
    let sound = example(file);
    let (code, output) = run(&folder, program, &["check", &sound.to_string_lossy()]).await?;
    assert_eq!(code, 0, "{output}");

    let misspelt = folder.join("wrong");
    let wrong = field
        .rsplit('.')
        .next()
        .map(|name| format!("\"{name}\""))
        .unwrap_or_default();
    std::fs::write(
        &misspelt,
        std::fs::read_to_string(&sound)?.replacen(right, &wrong, 1),
    )?;
    let misspelt = misspelt.to_string_lossy().into_owned();
    let (code, output) = run(&folder, program, &["check", &misspelt]).await?;
    assert_eq!(code, 3, "{output}");
    assert!(output.contains(field), "{output}");
    let (code, output) = run(&folder, program, &["serve", &misspelt]).await?;
    assert_eq!(code, 3, "nothing starts half-configured: {output}");

    let (code, output) = run(&folder, program, &["--version"]).await?;
    assert_eq!((code, output.contains(program)), (0, true), "{output}");
    let (code, output) = run(&folder, program, &["--help"]).await?;
    assert_eq!((code, output.contains("serve")), (0, true), "{output}");
    let (code, output) = run(&folder, program, &["juggle"]).await?;
    assert_eq!(code, 2, "{output}");
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn operators_give_and_withdraw_a_key_and_read_the_state() -> eyre::Result<()> {
    let fleet = Fleet::start(&Plan {
        engines: 0,
        tools: 1,
        ..Plan::default()
    })
    .await?;
    let key_file = fleet.folder.join("operator.key");
    std::fs::write(&key_file, OPERATOR)?;
    let key_file = key_file.to_string_lossy().into_owned();
    let admin = format!("http://{}", fleet.entries[0].admin);
    let access = ["--admin", admin.as_str(), "--key-file", key_file.as_str()];
    let entry = async |words: &[&str]| run(&fleet.folder, "teasellever-entry", words).await;

    let [a, b, c, d] = access;
    let give = [
        "key",
        "give",
        a,
        b,
        c,
        d,
        "--ticket",
        "7",
        "--customer",
        "large",
        "extra",
    ];
    let (code, output) = entry(&give).await?;
    assert_eq!(code, 0, "{output}");
    let key = output
        .lines()
        .find(|line| line.starts_with("tk."))
        .unwrap_or_default()
        .to_owned();
    let caller = Caller::new(fleet.http.clone(), fleet.entries[1].callers, &key);
    let models = async || caller.call(Method::GET, "/v1/models", "").await.status;
    fleet
        .until("the new key is in force", async || models().await == 200)
        .await?;

    let (code, shown) = entry(&["ticket", "show", a, b, c, d, "7"]).await?;
    assert_eq!((code, shown.contains("extra")), (0, true), "{shown}");
    let (code, output) = entry(&["key", "withdraw", a, b, c, d, "--ticket", "8", "extra"]).await?;
    assert_eq!(code, 0, "{output}");
    fleet
        .until("the key is withdrawn", async || models().await == 401)
        .await?;
    let stale = ["key", "withdraw", a, b, c, d, "--ticket", "6", "extra"];
    let (code, output) = entry(&stale).await?;
    assert_eq!((code, output.contains("superseded")), (4, true), "{output}");

    let (code, state) = entry(&["dump", a, b, c, d]).await?;
    assert_eq!(
        (code, state.contains("\"newest\": 8")),
        (0, true),
        "{state}"
    );
    assert!(!state.contains("tk."), "no key in a dump");
    let admin = format!("http://{}", fleet.tools[0].admin);
    let words = [
        "dump",
        "--admin",
        admin.as_str(),
        "--key-file",
        key_file.as_str(),
    ];
    let (code, state) = run(&fleet.folder, "teasellever-sidecar", &words).await?;
    assert_eq!((code, state.contains("tool-1")), (0, true), "{state}");
    Ok(())
}
