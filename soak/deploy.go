package soak

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"time"

	"dogwoodline.example/api"
	"dogwoodline.example/api/client"
	"dogwoodline.example/emulator/engine"
	"dogwoodline.example/emulator/platformserver"
	"dogwoodline.example/emulator/service"
	"dogwoodline.example/kvstore"
	"dogwoodline.example/outcome"
	"dogwoodline.example/resource"
	"dogwoodline.example/settings"
	"dogwoodline.example/soak/relay"
)

const (
	zones       = 4
	tenantKey   = "soak-tenant-key"
	operatorKey = "soak-operator-key-0"
	// engineScale makes a call of 20 tokens take about 30 ms.
	engineScale = 10
	engineSlots = 16
	// agentClass has a budget that its programs do not use up, smallClass one
	// that they do.
	agentClass, smallClass = "agent", "small"
	agentBudget            = 200_000
	smallBudget            = 1200
	// crashMarker is the text that makes an engine crash.
	crashMarker = "CRASH-THE-ENGINE"
	probeName   = "probe"
)

// deployment is the set of stand-ins, relays and node processes of a run.
type deployment struct {
	config    Config
	folder    string
	temporary bool
	keep      bool
	platform  *platformserver.Server
	platformA string
	engines   []*backend
	ledger    *service.Service
	ledgerIn  *relay.Relay
	nodes     []*node
	// transport is shared, because each one keeps connections of its own open.
	transport http.RoundTripper
}

// backend is an engine stand-in with the relay in front of it.
type backend struct {
	name   string
	engine *engine.Engine
	in     *relay.Relay
}

// deploy starts everything. Whatever it started ends with close, also after
// an error.
func deploy(ctx context.Context, config Config) (d *deployment, err error) {
	d = &deployment{config: config, folder: config.Folder, transport: newTransport()}
	defer func() {
		if err != nil {
			d.close()
		}
	}()
	if d.folder == "" {
		d.temporary = true
		if d.folder, err = os.MkdirTemp("", "dogwoodline-soak-"); err != nil {
			return d, Error.Wrap(err)
		}
	}
	if err = d.startStandIns(ctx); err != nil {
		return d, err
	}
	for i := range config.Nodes {
		if err = d.addNode(fmt.Sprintf("node-%d", i+1), fmt.Sprintf("az-%d", i%zones+1)); err != nil {
			return d, err
		}
	}
	return d, d.declare(ctx)
}

func (d *deployment) startStandIns(ctx context.Context) error {
	var err error
	d.platform = platformserver.New(platformserver.Settings{Seed: d.config.Seed})
	if d.platformA, _, err = d.platform.Listen(ctx, "127.0.0.1:0", "127.0.0.1:0"); err != nil {
		return err
	}
	for i := range d.config.Engines {
		b := &backend{name: fmt.Sprintf("engine-%d", i+1)}
		config := engine.DefaultConfig()
		config.Name, config.Seed, config.TimeScale = b.name, uint64(i+1), engineScale
		config.Slots, config.CrashMarker = engineSlots, crashMarker
		if b.engine, err = engine.Start(ctx, config); err != nil {
			return err
		}
		d.engines = append(d.engines, b)
		if b.in, err = relay.Start(b.engine.Address()); err != nil {
			return err
		}
	}
	if d.ledger, err = service.Start(ctx, service.Config{Name: "ledger", Lookup: true}); err != nil {
		return err
	}
	slow := d.config.LedgerDelay.Milliseconds()
	if err = d.ledger.ApplySwitches(ctx, service.Switches{SlowMS: &slow}); err != nil {
		return err
	}
	d.ledgerIn, err = relay.Start(d.ledger.Address())
	d.platform.SetHosts(d.hosts(nil))
	return err
}

// hosts returns the host list with one engine leaving, or none.
func (d *deployment) hosts(leaving *backend) []kvstore.Host {
	var hosts []kvstore.Host
	for i, b := range d.engines {
		host := kvstore.Host{Name: b.name, Address: b.in.Address(), Zone: zoneOf(i), State: kvstore.HostLive}
		if b == leaving {
			host.State = kvstore.HostLeaving
		}
		hosts = append(hosts, host)
	}
	return hosts
}

func zoneOf(i int) string { return fmt.Sprintf("az-%d", i%zones+1) }

func (d *deployment) addNode(id, zone string) error {
	n := &node{id: id, zone: zone, folder: d.folder, binary: d.config.Binary, log: d.config.Log}
	d.nodes = append(d.nodes, n)
	var err error
	if n.platform, err = relay.Start(d.platformA); err != nil {
		return err
	}
	n.settings = settings.Default()
	n.settings.Node.ID, n.settings.Node.Host = id, "host-"+id
	n.settings.Node.AvailabilityZone, n.settings.Node.Region = zone, "soak"
	n.settings.Node.DrainTimeoutMS = 30_000
	n.settings.Platform.Address = "http://" + n.platform.Address()
	n.settings.Platform.LeaseTTLMS = d.config.Lease.Milliseconds()
	n.settings.Operator.Key = operatorKey
	if err := n.move(); err != nil {
		return err
	}
	return n.start()
}

