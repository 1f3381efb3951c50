package main

import (
	"context"
	"os/signal"
	"syscall"

	"dogwoodline.example/settings"
)

type emulateCommand struct {
	Platform emulatePlatform `cmd:"" help:"Run the stand-in for the platform store, the host list and the weight store."`
	Engine   emulateEngine   `cmd:"" help:"Run the stand-in for a model engine."`
	Service  emulateService  `cmd:"" help:"Run the stand-in for a tool service."`
}

type emulatePlatform struct {
	Listen string `default:"127.0.0.1:7001" help:"IP number and port to listen on."`
	Hosts  string `placeholder:"FILE" help:"TOML file with the host list."`
}

type emulateEngine struct {
	Listen string `default:"127.0.0.1:7301" help:"IP number and port to listen on."`
	Name   string `default:"engine-1" help:"Name of the backend server."`
	Slots  int    `default:"8" help:"Calls that run at the same time."`
	Model  string `default:"model-a" help:"Model that is loaded."`
}

type emulateService struct {
	Listen string `default:"127.0.0.1:7401" help:"IP number and port to listen on."`
	Name   string `default:"ledger" help:"Name of the service."`
}

// standIn is what these commands need from a stand-in.
type standIn interface {
	// Serve answers at the address until ctx ends.
	Serve(ctx context.Context, listen string) error
}

func newPlatformStandIn(emulatePlatform) (standIn, error) {
	// TODO(lead): return platformserver.New(hosts, log).
	return nil, errNotBuilt
}

func newEngineStandIn(emulateEngine) (standIn, error) {
	// TODO(lead): return engine.New(name, model, slots, log).
	return nil, errNotBuilt
}

func newServiceStandIn(emulateService) (standIn, error) {
	// TODO(lead): return service.New(name, log).
	return nil, errNotBuilt
}

// Run runs the platform stand-in.
func (e emulatePlatform) Run(c *console) error {
	server, err := newPlatformStandIn(e)
	return serveStandIn(c, "platform", e.Listen, server, err)
}

// Run runs the engine stand-in.
func (e emulateEngine) Run(c *console) error {
	server, err := newEngineStandIn(e)
	return serveStandIn(c, "engine "+e.Name, e.Listen, server, err)
}

// Run runs the service stand-in.
func (e emulateService) Run(c *console) error {
	server, err := newServiceStandIn(e)
	return serveStandIn(c, "service "+e.Name, e.Listen, server, err)
}

func serveStandIn(c *console, name, listen string, server standIn, err error) error {
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	log := newLog(c.errOut, settings.Default().Log)
	log.Info("emulator: listening", "stand_in", name, "address", listen)
	return server.Serve(ctx, listen)
}
