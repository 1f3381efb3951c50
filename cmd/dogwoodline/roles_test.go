package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dogwoodline.example/emulator/usersplatform"
)

// fleetTest is a deployment of real processes on loopback addresses, before a
// stand-in of the users' platform.
type fleetTest struct {
	binary   string
	platform *usersplatform.Store
	address  string // of the platform's store
	backend  *usersplatform.Backend
	hosts    map[string]*hostTest
}

type hostTest struct {
	name, role, ip string
	folder         string
	process        *exec.Cmd
	logs           *os.File
}

func startFleet() *fleetTest {
	binary := filepath.Join(GinkgoT().TempDir(), "dogwoodline")
	output, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput()
	Expect(err).NotTo(HaveOccurred(), string(output))
	f := &fleetTest{
		binary: binary, platform: usersplatform.NewStore(clockwork.NewRealClock()), hosts: map[string]*hostTest{},
		backend: &usersplatform.Backend{ID: "i-1", Events: 3},
	}
	store := httptest.NewServer(f.platform.Handler())
	backend := httptest.NewServer(f.backend)
	DeferCleanup(backend.Close)
	DeferCleanup(func() {
		store.CloseClientConnections()
		store.Close()
	})
	f.address = store.Listener.Addr().String()
	ctx := context.Background()
	Expect(f.platform.Put(ctx, "servers/i-1", map[string]any{
		"Service": "llm", "Address": backend.Listener.Addr().String(), "Zone": "a", "Slots": 8, "State": "ready",
	})).To(Succeed())
	Expect(f.platform.Put(ctx, "op/config", json.RawMessage(`{"Version":3,"Routes":[
		{"Name":"turns","Host":"site.example","PathPrefix":"/t/","Kind":"streaming","TimeoutMs":5000,"Service":"llm","Attempts":1,"Retain":true,"RetentionS":60},
		{"Name":"tool","Host":"site.example","PathPrefix":"/u/","Kind":"unsafe","TimeoutMs":5000,"Service":"llm"}],
		"Services":[{"Name":"llm","MaxConns":50,"Engine":{"Slots":8,"TokensPerEvent":5}}],"Limits":{"MaxBodyBytes":100000}}`))).To(Succeed())
	for i, name := range []string{"store-1", "store-2", "store-3", "store-4"} {
		f.start(name, "store", fmt.Sprintf("127.0.3.%d", i+1), GinkgoT().TempDir())
	}
	f.start("front-1", "front", "127.0.4.1", "")
	f.start("front-2", "front", "127.0.4.2", "")
	DeferCleanup(func() {
		for _, h := range f.hosts {
			f.signal(h.name, syscall.SIGKILL)
		}
	})
	f.ready("front-1")
	f.ready("front-2")
	return f
}

func freePort(ip string) int {
	listener, err := net.Listen("tcp", ip+":0")
	Expect(err).NotTo(HaveOccurred())
	defer listener.Close()
	return listener.Addr().(*net.TCPAddr).Port
}

func (f *fleetTest) start(name, role, ip, folder string) {
	h := &hostTest{name: name, role: role, ip: ip, folder: folder}
	f.hosts[name] = h
	port := freePort(ip)
	listen, data := "[Listen]\n", ""
	if role == "front" {
		listen += fmt.Sprintf("Front = %q\nReady = %q\nDirectory = %q\n", ip+":8149", ip+":8141", ip+":8143")
	} else {
		data = fmt.Sprintf("DataDir = %q\n", folder)
	}
	settings := filepath.Join(GinkgoT().TempDir(), "node.toml")
	content := fmt.Sprintf("NodeName = %q\nIp = %q\nZone = %q\nPortRange = [%d,%d]\n%s%s[Limits]\nMemoryMb = 200\nMaxFds = 4100\n"+
		"[FaultTolerance]\nMachines = 1\n[Bounds]\nDrainMs = 2000\nGraceS = 8\nttl_max_s = 5\n[Platform]\nAddress = %q\n"+
		"WritesPerS = 400\nReadsPerS = 2000\nTtlMinMs = 1000\n", name, ip, "zone-"+name, port, port, data, listen, f.address)
	Expect(os.WriteFile(settings, []byte(content), 0o644)).To(Succeed())
	h.process = exec.Command(f.binary, role)
	h.process.Env = append(os.Environ(), "DOGWOODLINE_BOOT="+settings)
	logs, err := os.Create(filepath.Join(GinkgoT().TempDir(), name+".log"))
	Expect(err).NotTo(HaveOccurred())
	h.logs = logs
	h.process.Stdout, h.process.Stderr = logs, logs
	Expect(h.process.Start()).To(Succeed())
}

// signal sends a signal to a host's process; SIGKILL also waits for its end.
func (f *fleetTest) signal(name string, s syscall.Signal) {
	h := f.hosts[name]
	if h.process.ProcessState != nil {
		return
	}
	Expect(h.process.Process.Signal(s)).To(Succeed())
	if s == syscall.SIGKILL {
		_ = h.process.Wait() // the error is the signal
	}
}

func (f *fleetTest) restart(name string) {
	h := f.hosts[name]
	f.start(name, h.role, h.ip, h.folder)
}

