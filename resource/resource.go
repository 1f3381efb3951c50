// Package resource holds the declared resources: their types, their TOML and
// JSON form, their validation and their versions.
package resource
