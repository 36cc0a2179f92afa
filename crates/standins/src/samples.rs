//! Operators' files of the two deployments, made by a fixed rule.

use std::{fs, path::PathBuf};

use argh::FromArgs;

use crate::http::Error;

/// Write operators' files for a deployment.
#[derive(FromArgs)]
#[argh(subcommand, name = "samples")]
pub struct Config {
    /// folder to write to
    #[argh(positional)]
    folder: PathBuf,
    /// deployment: cumbre or glasinzamel
    #[argh(option)]
    deployment: String,
    /// number of adapters
    #[argh(option, default = "3000")]
    adapters: usize,
}

/// Writes the files.
pub fn run(config: &Config) -> Result<(), Error> {
    let (prefix, base, audience) = match config.deployment.as_str() {
        "cumbre" => ("student", "alphorn-base", "academies"),
        "glasinzamel" => ("driver", "cullet-base", "collectors"),
        other => return Err(Error::new(format!("unknown deployment `{other}`"))),
    };
    for number in 0..config.adapters {
        let name = format!("{prefix}-{number:06}");
        let folder = config.folder.join(format!("{:03}", number / 1000));
        fs::create_dir_all(&folder)?;
        let adapter = format!("[adapter]\nname = {name}\nbase = {base}\naudience = {audience}\n");
        fs::write(folder.join(format!("{name}.ini")), adapter)?;
        let version =
            format!("[version]\nadapter = {name}\nnumber = 1\nweights = {audience}/{name}/1\n");
        fs::write(folder.join(format!("{name}-1.ini")), version)?;
    }
    println!(
        "{} adapters in {}",
        config.adapters,
        config.folder.display()
    );
    Ok(())
}
