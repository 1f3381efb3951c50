package usersplatform

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Request is a request that a client sends to a front.
type Request struct {
	ID string
	// Method is the HTTP method; empty for POST.
	Method string
	Body   string
	// Turn marks a turn of a program, whose response is a stream. Other
	// requests are plain calls.
	Turn bool
	// Previous is the request id of the turn that this one continues.
	Previous string
	// Program is the id of the program, empty for none.
	Program string
	// Budget is the number of tokens that the program may generate.
	Budget int
	// Resumes is the id of the attempt that brought the first event of the stream that
	// is taken up, and LastEventID the id of its last event; empty for a new stream.
	Resumes, LastEventID string
	// Key is the key of the client's organisation; empty for none. A client with a key also
	// names an organisation itself, which the system must not pass on.
	Key string
}

// maxOutputTokens is the maximum number of tokens that one turn generates.
const maxOutputTokens = 15

// Send sends a request to the front at the given address, as a client of the
// platform does, and reads the whole response.
func Send(ctx context.Context, front, host, path string, request Request) (status int, body string, err error) {
	r, err := request.HTTP(ctx, front, host, path)
	if err != nil {
		return 0, "", err
	}
	reply, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return 0, "", err
	}
	defer reply.Body.Close()
	content, err := io.ReadAll(reply.Body)
	return reply.StatusCode, string(content), err
}

// HTTP returns the request in the form in which a client sends it to the front.
func (request Request) HTTP(ctx context.Context, front, host, path string) (*http.Request, error) {
	r, err := http.NewRequestWithContext(ctx, cmp.Or(request.Method, http.MethodPost), "http://"+front+path, strings.NewReader(request.Body))
	if err != nil {
		return nil, err
	}
	r.Host = host
	r.Header.Set("X-Request-Id", request.ID)
	if request.Turn {
		r.Header.Set("X-Token-Count", "10,"+strconv.Itoa(maxOutputTokens))
	}
	if request.Previous != "" {
		r.Header.Set("X-Previous-Turn", request.Previous)
	}
	if request.Program != "" {
		r.Header.Set("X-Program-Id", request.Program)
		r.Header.Set("X-Token-Budget", strconv.Itoa(request.Budget))
	}
	if request.Resumes != "" {
		r.Header.Set("Resumes", request.Resumes)
		r.Header.Set("Last-Event-Id", request.LastEventID)
	}
	if request.Key != "" {
		r.Header.Set("Authorization", "Bearer "+request.Key)
		r.Header.Set("X-Tenant", "forged")
	}
	return r, nil
}

// Host holds the settings of one host in the stand-in's deployment.
type Host struct {
	Name string
	IP   string
	// PeerPort is the port for traffic between processes.
	PeerPort int
	// DataDir is the data directory of a host with a disk. On fronts it is
	// empty.
	DataDir string
	// Store is the address of the metadata store.
	Store string
	// MemoryMB and MaxFDs are the limits of the process; 0 means the defaults.
	MemoryMB, MaxFDs int
	// ConfigMs is the time within which a change of the configuration must be in force; 0
	// for none.
	ConfigMs int
	// Contended says that callers compete for places at backend servers.
	Contended bool
	// Quotas adds the bounds of quotas, without which fronts keep none.
	Quotas bool
}

// Bounds of the quotas of organisations: in any window, by how much their requests may
// exceed them, as a fraction and as a number of requests.
const (
	QuotaWindow  = 5 * time.Second
	QuotaOverage = 0.1
	QuotaSlack   = 20
)

// Default limits of a process.
const (
	defaultMemoryMB = 200
	defaultMaxFDs   = 4100
)

// Ports on which the fronts of the stand-in's deployment listen.
const (
	FrontPort     = 8149
	ReadyPort     = 8141
	DirectoryPort = 8143
)

// Settings returns the content of the host's settings file.
func (h Host) Settings() string {
	listen, data, bounds := "", "", "DrainMs = 2000\n"
	if h.DataDir == "" {
		listen = fmt.Sprintf("Front = \"%s:%d\"\nReady = \"%s:%d\"\nDirectory = \"%s:%d\"\n", h.IP, FrontPort, h.IP, ReadyPort, h.IP, DirectoryPort)
	} else {
		data = fmt.Sprintf("DataDir = %q\n", h.DataDir)
	}
	if h.Contended {
		data += "Contracts = [\"pressure\"]\n"
	}
	if h.ConfigMs > 0 {
		bounds = fmt.Sprintf("DrainMs = %[1]d\nConfigMs = %[1]d\n", h.ConfigMs)
	}
	if h.Quotas {
		bounds += fmt.Sprintf("QuotaWindowS = %g\nQuotaOverage = %g\nQuotaSlack = %d\n", QuotaWindow.Seconds(), QuotaOverage, QuotaSlack)
	}
	return fmt.Sprintf("NodeName = %q\nIp = %q\nZone = %q\nPortRange = [%d,%d]\n%s[Listen]\n%s[Limits]\nMemoryMb = %d\nMaxFds = %d\n"+
		"[FaultTolerance]\nMachines = 1\n[Bounds]\n%sGraceS = 8\nttl_max_s = 5\n[Platform]\nAddress = %q\n"+
		"WritesPerS = 400\nReadsPerS = 2000\nTtlMinMs = 1000\n", h.Name, h.IP, "zone-"+h.Name, h.PeerPort, h.PeerPort, data, listen,
		cmp.Or(h.MemoryMB, defaultMemoryMB), cmp.Or(h.MaxFDs, defaultMaxFDs), bounds, h.Store)
}

// SettingsVariable is the environment variable for the settings file.
const SettingsVariable = "DOGWOODLINE_BOOT"

// Ready reports whether the front at the IP address is ready.
func Ready(ip string) bool {
	reply, err := http.Get(fmt.Sprintf("http://%s:%d/ready", ip, ReadyPort))
	if err != nil {
		return false
	}
	defer reply.Body.Close()
	return reply.StatusCode == http.StatusOK
}

// Resolve asks the front at the IP address which addresses a client may use.
func Resolve(ip string) ([]string, error) {
	reply, err := http.Get(fmt.Sprintf("http://%s:%d/resolve?Zone=a", ip, DirectoryPort))
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
