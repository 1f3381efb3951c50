package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http/httptest"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dogwoodline.example/api"
	"dogwoodline.example/outcome"
	"dogwoodline.example/program"
)

func TestCommands(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "dogwoodline")
}

// fakeService answers each model call with an echo of its prompt, in one chunk.
// A refuse outcome with a code makes all calls fail with that outcome.
type fakeService struct {
	address string
	refuse  outcome.Outcome
}

var completed = outcome.Outcome{Code: outcome.Completed}

func (f *fakeService) Address(string) api.Address {
	return api.Address{Address: f.address, Zone: "az-a", MaxAgeMS: 1000}
}

func (f *fakeService) Start(context.Context, string, api.StartRequest) program.Reply {
	return program.Reply{Outcome: completed}
}

func (f *fakeService) Call(
	_ context.Context, _, _ string, r api.CallRequest, _ func(program.Chunk) error,
) program.Reply {
	if f.refuse.Code != "" {
		return program.Reply{Outcome: f.refuse}
	}
	return program.Reply{Outcome: completed, Answer: []byte("echo " + r.Messages[0].Content), Attempt: 1, Recorded: true}
}

func (f *fakeService) History(context.Context, string, string) program.Reply { return program.Reply{} }

func (f *fakeService) End(context.Context, string, string) program.Reply {
	return program.Reply{Outcome: completed}
}

func (f *fakeService) Ready() error                           { return nil }
func (f *fakeService) Authenticate(key string) (string, bool) { return "t", key == "key" }

// fakeResources stores resources in memory. With concurrentWrite, each Put finds
// that another operator has written since the Get.
type fakeResources struct {
	stored          map[string]api.Resource
	revision        int64
	concurrentWrite bool
}

func (f *fakeResources) Get(_ context.Context, kind, name string) (api.Resource, error) {
	found, ok := f.stored[kind+"/"+name]
	if !ok {
		return found, api.ErrNotFound
	}
	return found, nil
}

func (f *fakeResources) List(context.Context, string) (api.ResourceList, error) {
	list := api.ResourceList{Revision: f.revision}
	for _, found := range f.stored {
		list.Resources = append(list.Resources, found)
	}
	return list, nil
}

func (f *fakeResources) Put(
	_ context.Context, kind, name string, spec json.RawMessage, expected int64,
) (api.Resource, error) {
	current := f.stored[kind+"/"+name].Version
	if f.concurrentWrite {
		current = 99
	}
	if current != expected {
		return api.Resource{}, &api.ConflictError{CurrentVersion: current}
	}
	f.revision++
	written := api.Resource{Kind: kind, Name: name, Version: f.revision, Spec: spec}
	f.stored[kind+"/"+name] = written
	return written, nil
}

func (f *fakeResources) Delete(_ context.Context, kind, name string, expected int64) error {
	if f.stored[kind+"/"+name].Version != expected {
		return &api.ConflictError{CurrentVersion: f.stored[kind+"/"+name].Version}
	}
	delete(f.stored, kind+"/"+name)
	return nil
}

func (f *fakeResources) Watch(ctx context.Context, kind string, _ int64, _ time.Duration) (api.ResourceList, error) {
	return f.List(ctx, kind)
}

