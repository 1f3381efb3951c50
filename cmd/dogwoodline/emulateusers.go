package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/zeebo/errs"

	"dogwoodline.example/emulator/usersplatform"
)

// emulateUsersPlatform emulates the metadata store of the users' platform and
// one backend server, and writes the settings files of a small deployment.
type emulateUsersPlatform struct {
	Listen  string `default:"127.0.0.1:7601" help:"IP address and port of the metadata store."`
	Backend string `default:"127.0.0.1:7602" help:"IP address and port of the backend server, which serves all routes."`
	Hosts   string `required:"" placeholder:"FOLDER" help:"Folder for the settings files of four stores and two fronts."`
}

const (
	// backendEvents is the number of events of each stream of the backend
	// server, backendEventInterval the time between them.
	backendEvents        = 5
	backendEventInterval = 20 * time.Millisecond
	// hostPeerPort is the port for traffic between the processes. It is free on
	// the loopback addresses of the deployment; each host has its own address.
	hostPeerPort = 7380
	// readHeaderTimeout bounds how long a client may take to send the request
	// header.
	readHeaderTimeout = 10 * time.Second
)

// Run serves until SIGTERM or SIGINT.
func (e emulateUsersPlatform) Run(c *console) error {
	if err := e.writeHosts(); err != nil {
		return errs.Combine(errUsage, err)
	}
	return serveEmulator(c, "users-platform", e.Listen, e.start)
}

// writeHosts writes the settings file of each host.
func (e emulateUsersPlatform) writeHosts() error {
	folder, err := filepath.Abs(e.Hosts)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return err
	}
	var hosts []usersplatform.Host
	for i := range 4 {
		name := fmt.Sprintf("store-%d", i+1)
		hosts = append(hosts, usersplatform.Host{Name: name, IP: fmt.Sprintf("127.0.3.%d", i+1), DataDir: filepath.Join(folder, name)})
	}
	for i := range 2 {
		hosts = append(hosts, usersplatform.Host{Name: fmt.Sprintf("front-%d", i+1), IP: fmt.Sprintf("127.0.4.%d", i+1)})
	}
	for _, host := range hosts {
		host.PeerPort, host.Store = hostPeerPort, e.Listen
		if err := os.WriteFile(filepath.Join(folder, host.Name+".toml"), []byte(host.Settings()), 0o644); err != nil {
			return err
		}
	}
	return nil
}

// start starts both servers, which serve until ctx is done.
func (e emulateUsersPlatform) start(ctx context.Context) error {
	store := usersplatform.NewStore(clockwork.NewRealClock())
	backend := &usersplatform.Backend{ID: "backend-1", Events: backendEvents}
	backend.SetPause(backendEventInterval)
	if err := store.Configure(ctx, backend, e.Backend); err != nil {
		return err
	}
	for address, handler := range map[string]http.Handler{e.Listen: store.Handler(), e.Backend: backend} {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return err
		}
		server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
		context.AfterFunc(ctx, func() { _ = server.Close() })
		go func() { _ = server.Serve(listener) }()
	}
	return nil
}
