# Bash completion for savoryway; flags come from `savoryway COMMAND --help'.
_savoryway ()
{
  local current=${COMP_WORDS[COMP_CWORD]}
  local commands="run serve check-settings trace status config drain topology explain query failover hash"
  if [ "$COMP_CWORD" -eq 1 ]; then
    mapfile -t COMPREPLY < <(compgen -W "$commands --help --usage --version" -- "$current")
  elif [[ $current == -* ]]; then
    local flags
    flags=$("${COMP_WORDS[0]}" "${COMP_WORDS[1]}" --help 2>/dev/null | grep -o -e '--[a-z][a-z-]*' | sort -u)
    mapfile -t COMPREPLY < <(compgen -W "$flags" -- "$current")
  else
    mapfile -t COMPREPLY < <(compgen -f -- "$current")
  fi
}
complete -F _savoryway savoryway
