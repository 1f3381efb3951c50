// Package settings reads and checks the settings of a node.
//
// A settings file is TOML. The names of settings contain their units. Unknown
// names are rejected, so that a spelling mistake does not silently leave a
// default in force, and all problems are reported at once.
package settings

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/zeebo/errs"

	"dogwoodline.example/schedule"
)

// Error is the class of all errors of this package.
var Error = errs.Class("settings")

// Settings are the settings of one node.
type Settings struct {
	Node      Node      `toml:"node"`
	Listen    Listen    `toml:"listen"`
	Platform  Platform  `toml:"platform"`
	Journal   Journal   `toml:"journal"`
	Placement Placement `toml:"placement"`
	Rings     Rings     `toml:"rings"`
	Schedule  Schedule  `toml:"schedule"`
	Limits    Limits    `toml:"limits"`
	TLS       TLS       `toml:"tls"`
	Operator  Operator  `toml:"operator"`
	Log       Log       `toml:"log"`
}

// Node identifies the node and the place where it runs.
type Node struct {
	ID               string `toml:"id"`
	Host             string `toml:"host"`
	AvailabilityZone string `toml:"availability_zone"`
	Region           string `toml:"region"`
	// DrainTimeoutMS is the longest time that a planned stop waits for calls in
	// progress.
	DrainTimeoutMS int64 `toml:"drain_timeout_ms"`
}

// Listen holds the addresses of the node, each an IP address and a port.
type Listen struct {
	HTTP string `toml:"http"`
	GRPC string `toml:"grpc"`
	// HTTPAdvertised and GRPCAdvertised are the addresses that others connect
	// to. An empty one stands for the address that the node listens on.
	HTTPAdvertised string `toml:"http_advertised"`
	GRPCAdvertised string `toml:"grpc_advertised"`
}

// Platform configures the connection to the platform store.
type Platform struct {
	// Address is the base URL of the store. Its host is an IP address.
	Address   string `toml:"address"`
	TimeoutMS int64  `toml:"timeout_ms"`
	// LeaseTTLMS is how long the node counts as live after the last renewal of
	// its lease.
	LeaseTTLMS int64 `toml:"lease_ttl_ms"`
}

// Journal limits how often the journal writes and how much it buffers.
type Journal struct {
	WritesPerSecond int64 `toml:"journal_writes_per_second"`
	// TailRecords and TailBytes limit the records buffered while the platform
	// store is down.
	TailRecords int64 `toml:"journal_tail_records"`
	TailBytes   int64 `toml:"journal_tail_bytes"`
}

// Placement configures how programs are distributed over the nodes.
type Placement struct {
	// Shards is the number of shards that programs are divided into. It must be
	// the same on all nodes and must never be changed.
	Shards int64 `toml:"shards"`
}

// Rings holds the capacities of the rings (bounded queues) in which requests
// wait. The rings for completions have room for everything that can be
// outstanding, so their capacities are not settings.
type Rings struct {
	// Commands is the capacity of the ring of requests to the goroutine that
	// owns the programs.
	Commands int64 `toml:"commands"`
	// Journal is the capacity of the ring of records to the goroutine that
	// writes the journal.
	Journal int64 `toml:"journal"`
}

// Schedule configures how calls are queued and sent.
type Schedule struct {
	// Policy is the name of a policy in package schedule.
	Policy string `toml:"policy"`
	// CallWorkers is the largest number of calls in flight from this node.
	CallWorkers int64 `toml:"call_workers"`
}

// Limits states what the process of the node may take. Clients get shares of it.
type Limits struct {
	// MemoryMB is the memory of the process in MiB. With 0, the memory of the process is
	// not limited, and clients get the shares of defaultClientMemoryMB.
	MemoryMB int64 `toml:"memory_mb"`
	// Descriptors is the number of descriptors that the process may have open. With 0, it
	// is the limit of the operating system.
	Descriptors int64 `toml:"descriptors"`
}

// defaultClientMemoryMB is the memory of which clients get shares if the settings do not
// state the memory of the process.
const defaultClientMemoryMB = 1024

