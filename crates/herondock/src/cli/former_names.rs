//! Former names of commands and options, which remain valid as aliases that the help does not show.

/// Former and present names of commands.
const COMMANDS: [(&str, &str); 4] =
    [("council", "coordination"), ("outage", "disruption"), ("release", "rollout"), ("members", "endpoints")];
/// Group, former name and present name of subcommands.
const SUBCOMMANDS: [(&str, &str, &str); 3] =
    [("rollout", "halt", "pause"), ("rollout", "back", "rollback"), ("coordination", "form", "bootstrap")];
/// Former and present names of options.
const OPTIONS: [(&str, &str); 1] = [("--under", "--prefix")];

/// Returns the former names that a command line uses, each with its present name. In a valid command line the commands are the
/// first arguments, after the global option `--log LEVEL`.
pub fn used(arguments: impl Iterator<Item = String>) -> Vec<(&'static str, &'static str)> {
    let arguments: Vec<String> = arguments.skip(1).collect();
    let mut found = Vec::new();
    let mut positional = Vec::new();
    let mut remaining = arguments.iter();
    while let Some(argument) = remaining.next() {
        if argument == "--log" {
            remaining.next();
        } else if argument.starts_with('-') {
            let name = argument.split('=').next().unwrap_or(argument);
            found.extend(OPTIONS.iter().find(|(former, _)| *former == name));
        } else {
            positional.push(argument.as_str());
        }
    }
    let Some(&command) = positional.first() else { return found };
    let renamed = COMMANDS.iter().find(|(former, _)| *former == command);
    found.extend(renamed);
    let command = renamed.map_or(command, |(_, name)| name);
    let subcommand = positional.get(1).copied().unwrap_or_default();
    let renamed = SUBCOMMANDS.iter().find(|(group, former, _)| *group == command && *former == subcommand);
    found.extend(renamed.map(|&(_, former, name)| (former, name)));
    found
}

#[cfg(test)]
mod tests;
