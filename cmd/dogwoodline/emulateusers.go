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

// emulateUsersPlatform runs the users' metadata store and one backend server,
// and writes the settings files of a small deployment.
type emulateUsersPlatform struct {
	Listen  string `default:"127.0.0.1:7601" help:"IP number and port of the metadata store."`
	Backend string `default:"127.0.0.1:7602" help:"IP number and port of a backend server that answers all routes."`
	Hosts   string `required:"" placeholder:"FOLDER" help:"Folder for the settings files of four stores and two fronts."`
}

const (
	// standInEvents and standInPause shape the streams of the backend server.
	standInEvents = 5
	standInPause  = 20 * time.Millisecond
	// standInPeerPort is free on the loopback addresses of the deployment.
	standInPeerPort = 7380
	// standInHeaderTimeout bounds how long a client may take for a header.
	standInHeaderTimeout = 10 * time.Second
)

// Run serves until SIGTERM.
func (e emulateUsersPlatform) Run(c *console) error {
	if err := e.writeHosts(); err != nil {
		return errs.Combine(errUsage, err)
	}
	return serveStandIn(c, "users-platform", e.Listen, e.start)
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
		host.PeerPort, host.Store = standInPeerPort, e.Listen
		if err := os.WriteFile(filepath.Join(folder, host.Name+".toml"), []byte(host.Settings()), 0o644); err != nil {
			return err
		}
	}
	return nil
}

// start serves until ctx ends.
func (e emulateUsersPlatform) start(ctx context.Context) error {
	store := usersplatform.NewStore(clockwork.NewRealClock())
	backend := &usersplatform.Backend{ID: "backend-1", Events: standInEvents}
	backend.SetPause(standInPause)
	if err := store.Configure(ctx, backend, e.Backend); err != nil {
		return err
	}
	for address, handler := range map[string]http.Handler{e.Listen: store.Handler(), e.Backend: backend} {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return err
		}
		server := &http.Server{Handler: handler, ReadHeaderTimeout: standInHeaderTimeout}
		context.AfterFunc(ctx, func() { _ = server.Close() })
		go func() { _ = server.Serve(listener) }()
	}
	return nil
}
