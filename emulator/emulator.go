// Package emulator holds small stand-ins for the platform, a model engine and
// a plain service.
package emulator