func (f *fleetTest) ready(name string) {
	Eventually(func() int {
		reply, err := http.Get("http://" + f.hosts[name].ip + ":8141/ready")
		if err != nil {
			return 0
		}
		reply.Body.Close()
		return reply.StatusCode
	}, "15s", "50ms").Should(Equal(http.StatusOK), "%s is ready", name)
}

// ask sends a turn to a front and returns the status and whether the answer
// was whole.
func (f *fleetTest) ask(front, path, id, previous, body string, header ...string) (int, string, error) {
	request, err := http.NewRequest("POST", "http://"+f.hosts[front].ip+":8149"+path, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	request.Host = "site.example"
	request.Header.Set("X-Request-Id", id)
	if strings.HasPrefix(path, "/t/") {
		request.Header.Set("X-Token-Count", "10,15")
	}
	if previous != "" {
		request.Header.Set("X-Previous-Turn", previous)
	}
	for i := 0; i+1 < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	reply, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		return 0, "", err
	}
	defer reply.Body.Close()
	content, err := io.ReadAll(reply.Body)
	return reply.StatusCode, string(content), err
}

func (f *fleetTest) lastBody() string {
	runs := f.backend.Runs()
	return runs[len(runs)-1].Body
}

var _ = Describe("Roles on the users' platform", Ordered, func() {
	var f *fleetTest
	// turn is served in the end, as clients try again after a refusal.
	turn := func(front, id, previous, body string, header ...string) {
		GinkgoHelper()
		Eventually(func() string {
			status, content, err := f.ask(front, "/t/x", id, previous, body, header...)
			return fmt.Sprintf("%d %v %d", status, err, strings.Count(content, "data:"))
		}, "12s", "100ms").Should(Equal("200 <nil> 3"))
	}

	BeforeAll(func() { f = startFleet() })

	It("continue a conversation at another front", func() {
		turn("front-1", "t1", "", "one")
		turn("front-2", "t2", "t1", "two")
		Expect(f.lastBody()).To(Equal("onet1-1\nt1-2\nt1-3\ntwo"))
		status, _, _ := f.ask("front-2", "/t/x", "t9", "never", "x")
		Expect(status).To(Equal(http.StatusNotFound))
	})

	It("hold a program's budget over fronts and over a restart of all stores", func() {
		program := []string{"X-Program-Id", "p", "X-Token-Budget", "30"}
		turn("front-1", "b1", "", "one", program...)
		turn("front-2", "b2", "", "two", program...)
		status, _, _ := f.ask("front-1", "/t/x", "b3", "", "three", program...)
		Expect(status).To(Equal(http.StatusPaymentRequired))
		for _, name := range []string{"store-1", "store-2", "store-3", "store-4"} {
			f.signal(name, syscall.SIGKILL)
		}
		for _, name := range []string{"store-1", "store-2", "store-3", "store-4"} {
			f.restart(name)
		}
		Eventually(func() int {
			status, _, _ := f.ask("front-2", "/t/x", "b4", "", "four", program...)
			return status
		}, "12s", "200ms").Should(Equal(http.StatusPaymentRequired))
		turn("front-1", "t3", "t2", "three")
		Expect(f.lastBody()).To(HaveSuffix("t2-3\nthree"))
	})

	It("keep a conversation when a store's disk is lost and another store is down", func() {
		f.signal("store-1", syscall.SIGKILL)
		f.hosts["store-1"].folder = GinkgoT().TempDir()
		f.restart("store-1")
		Eventually(func() string {
			item, _ := f.platform.Get(context.Background(), "copyset")
			return string(item.Value)
		}, "12s", "100ms").ShouldNot(ContainSubstring(`"ready":false`))
		f.signal("store-2", syscall.SIGKILL)
		turn("front-2", "t4", "t3", "four")
		Expect(f.lastBody()).To(HaveSuffix("t3-3\nfour"))
		f.restart("store-2")
	})

	It("finish what is under way when a front is stopped, and send clients elsewhere", func() {
		f.backend.SetPause(300 * time.Millisecond)
		before := len(f.backend.Runs())
		result := make(chan string, 1)
		go func() {
			status, content, err := f.ask("front-1", "/t/x", "d1", "", "one")
			result <- fmt.Sprintf("%d %v %d", status, err, strings.Count(content, "data:"))
		}()
		Eventually(func() int { return len(f.backend.Runs()) }, "5s", "10ms").Should(BeNumerically(">", before))
		f.signal("front-1", syscall.SIGTERM)
		Eventually(func() string {
			reply, err := http.Get("http://127.0.4.2:8143/resolve?Zone=a")
			if err != nil {
				return err.Error()
			}
			defer reply.Body.Close()
			content, _ := io.ReadAll(reply.Body)
			return string(content)
		}, "3s", "50ms").ShouldNot(ContainSubstring("127.0.4.1"))
		Eventually(result, "5s").Should(Receive(Equal("200 <nil> 3")))
		Eventually(func() error { return f.hosts["front-1"].process.Wait() }, "9s").Should(Succeed())
	})

	It("ran every request once", func() {
		status, content, err := f.ask("front-2", "/u/x", "u1", "", "post")
		Expect(fmt.Sprintf("%d %s %v", status, content, err)).To(Equal("200 done u1 <nil>"))
		seen := map[string]int{}
		for _, run := range f.backend.Runs() {
			seen[run.RequestID]++
			Expect(seen[run.RequestID]).To(Equal(1), run.RequestID)
		}
	})
})
