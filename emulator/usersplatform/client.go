package usersplatform

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
)

// Request is one attempt of a client.
type Request struct {
	ID   string
	Body string
	// Turn marks a turn of a program, which streams; others are plain calls.
	Turn bool
	// Previous is the id of the turn that this one continues.
	Previous string
	// Program and Budget name a program and the tokens that it may generate.
	Program string
	Budget  int
}

// mostOutput is the most tokens that one turn of the stand-in generates.
const mostOutput = 15

// Send sends a request to a front as a client of the platform does, and reads
// the whole answer.
func Send(ctx context.Context, front, host, path string, in Request) (status int, body string, err error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+front+path, strings.NewReader(in.Body))
	if err != nil {
		return 0, "", err
	}
	r.Host = host
	r.Header.Set("X-Request-Id", in.ID)
	if in.Turn {
		r.Header.Set("X-Token-Count", "10,"+strconv.Itoa(mostOutput))
	}
	if in.Previous != "" {
		r.Header.Set("X-Previous-Turn", in.Previous)
	}
	if in.Program != "" {
		r.Header.Set("X-Program-Id", in.Program)
		r.Header.Set("X-Token-Budget", strconv.Itoa(in.Budget))
	}
	reply, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return 0, "", err
	}
	defer reply.Body.Close()
	content, err := io.ReadAll(reply.Body)
	return reply.StatusCode, string(content), err
}

// Host is what a settings file says of a host of the stand-in's deployment.
type Host struct {
	Name string
	IP   string
	// PeerPort is free for traffic between processes.
	PeerPort int
	// DataDir is set on hosts with a disk; others are fronts.
	DataDir string
	// Store is the address of the metadata store.
	Store string
}

// Ports of the fronts of the stand-in's deployment.
const (
	FrontPort     = 8149
	readyPort     = 8141
	directoryPort = 8143
)

// Settings returns the settings file of a host.
func (h Host) Settings() string {
	listen, data := "", ""
	if h.DataDir == "" {
		listen = fmt.Sprintf("Front = \"%s:%d\"\nReady = \"%s:%d\"\nDirectory = \"%s:%d\"\n", h.IP, FrontPort, h.IP, readyPort, h.IP, directoryPort)
	} else {
		data = fmt.Sprintf("DataDir = %q\n", h.DataDir)
	}
	return fmt.Sprintf("NodeName = %q\nIp = %q\nZone = %q\nPortRange = [%d,%d]\n%s[Listen]\n%s[Limits]\nMemoryMb = 200\nMaxFds = 4100\n"+
		"[FaultTolerance]\nMachines = 1\n[Bounds]\nDrainMs = 2000\nGraceS = 8\nttl_max_s = 5\n[Platform]\nAddress = %q\n"+
		"WritesPerS = 400\nReadsPerS = 2000\nTtlMinMs = 1000\n", h.Name, h.IP, "zone-"+h.Name, h.PeerPort, h.PeerPort, data, listen, h.Store)
}

// SettingsVariable names the environment variable with the settings file.
const SettingsVariable = "DOGWOODLINE_BOOT"

// Ready reports whether a front says that it is ready.
func Ready(ip string) bool {
	reply, err := http.Get(fmt.Sprintf("http://%s:%d/ready", ip, readyPort))
	if err != nil {
		return false
	}
	defer reply.Body.Close()
	return reply.StatusCode == http.StatusOK
}

// Resolve asks a front which addresses a client may use.
func Resolve(ip string) ([]string, error) {
	reply, err := http.Get(fmt.Sprintf("http://%s:%d/resolve?Zone=a", ip, directoryPort))
	if err != nil {
		return nil, err
	}
	defer reply.Body.Close()
	var list struct{ Addresses []string }
	if err := json.NewDecoder(reply.Body).Decode(&list); err != nil {
		return nil, err
	}
	return list.Addresses, nil
}

// SiteHost is the host of all routes of the stand-in's configuration.
const SiteHost = "site.example"

// Configure writes a configuration with the paths /turns/ and /calls/, both to
// the service of the given backend server, and registers that server.
func (s *Store) Configure(ctx context.Context, b *Backend, address string) error {
	err := s.Put(ctx, "servers/"+b.ID, map[string]any{
		"Service": "llm", "Address": address, "Zone": "a", "Slots": 8, "State": "ready",
	})
	if err != nil {
		return err
	}
	return s.Put(ctx, "op/config", json.RawMessage(`{"Version":3,"Routes":[
		{"Name":"turns","Host":"site.example","PathPrefix":"/turns/","Kind":"streaming","TimeoutMs":5000,"Service":"llm","Attempts":1,"Retain":true,"RetentionS":60},
		{"Name":"calls","Host":"site.example","PathPrefix":"/calls/","Kind":"unsafe","TimeoutMs":5000,"Service":"llm"}],
		"Services":[{"Name":"llm","MaxConns":50,"Engine":{"Slots":8,"TokensPerEvent":5}}],"Limits":{"MaxBodyBytes":100000}}`))
}
