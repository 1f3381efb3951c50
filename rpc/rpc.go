// Package rpc carries messages between nodes over gRPC.
package rpc
