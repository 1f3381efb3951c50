// Package node assembles the duties of one node.
package node