// ClientMemoryBytes returns the memory of which clients get shares.
func (l Limits) ClientMemoryBytes() int64 { return cmp.Or(l.MemoryMB, defaultClientMemoryMB) << 20 }

// TLS names the files for encrypted connections: the certificate of the node,
// its private key and the certificate of the authority. All or none are set.
type TLS struct {
	CertificateFile string `toml:"certificate_file"`
	KeyFile         string `toml:"key_file"`
	AuthorityFile   string `toml:"authority_file"`
}

// Operator configures who may change the declared resources.
type Operator struct {
	// Key is the bearer token that operators send. If it is empty, anyone who
	// can reach the HTTP address may change resources.
	Key string `toml:"key"`
}

// Log configures the lowest level that is logged and the format.
type Log struct {
	Level  string `toml:"level"`
	Format string `toml:"format"`
}

// Default returns the values of the settings that a file does not set.
func Default() Settings {
	return Settings{
		Node:     Node{DrainTimeoutMS: 60_000},
		Platform: Platform{TimeoutMS: 2_000, LeaseTTLMS: 3_000},
		// Each of 7 nodes makes at most 30 journal writes and one lease renewal
		// a second: 217 writes a second of the several hundred that the store
		// can take.
		Journal:   Journal{WritesPerSecond: 30, TailRecords: 20_000, TailBytes: 32 << 20},
		Placement: Placement{Shards: 1024},
		Rings:     Rings{Commands: 4096, Journal: 4096},
		Schedule:  Schedule{Policy: schedule.ProgramAware, CallWorkers: 256},
		Log:       Log{Level: "info", Format: "text"},
	}
}

// Load reads and checks a settings file. The error lists all problems.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, Error.Wrap(err)
	}
	return Parse(data)
}

// Parse reads and checks settings. The error lists all problems.
func Parse(data []byte) (Settings, error) {
	s := Default()
	var lines []string
	if err := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields().Decode(&s); err != nil {
		var unknown *toml.StrictMissingError
		if !errors.As(err, &unknown) {
			return Settings{}, Error.New("%s", describeDecodeError(err))
		}
		lines = unknownKeys(unknown) // all other settings were decoded
	}
	s.fillAdvertised()
	for _, problem := range s.Problems() {
		lines = append(lines, problem.String())
	}
	if len(lines) > 0 {
		return Settings{}, Error.New("%s", strings.Join(lines, "\n"))
	}
	return s, nil
}

// fillAdvertised sets advertised addresses that are empty to the address that
// the node listens on.
func (s *Settings) fillAdvertised() {
	if s.Listen.HTTPAdvertised == "" {
		s.Listen.HTTPAdvertised = s.Listen.HTTP
	}
	if s.Listen.GRPCAdvertised == "" {
		s.Listen.GRPCAdvertised = s.Listen.GRPC
	}
}

// HTTPBaseURL returns the base URL of the HTTP API for its clients.
func (s Settings) HTTPBaseURL() string {
	if s.TLS.CertificateFile != "" {
		return "https://" + s.Listen.HTTPAdvertised
	}
	return "http://" + s.Listen.HTTPAdvertised
}

// unknownKeys describes each setting with an unknown name.
func unknownKeys(unknown *toml.StrictMissingError) []string {
	lines := make([]string, len(unknown.Errors))
	for i := range unknown.Errors {
		row, _ := unknown.Errors[i].Position()
		key := strings.Join(unknown.Errors[i].Key(), ".")
		lines[i] = fmt.Sprintf("%s: unknown setting in line %d", key, row)
	}
	return lines
}

// describeDecodeError returns the message of an error that stopped the decoder,
// with the line, the column and the key if they are known.
func describeDecodeError(err error) string {
	var decodeErr *toml.DecodeError
	if errors.As(err, &decodeErr) {
		row, column := decodeErr.Position()
		text := fmt.Sprintf("line %d, column %d: %s", row, column, decodeErr.Error())
		if key := strings.Join(decodeErr.Key(), "."); key != "" {
			text = key + ": " + text
		}
		return text
	}
	return err.Error()
}
