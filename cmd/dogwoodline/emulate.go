package main

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/pelletier/go-toml/v2"
	"github.com/zeebo/errs"

	"dogwoodline.example/emulator/engine"
	"dogwoodline.example/emulator/platformserver"
	"dogwoodline.example/emulator/service"
	"dogwoodline.example/kvstore"
	"dogwoodline.example/settings"
)

type emulateCommand struct {
	Platform emulatePlatform `cmd:"" help:"Run the emulator of the platform store, the host list and the weight store."`
	Engine   emulateEngine   `cmd:"" help:"Run the emulator of a model engine."`
	Service  emulateService  `cmd:"" help:"Run the emulator of a tool service."`

	UsersPlatform emulateUsersPlatform `cmd:"" help:"Run the emulator of the users' platform and of a backend server, for the front and store commands."`
}

type emulatePlatform struct {
	Listen string `default:"127.0.0.1:7001" help:"IP address and port to listen on."`
	Admin  string `default:"127.0.0.1:7002" help:"IP address and port of the admin API, which injects faults."`
	Hosts  string `placeholder:"FILE" help:"TOML file with [[hosts]] tables of name, address, zone and state."`
}

type emulateEngine struct {
	Listen      string `default:"127.0.0.1:7301" help:"IP address and port to listen on."`
	Name        string `default:"engine-1" help:"Name of the backend server."`
	Slots       int    `default:"16" help:"Maximum number of concurrent calls."`
	Model       string `help:"Name of the loaded model. Default: the engine accepts any model."`
	ObeyFencing bool   `help:"Refuse requests that carry a lower fencing number than one seen before."`
}

type emulateService struct {
	Listen string `default:"127.0.0.1:7401" help:"IP address and port to listen on."`
	Name   string `default:"ledger" help:"Name of the service."`
	Lookup bool   `help:"Offer a lookup of the state of a request by its id."`
}

// startPlatform starts the emulator, which serves until ctx is done.
func startPlatform(ctx context.Context, e emulatePlatform, hosts []kvstore.Host) error {
	server := platformserver.New(platformserver.Settings{Seed: 1})
	server.SetHosts(hosts)
	_, _, err := server.Listen(ctx, e.Listen, e.Admin)
	return err
}

// startEngine starts the emulator, which serves until ctx is done.
func startEngine(ctx context.Context, e emulateEngine) error {
	config := engine.DefaultConfig()
	config.Name, config.Address, config.Slots, config.ObeyFencing = e.Name, e.Listen, e.Slots, e.ObeyFencing
	if e.Model != "" {
		config.Models = []string{e.Model}
	}
	_, err := engine.Start(ctx, config)
	return err
}

// startService starts the emulator, which serves until ctx is done.
func startService(ctx context.Context, e emulateService) error {
	_, err := service.Start(ctx, service.Config{Name: e.Name, Address: e.Listen, Lookup: e.Lookup})
	return err
}

// Run runs the platform emulator.
func (e emulatePlatform) Run(c *console) error {
	hosts, err := readHosts(e.Hosts)
	if err != nil {
		return errs.Combine(errUsage, err)
	}
	start := func(ctx context.Context) error { return startPlatform(ctx, e, hosts) }
	return serveEmulator(c, "platform", e.Listen, start)
}

// Run runs the engine emulator.
func (e emulateEngine) Run(c *console) error {
	start := func(ctx context.Context) error { return startEngine(ctx, e) }
	return serveEmulator(c, e.Name, e.Listen, start)
}

// Run runs the service emulator.
func (e emulateService) Run(c *console) error {
	start := func(ctx context.Context) error { return startService(ctx, e) }
	return serveEmulator(c, e.Name, e.Listen, start)
}

// serveEmulator starts an emulator and waits for a signal to stop it.
func serveEmulator(c *console, name, listen string, start func(context.Context) error) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := start(ctx); err != nil {
		return err
	}
	log := newLogger(c.stderr, settings.Default().Log)
	log.Info("emulator: listening", "name", name, "address", listen)
	<-ctx.Done()
	return nil
}

// readHosts reads the host list of a TOML file. An empty path means no hosts.
func readHosts(path string) ([]kvstore.Host, error) {
	var file struct {
		Hosts []kvstore.Host `toml:"hosts"`
	}
	if path == "" {
		return nil, nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	if err := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields().Decode(&file); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return file.Hosts, nil
}
