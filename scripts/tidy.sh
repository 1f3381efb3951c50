#!/usr/bin/env bash
# Brings go.mod and go.sum of every module up to date: adds the require and
# replace lines of the local modules it imports, directly or not, and tidies.
set -euo pipefail
cd "$(dirname "$0")/.."

prefix=dogwoodline.example
modules=$(find . -name go.mod -printf '%h\n' | sed 's|^\./||' | sort)

# Lists the local modules that the given module imports.
direct() {
  local found
  found=$(grep -rhoE "\"$prefix/[a-z]+" "$1" --include='*.go' | sed "s|\"$prefix/||" | sort -u || true)
  for name in $found; do
    [ "$name" = "$1" ] || echo "$name"
  done
}

# Lists the local modules that the given module needs, directly or not.
closure() {
  local seen="" queue
  queue=$(direct "$1")
  while [ -n "$queue" ]; do
    local next=""
    for name in $queue; do
      case " $seen " in *" $name "*) continue ;; esac
      seen="$seen $name"
      next="$next $(direct "$name")"
    done
    queue=$(echo $next)
  done
  for name in $seen; do [ "$name" = "$1" ] || echo "$name"; done
}

for module in ${*:-$modules}; do
  (
    depth=$(echo "$module" | tr -cd / | wc -c)
    up=..
    for _ in $(seq 1 "$depth"); do up=$up/..; done
    edits=()
    for name in $(closure "$module"); do
      edits+=("-require=$prefix/$name@v0.0.0" "-replace=$prefix/$name=$up/$name")
    done
    cd "$module"
    [ ${#edits[@]} -eq 0 ] || go mod edit "${edits[@]}"
    GOWORK=off go mod tidy
  )
done
