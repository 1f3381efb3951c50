// Package journal keeps a node's group-committed record in the platform
// store. Sealing it fences its owner.
package journal
