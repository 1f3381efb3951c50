#!/usr/bin/env bash
# Updates go.mod and go.sum of the given modules, or of all modules: adds require
# and replace directives for the local modules that a module imports, directly
# or indirectly, and runs go mod tidy.
set -euo pipefail
cd "$(dirname "$0")/.."

module_prefix=dogwoodline.example
modules=$(find . -name go.mod -printf '%h\n' | sed 's|^\./||' | sort)

# Lists the local modules that the given module imports directly.
direct_imports() {
  local found
  found=$(grep -rhoE "\"$module_prefix/[a-z]+" "$1" --include='*.go' | sed "s|\"$module_prefix/||" | sort -u || true)
  for name in $found; do
    [ "$name" = "$1" ] || echo "$name"
  done
}

# Lists the local modules that the given module imports, directly or indirectly.
transitive_imports() {
  local seen="" queue
  queue=$(direct_imports "$1")
  while [ -n "$queue" ]; do
    local next=""
    for name in $queue; do
      case " $seen " in *" $name "*) continue ;; esac
      seen="$seen $name"
      next="$next $(direct_imports "$name")"
    done
    queue=$(echo $next)
  done
  for name in $seen; do [ "$name" = "$1" ] || echo "$name"; done
}

for module in ${*:-$modules}; do
  (
    depth=$(echo "$module" | tr -cd / | wc -c)
    relative_root=..
    for _ in $(seq 1 "$depth"); do relative_root=$relative_root/..; done
    edit_flags=()
    for name in $(transitive_imports "$module"); do
      edit_flags+=("-require=$module_prefix/$name@v0.0.0" "-replace=$module_prefix/$name=$relative_root/$name")
    done
    cd "$module"
    [ ${#edit_flags[@]} -eq 0 ] || go mod edit "${edit_flags[@]}"
    GOWORK=off go mod tidy
  )
done
