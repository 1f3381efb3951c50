// Package settings reads and checks the settings of a node.
//
// A settings file is TOML. Units stand in the names of the settings. Unknown
// names are refused, so that a spelling mistake does not leave a default in
// force, and all problems are reported at once.
package settings

import (
	"bytes"
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
	TLS       TLS       `toml:"tls"`
	Operator  Operator  `toml:"operator"`
	Log       Log       `toml:"log"`
}

// Node says which node this is and where it runs.
type Node struct {
	ID               string `toml:"id"`
	Host             string `toml:"host"`
	AvailabilityZone string `toml:"availability_zone"`
	Region           string `toml:"region"`
	// DrainTimeoutMS is how long a planned stop waits for calls in progress.
	DrainTimeoutMS int64 `toml:"drain_timeout_ms"`
}

// Listen holds the addresses of the node, by IP number and port.
type Listen struct {
	HTTP string `toml:"http"`
	GRPC string `toml:"grpc"`
	// HTTPAdvertised and GRPCAdvertised are what others connect to. Empty
	// means the same as the listen address.
	HTTPAdvertised string `toml:"http_advertised"`
	GRPCAdvertised string `toml:"grpc_advertised"`
}

// Platform says how the platform store is reached.
type Platform struct {
	// Address is the base URL, by IP number.
	Address   string `toml:"address"`
	TimeoutMS int64  `toml:"timeout_ms"`
	// LeaseTTLMS is how long the node counts as live without a renewal.
	LeaseTTLMS int64 `toml:"lease_ttl_ms"`
}

// Journal bounds what the journal writes and holds.
type Journal struct {
	WritesPerSecond int64 `toml:"journal_writes_per_second"`
	// TailRecords and TailBytes bound what is held while the platform store
	// is down.
	TailRecords int64 `toml:"journal_tail_records"`
	TailBytes   int64 `toml:"journal_tail_bytes"`
}

// Placement divides the programs over the nodes.
type Placement struct {
	// Shards is the same on all nodes and is never changed.
	Shards int64 `toml:"shards"`
}

// Rings holds the slots of the rings where requests wait. The rings for
// completions have room for everything that can be outstanding and are not
// settings.
type Rings struct {
	// Commands holds requests for the programs duty.
	Commands int64 `toml:"commands"`
	// Journal holds records for the journal duty.
	Journal int64 `toml:"journal"`
}

// Schedule says how calls are queued and carried.
type Schedule struct {
	Policy string `toml:"policy"`
	// CallWorkers is the number of calls in flight from this node.
	CallWorkers int64 `toml:"call_workers"`
}

// TLS names the files for encrypted connections. All or none are set.
type TLS struct {
	CertificateFile string `toml:"certificate_file"`
	KeyFile         string `toml:"key_file"`
	AuthorityFile   string `toml:"authority_file"`
}

// Operator protects the resources.
type Operator struct {
	// Key is sent by operators as a bearer token. Empty means that everybody
	// who reaches the HTTP address may change resources.
	Key string `toml:"key"`
}

// Log says what is logged and how.
type Log struct {
	Level  string `toml:"level"`
	Format string `toml:"format"`
}

// Default returns the settings that hold where a file says nothing.
func Default() Settings {
	return Settings{
		Node:     Node{DrainTimeoutMS: 60_000},
		Platform: Platform{TimeoutMS: 2_000, LeaseTTLMS: 3_000},
		// 30 writes a second for each of 7 nodes, with a lease renewal a
		// second each, stay at 217 of the store's several hundred.
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
			return Settings{}, Error.New("%s", decodeProblem(err))
		}
		lines = unknownKeys(unknown) // all other settings were decoded
	}
	s.fill()
	for _, problem := range s.Problems() {
		lines = append(lines, problem.String())
	}
	if len(lines) > 0 {
		return Settings{}, Error.New("%s", strings.Join(lines, "\n"))
	}
	return s, nil
}

func (s *Settings) fill() {
	if s.Listen.HTTPAdvertised == "" {
		s.Listen.HTTPAdvertised = s.Listen.HTTP
	}
	if s.Listen.GRPCAdvertised == "" {
		s.Listen.GRPCAdvertised = s.Listen.GRPC
	}
}

// HTTPBaseURL returns the base URL that callers use.
func (s Settings) HTTPBaseURL() string {
	if s.TLS.CertificateFile != "" {
		return "https://" + s.Listen.HTTPAdvertised
	}
	return "http://" + s.Listen.HTTPAdvertised
}

func unknownKeys(unknown *toml.StrictMissingError) []string {
	lines := make([]string, len(unknown.Errors))
	for i := range unknown.Errors {
		row, _ := unknown.Errors[i].Position()
		key := strings.Join(unknown.Errors[i].Key(), ".")
		lines[i] = fmt.Sprintf("%s: unknown setting in line %d", key, row)
	}
	return lines
}

// decodeProblem tells the place of a mistake that keeps the file from being
// decoded.
func decodeProblem(err error) string {
	var wrong *toml.DecodeError
	if errors.As(err, &wrong) {
		row, column := wrong.Position()
		place := fmt.Sprintf("line %d, column %d: %s", row, column, wrong.Error())
		if key := strings.Join(wrong.Key(), "."); key != "" {
			place = key + ": " + place
		}
		return place
	}
	return err.Error()
}