var _ = Describe("Commands", func() {
	var (
		service   *fakeService
		resources *fakeResources
		node      *httptest.Server
	)
	BeforeEach(func() {
		service = &fakeService{}
		resources = &fakeResources{stored: map[string]api.Resource{}}
		node = httptest.NewServer(api.New(api.Config{
			Service: service, Authenticator: service, Resources: resources,
			Metrics: metrics.NewSet(), Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
		}))
		DeferCleanup(node.Close)
		service.address = node.URL
	})
	// exec runs a command and returns its exit code and its combined output.
	exec := func(args ...string) (int, string) {
		var out bytes.Buffer
		code := run(args, &out, &out)
		return code, out.String()
	}
	// execOnNode runs a command against the test node.
	execOnNode := func(args ...string) (int, string) { return exec(append(args, "--node", node.URL)...) }
	writeFile := func(text string) string {
		path := filepath.Join(GinkgoT().TempDir(), "file.toml")
		Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
		return path
	}
	pool := "[[resources]]\nkind = \"pool\"\nname = \"a\"\n[resources.spec]\nmodel = \"m\"\n"

	It("applies, gets, watches and deletes resources", func() {
		code, out := execOnNode("apply", "-f", writeFile(pool))
		Expect(out).To(Equal("pool a: version 1\n"))
		Expect(code).To(Equal(exitDone))
		_, out = execOnNode("get", "pool")
		Expect(out).To(MatchRegexp(`pool +a +1 +\{"model":"m","role":"both"\}`))
		_, out = execOnNode("get", "pool", "a", "--output", "json")
		Expect(out).To(MatchJSON(`{"kind":"pool","name":"a","version":1,"spec":{"model":"m","role":"both"}}`))
		code, out = execOnNode("watch", "pool", "--count", "1", "--output", "json")
		Expect(code).To(Equal(exitDone))
		Expect(out).To(ContainSubstring(`"version":1`))
		code, _ = execOnNode("delete", "pool", "a")
		Expect(code).To(Equal(exitDone))
		code, _ = execOnNode("get", "pool", "a")
		Expect(code).To(Equal(exitNotFound))
	})

	It("reports a conflict with another operator's write and does not overwrite it", func() {
		resources.concurrentWrite = true
		code, out := execOnNode("apply", "-f", writeFile(pool))
		Expect(code).To(Equal(exitConflict))
		Expect(out).To(ContainSubstring("pool a: version conflict: current version is 99"))
	})

	It("runs a program and prints its answers", func() {
		code, out := execOnNode("run", "--key", "key", "--class", "c", "one", "two")
		Expect(out).To(And(ContainSubstring("echo one"), ContainSubstring("echo two"), ContainSubstring("recorded: true")))
		Expect(code).To(Equal(exitDone))
	})

	DescribeTable("maps the outcome of a failed program to an exit code",
		func(code outcome.Code, reason outcome.Reason, expected int) {
			service.refuse = outcome.Outcome{Code: code, Reason: reason, RetryAfterMS: 3_600_000}
			got, out := execOnNode("run", "--key", "key", "--class", "c", "one")
			Expect(out).To(ContainSubstring(string(code)))
			Expect(got).To(Equal(expected))
		},
		Entry(nil, outcome.OverBudget, outcome.Reason(""), exitFailed),
		Entry(nil, outcome.Unknown, outcome.ConnectionLost, exitFailed),
		Entry(nil, outcome.Invalid, outcome.Malformed, exitUsage),
		Entry(nil, outcome.Invalid, outcome.UnknownProgram, exitNotFound),
		Entry(nil, outcome.Invalid, outcome.Conflict, exitConflict),
		Entry(nil, outcome.NotRun, outcome.Overloaded, exitUnavailable),
	)

	It("maps invalid input and unreachable nodes to exit codes", func() {
		for _, args := range [][]string{
			{"no-such-command"}, {"get", "--output", "xml"}, {"check-config", "missing.toml"},
			{"check-config", writeFile("[node]\nid = 3\n")}, {"apply", "-f", writeFile("")}, {"apply", "-f", writeFile("[[resourcez]]\n")},
			{"apply", "-f", writeFile("[[resources]]\nkind = \"pool\"\nname = \"a\"\n")},
		} {
			code, out := exec(args...)
			Expect(code).To(Equal(exitUsage), fmt.Sprint(args, out))
		}
		node.Close()
		code, _ := execOnNode("route", "p")
		Expect(code).To(Equal(exitUnavailable))
		code, _ = execOnNode("get")
		Expect(code).To(Equal(exitUnavailable))
	})

	It("prints the address of a program as JSON", func() {
		code, out := execOnNode("route", "p", "--output", "json")
		Expect(code).To(Equal(exitDone))
		Expect(out).To(ContainSubstring(`"availability_zone":"az-a"`))
	})

	It("finds no problem in the settings, resources and host lists of the examples", func() {
		paths, err := filepath.Glob("../../examples/*/*.toml")
		Expect(err).NotTo(HaveOccurred())
		Expect(paths).NotTo(BeEmpty())
		for _, path := range append(paths, "../../settings/example.toml") {
			switch filepath.Base(path) {
			case "resources.toml":
				code, out := execOnNode("apply", "-f", path)
				Expect(code).To(Equal(exitDone), out)
			case "hosts.toml":
				Expect(readHosts(path)).To(HaveLen(4))
			default:
				code, out := exec("check-config", path)
				Expect(code).To(Equal(exitDone), out)
			}
		}
	})
})

// fakeNode runs until its context is done. Drain closes draining and returns
// the error that is sent to result.
type fakeNode struct {
	draining chan struct{}
	result   chan error
}

func (f *fakeNode) Run(ctx context.Context) error {
	<-ctx.Done()
	return ctx.Err()
}

func (f *fakeNode) Drain(context.Context) error {
	close(f.draining)
	return <-f.result
}

var _ = Describe("Signals", func() {
	It("drain the node, and a second signal stops it without waiting", func() {
		log := slog.New(slog.NewTextHandler(io.Discard, nil))
		node := &fakeNode{draining: make(chan struct{}), result: make(chan error, 1)}
		signals := make(chan os.Signal, 2)
		signals <- syscall.SIGTERM
		node.result <- nil
		Expect(serve(node, signals, time.Minute, log)).To(Succeed())

		node = &fakeNode{draining: make(chan struct{}), result: make(chan error)}
		signals <- syscall.SIGTERM
		serveErr := make(chan error, 1)
		go func() { serveErr <- serve(node, signals, time.Minute, log) }()
		<-node.draining
		signals <- syscall.SIGTERM
		Eventually(serveErr, 10*time.Second).Should(Receive(MatchError(errReported)))
	})
})