// urls returns the base URLs of all nodes, in the order of the nodes.
func (d *deployment) urls() []string {
	urls := make([]string, len(d.nodes))
	for i, n := range d.nodes {
		urls[i] = n.url()
	}
	return urls
}

// client returns a client of all nodes.
func (d *deployment) client() *client.Client {
	return client.New(client.Config{Nodes: d.urls(), Key: tenantKey, OperatorKey: operatorKey, Transport: d.transport})
}

// declare writes the resources of the run.
func (d *deployment) declare(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	operator := d.client().Resources()
	put := func(kind resource.Kind, name string, spec any) error {
		data, err := json.Marshal(spec)
		if err != nil {
			return Error.Wrap(err)
		}
		for {
			_, err := operator.Put(ctx, string(kind), name, data, 0)
			if err == nil || ctx.Err() != nil {
				return Error.Wrap(err)
			}
			pause(ctx, 100*time.Millisecond)
		}
	}
	sum := sha256.Sum256([]byte(tenantKey))
	tools := []resource.Tool{{Service: "ledger", Operation: "post", MaxCost: 10}}
	class := resource.Class{Pool: "models", BudgetLimit: agentBudget, BudgetAhead: 4000, TurnLimit: 200,
		IdleLeaseMS: 60_000, DeadlineMS: 10_000, Tools: tools}
	small := class
	small.BudgetLimit, small.BudgetAhead = smallBudget, 200
	declared := []struct {
		kind resource.Kind
		name string
		spec any
	}{
		{resource.KindTenant, "soak", resource.Tenant{KeySHA256: hex.EncodeToString(sum[:]), Share: 1}},
		{resource.KindTenant, probeName, probeTenant(0)},
		{resource.KindPool, "models", resource.Pool{Model: "any"}},
		{resource.KindService, "ledger", resource.Service{Addresses: []string{d.ledgerIn.Address()}, Lookup: true,
			Operations: []resource.Operation{{Name: "post", Cost: 10}}}},
		{resource.KindClass, agentClass, class},
		{resource.KindClass, smallClass, small},
	}
	for _, one := range declared {
		if err := put(one.kind, one.name, one.spec); err != nil {
			return err
		}
	}
	for i, b := range d.engines {
		spec := resource.Backend{Pool: "models", Address: b.in.Address(), Zone: zoneOf(i), Slots: engineSlots, ChecksFencing: true}
		if err := put(resource.KindBackend, b.name, spec); err != nil {
			return err
		}
	}
	return nil
}

// probeTenant returns a tenant whose content differs with the number.
func probeTenant(content int) resource.Tenant {
	sum := sha256.Sum256(fmt.Appendf(nil, "probe-%d", content))
	return resource.Tenant{KeySHA256: hex.EncodeToString(sum[:]), Share: 1, ProgramBudgetMax: int64(content) + 1}
}

// settle waits until every node is ready and programs of many shards start.
func (d *deployment) settle(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	for _, n := range d.nodes {
		for !ready(ctx, n.url()) {
			if !pause(ctx, 100*time.Millisecond) {
				return Error.New("%s is not ready", n.id)
			}
		}
	}
	callers := d.client()
	for i := range 20 {
		request := api.StartRequest{ID: fmt.Sprintf("warm-%d", i), Class: agentClass}
		reply, err := callers.Start(ctx, request)
		if err != nil || reply.Outcome.Code != outcome.Completed {
			return Error.New("program cannot be started: %v %v", reply.Outcome, err)
		}
	}
	return nil
}

// ready reports whether a node says that it can serve.
func ready(ctx context.Context, url string) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url+"/readyz", nil)
	if err != nil {
		return false
	}
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	defer answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

// pause waits and reports false when ctx ended first.
func pause(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// close ends the node processes that were started here, then the stand-ins.
func (d *deployment) close() {
	for _, n := range d.nodes {
		if n.current != nil {
			n.current.kill()
		}
		for _, r := range []*relay.Relay{n.front, n.peers, n.platform} {
			if r != nil {
				r.Close()
			}
		}
	}
	for _, b := range d.engines {
		b.engine.Close()
		if b.in != nil {
			b.in.Close()
		}
	}
	if d.ledger != nil {
		d.ledger.Close()
	}
	if d.ledgerIn != nil {
		d.ledgerIn.Close()
	}
	if d.temporary && !d.keep && d.folder != "" {
		_ = os.RemoveAll(d.folder) // what remains is in the temporary folder
	}
}

// keptFolder returns the folder when it stays after the run.
func (d *deployment) keptFolder() string {
	if d.temporary && !d.keep {
		return ""
	}
	return d.folder
}
