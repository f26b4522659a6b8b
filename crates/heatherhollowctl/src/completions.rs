//! Shell completions; they must list the commands and options of the help.

/// The script that defines the completions for bash.
pub(crate) const BASH: &str = r#"_heatherhollowctl() {
    local word="${COMP_WORDS[COMP_CWORD]}" previous="${COMP_WORDS[COMP_CWORD-1]}"
    local commands="check diff apply get history status drain promote completions"
    local options="--server --token --author --team --expect --wait --dry-run --undo --json --help --version"
    case "$previous" in
        check|diff|apply) COMPREPLY=($(compgen -d -- "$word")) ;;
        drain) COMPREPLY=($(compgen -W "instance target" -- "$word")) ;;
        completions) COMPREPLY=($(compgen -W "bash" -- "$word")) ;;
        *) COMPREPLY=($(compgen -W "$commands $options" -- "$word")) ;;
    esac
}
complete -F _heatherhollowctl heatherhollowctl"#;
