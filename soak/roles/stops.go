package roles

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http/httptest"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"dogwoodline.example/duty"
	"dogwoodline.example/emulator/usersplatform"
)

const (
	// workServers is the number of backend servers of a run of planned stops.
	workServers = 4
	// gracePeriod is how long a process has after SIGTERM until the platform kills it.
	gracePeriod = 8 * time.Second
	// betweenStops bounds the pause between two planned stops, and betweenSignals the
	// pause before a further signal to a front that stops.
	betweenStops   = time.Second
	betweenSignals = 2 * time.Second
	// workStall is how much longer some requests take around a stop.
	workStall = 4 * time.Second
)

// StopsConfig describes a run of planned stops while the load never pauses.
type StopsConfig struct {
	// Binary, Seed, SecondOctet and Log are as in Config.
	Binary      string
	Seed        uint64
	SecondOctet int
	Log         *slog.Logger
	// Fronts and Clients are the numbers of front processes and of clients.
	Fronts, Clients int
	// Stops is how many fronts are stopped, one after the other.
	Stops int
	// Signals sends further signals to fronts that are stopping.
	Signals bool
	// Stall makes some requests take so long, around each stop, that they are still
	// running when the front has to end.
	Stall bool
}

// StopsResult is the outcome of a run of planned stops.
type StopsResult struct {
	Seed uint64
	// Answered requests got the answer of a backend server, Refused ones a promise that
	// they have not run, and Unknown ones another answer of a front.
	Answered, Refused, Unknown int
	// Crossed requests met the end of their connection before a front had read them, and
	// clients gave the GaveUp ones up.
	Crossed, GaveUp int
	Violations      []string
	Folder          string // of the logs; removed unless there are violations
}

// Write prints the result in readable form.
func (r StopsResult) Write(w io.Writer) error {
	_, err := fmt.Fprintf(w, "seed %d, planned stops: %d answered, %d refused, %d not known, %d crossed, %d given up, %d violations\n",
		r.Seed, r.Answered, r.Refused, r.Unknown, r.Crossed, r.GaveUp, len(r.Violations))
	for _, line := range r.Violations {
		if err == nil {
			_, err = fmt.Fprintln(w, " ", line)
		}
	}
	if err == nil && len(r.Violations) > 0 {
		_, err = fmt.Fprintln(w, "  logs:", r.Folder)
	}
	return err
}

// RunStops stops one front after the other as the platform does, while clients that
// never pause send calls that may not be repeated. It checks that each request that
// a front has read is answered.
func RunStops(ctx context.Context, config StopsConfig) (StopsResult, error) {
	if config.SecondOctet == 0 {
		config.SecondOctet = defaultNet
	}
	folder, err := os.MkdirTemp("", "dogwoodline-stops-")
	if err != nil {
		return StopsResult{}, Error.Wrap(err)
	}
	d, err := deploy(ctx, Config{Binary: config.Binary, Fronts: config.Fronts, Stores: 3, SecondOctet: config.SecondOctet}, folder)
	stop := sync.OnceFunc(d.stop)
	defer stop()
	if err != nil {
		return StopsResult{Folder: folder}, err
	}
	servers, err := d.addWorkServers(ctx)
	if err != nil {
		return StopsResult{Folder: folder}, err
	}
	var ips []string
	for _, h := range d.fronts {
		ips = append(ips, h.settings.IP)
	}
	clients := duty.NewGroup(ctx, config.Log, metrics.NewSet())
	posts := make([]*postClient, config.Clients)
	for i := range posts {
		posts[i] = newPostClient(fmt.Sprintf("s%d-post%d", config.Seed, i), ips, i%2 == 0, rand.New(rand.NewPCG(config.Seed, uint64(i)+1)))
		clients.Go("post-client", posts[i].run)
	}
	stopper := &frontStopper{deployment: d, servers: servers, config: config, random: rand.New(rand.NewPCG(config.Seed, 0))}
	failure := stopper.run(ctx)
	clients.Stop()
	stop() // the folder can be removed only when no process writes to it
	result := checkPosts(posts, servers)
	result.Seed, result.Folder = config.Seed, folder
	if failure != nil {
		result.Violations = append(result.Violations, failure.Error())
	}
	if len(result.Violations) == 0 {
		err = os.RemoveAll(folder)
	}
	return result, Error.Wrap(err)
}

// addWorkServers starts and registers the backend servers.
func (d *deployment) addWorkServers(ctx context.Context) ([]*usersplatform.WorkBackend, error) {
	var servers []*usersplatform.WorkBackend
	for i := range workServers {
		server := usersplatform.NewWorkBackend(fmt.Sprintf("work-%d", i))
		listening := httptest.NewServer(server)
		d.servers = append(d.servers, listening)
		if err := server.Register(ctx, d.store, listening.Listener.Addr().String()); err != nil {
			return nil, Error.Wrap(err)
		}
		servers = append(servers, server)
	}
	return servers, nil
}

// frontStopper stops the fronts of a deployment.
type frontStopper struct {
	deployment *deployment
	servers    []*usersplatform.WorkBackend
	config     StopsConfig
	random     *rand.Rand
}

func (s *frontStopper) run(ctx context.Context) error {
	for i := range s.config.Stops {
		if err := pause(ctx, betweenStops); err != nil {
			return err
		}
		h := s.deployment.fronts[i%len(s.deployment.fronts)]
		if err := s.stop(ctx, h); err != nil {
			return err
		}
		if err := h.start(s.deployment.binary); err != nil {
			return err
		}
		if err := s.deployment.awaitService(ctx, recoveryLimit); err != nil {
			return err
		}
	}
	return nil
}

// stop stops a front and waits until its process has ended.
func (s *frontStopper) stop(ctx context.Context, h *host) error {
	s.stall(workStall)
	defer s.stall(0)
	h.signal(syscall.SIGTERM)
	kill := time.AfterFunc(gracePeriod, func() { h.signal(syscall.SIGKILL) })
	defer kill.Stop()
	for s.config.Signals {
		wait := time.Duration(s.random.Int64N(int64(betweenSignals)))
		select {
		case <-h.exited:
			return nil
		case <-time.After(wait):
		case <-ctx.Done():
			return ctx.Err()
		}
		h.signal([]syscall.Signal{syscall.SIGTERM, syscall.SIGHUP}[s.random.IntN(2)])
	}
	select {
	case <-h.exited:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// stall makes some requests slow, if the run is one with requests that stall.
func (s *frontStopper) stall(by time.Duration) {
	if !s.config.Stall {
		return
	}
	for _, server := range s.servers {
		server.SetStall(by)
	}
}
