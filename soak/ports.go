package soak

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

// The ports are below the range of ephemeral ports, so that no outgoing
// connection of another process takes the port of a node while it restarts.
const (
	firstPort    = 14000
	portCount    = 16000
	maxPortTries = 2000 // ports that one search tries
)

// portOffset advances with every port that is tried, so that deployments of one
// process use different ports. The process id in freePorts does the same for
// deployments of different processes.
var portOffset atomic.Uint32

// freePorts returns loopback addresses whose ports were free when they were
// tried. They are not reserved.
func freePorts(count int) ([]string, error) {
	var found []string
	for range maxPortTries {
		port := firstPort + (uint32(os.Getpid())*97+portOffset.Add(1))%portCount
		address := fmt.Sprintf("127.0.0.1:%d", port)
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = listener.Close() // only checks that the port is free
		if found = append(found, address); len(found) == count {
			return found, nil
		}
	}
	return nil, Error.New("no free ports from %d on", firstPort)
}
