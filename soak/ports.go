package soak

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

// Ports below the range of outgoing connections, so that no connection of
// another process takes the port of a node that is restarted.
const (
	firstPort   = 14000
	portCount   = 16000
	portsAProbe = 2000
)

// nextPort spreads the runs of one process and of several ones.
var nextPort atomic.Uint32

// freePorts returns loopback addresses whose ports are free now.
func freePorts(count int) ([]string, error) {
	var found []string
	for range portsAProbe {
		port := firstPort + (uint32(os.Getpid())*97+nextPort.Add(1))%portCount
		address := fmt.Sprintf("127.0.0.1:%d", port)
		probe, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = probe.Close() // it was free, which is all that is asked
		if found = append(found, address); len(found) == count {
			return found, nil
		}
	}
	return nil, Error.New("no free ports from %d on", firstPort)
}
