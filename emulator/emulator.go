// Package emulator is the root of the stand-ins for external systems: the
// platform, a model engine, a tool service and the users' platform. Tests, the
// demo and the load tools run against them.
package emulator
