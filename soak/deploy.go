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
	zoneCount   = 4
	tenantKey   = "soak-tenant-key"
	operatorKey = "soak-operator-key-0"
	// engineTimeScale is the factor by which the emulated engines run faster than
	// real ones. With 10, a call of 20 tokens takes about 30 ms.
	engineTimeScale = 10
	engineSlots     = 16
	// Programs of agentClass have a budget that they do not use up, programs of
	// smallClass one that they do.
	agentClass, smallClass = "agent", "small"
	agentBudget            = 200_000
	smallBudget            = 1200
	// crashMarker is a text in a prompt that makes an engine emulator crash.
	crashMarker = "CRASH-THE-ENGINE"
	// probeTenantName names a tenant resource that no program uses. Operators
	// write it repeatedly, and the observer reads its version at every node.
	probeTenantName = "probe"
)

// deployment is the set of emulators, relays and node processes of a run.
type deployment struct {
	config          Config
	folder          string
	temporary       bool
	keepFolder      bool
	platform        *platformserver.Server
	platformAddress string
	engines         []*backend
	ledger          *service.Service
	ledgerRelay     *relay.Relay
	nodes           []*node
	// transport is shared by the clients of the deployment, because each
	// transport keeps its own idle connections open.
	transport http.RoundTripper
}

// backend is an engine emulator with the relay that forwards connections to it.
type backend struct {
	name   string
	engine *engine.Engine
	relay  *relay.Relay
}

// startDeployment starts the emulators and the nodes and writes the resources.
// After an error it stops what it has started; otherwise the caller must call
// close.
func startDeployment(ctx context.Context, config Config) (d *deployment, err error) {
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
	if err = d.startEmulators(ctx); err != nil {
		return d, err
	}
	for i := range config.Nodes {
		if err = d.addNode(fmt.Sprintf("node-%d", i+1), fmt.Sprintf("az-%d", i%zoneCount+1)); err != nil {
			return d, err
		}
	}
	return d, d.putResources(ctx)
}

func (d *deployment) startEmulators(ctx context.Context) error {
	var err error
	d.platform = platformserver.New(platformserver.Settings{Seed: d.config.Seed})
	if d.platformAddress, _, err = d.platform.Listen(ctx, "127.0.0.1:0", "127.0.0.1:0"); err != nil {
		return err
	}
	for i := range d.config.Engines {
		b := &backend{name: fmt.Sprintf("engine-%d", i+1)}
		config := engine.DefaultConfig()
		config.Name, config.Seed, config.TimeScale = b.name, uint64(i+1), engineTimeScale
		config.Slots, config.CrashMarker = engineSlots, crashMarker
		if b.engine, err = engine.Start(ctx, config); err != nil {
			return err
		}
		d.engines = append(d.engines, b)
		if b.relay, err = relay.Start(b.engine.Address()); err != nil {
			return err
		}
	}
	if d.ledger, err = service.Start(ctx, service.Config{Name: "ledger", Lookup: true}); err != nil {
		return err
	}
	delayMS := d.config.LedgerDelay.Milliseconds()
	if err = d.ledger.ApplySwitches(ctx, service.Switches{SlowMS: &delayMS}); err != nil {
		return err
	}
	d.ledgerRelay, err = relay.Start(d.ledger.Address())
	d.platform.SetHosts(d.hosts(nil))
	return err
}

// hosts returns the host list of the platform. The engine leaving is shown as
// leaving; nil means none.
func (d *deployment) hosts(leaving *backend) []kvstore.Host {
	var hosts []kvstore.Host
	for i, b := range d.engines {
		host := kvstore.Host{Name: b.name, Address: b.relay.Address(), Zone: zoneName(i), State: kvstore.HostLive}
		if b == leaving {
			host.State = kvstore.HostLeaving
		}
		hosts = append(hosts, host)
	}
	return hosts
}

func zoneName(i int) string { return fmt.Sprintf("az-%d", i%zoneCount+1) }

func (d *deployment) addNode(id, zone string) error {
	n := &node{id: id, zone: zone, folder: d.folder, binary: d.config.Binary, log: d.config.Log}
	d.nodes = append(d.nodes, n)
	var err error
	if n.platformRelay, err = relay.Start(d.platformAddress); err != nil {
		return err
	}
	n.settings = settings.Default()
	n.settings.Node.ID, n.settings.Node.Host = id, "host-"+id
	n.settings.Node.AvailabilityZone, n.settings.Node.Region = zone, "soak"
	n.settings.Node.DrainTimeoutMS = 30_000
	n.settings.Platform.Address = "http://" + n.platformRelay.Address()
	n.settings.Platform.LeaseTTLMS = d.config.Lease.Milliseconds()
	n.settings.Operator.Key = operatorKey
	if err := n.assignAddresses(); err != nil {
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

// putResources writes the resources of the run. It repeats a write that fails
// until deploymentTimeout has passed.
func (d *deployment) putResources(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, deploymentTimeout)
	defer cancel()
	resourceClient := d.client().Resources()
	put := func(kind resource.Kind, name string, spec any) error {
		data, err := json.Marshal(spec)
		if err != nil {
			return Error.Wrap(err)
		}
		for {
			_, err := resourceClient.Put(ctx, string(kind), name, data, 0)
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
	resources := []struct {
		kind resource.Kind
		name string
		spec any
	}{
		{resource.KindTenant, "soak", resource.Tenant{KeySHA256: hex.EncodeToString(sum[:]), Share: 1}},
		{resource.KindTenant, probeTenantName, probeTenant(0)},
		{resource.KindPool, "models", resource.Pool{Model: "any"}},
		{resource.KindService, "ledger", resource.Service{Addresses: []string{d.ledgerRelay.Address()}, Lookup: true,
			Operations: []resource.Operation{{Name: "post", Cost: 10}}}},
		{resource.KindClass, agentClass, class},
		{resource.KindClass, smallClass, small},
	}
	for _, entry := range resources {
		if err := put(entry.kind, entry.name, entry.spec); err != nil {
			return err
		}
	}
	for i, b := range d.engines {
		spec := resource.Backend{Pool: "models", Address: b.relay.Address(), Zone: zoneName(i), Slots: engineSlots, ChecksFencing: true}
		if err := put(resource.KindBackend, b.name, spec); err != nil {
			return err
		}
	}
	return nil
}

// probeTenant returns a tenant resource whose content depends on the number.
func probeTenant(content int) resource.Tenant {
	sum := sha256.Sum256(fmt.Appendf(nil, "probe-%d", content))
	return resource.Tenant{KeySHA256: hex.EncodeToString(sum[:]), Share: 1, ProgramBudgetMax: int64(content) + 1}
}

// waitUntilServing waits until every node is ready, and then starts 20 programs,
// which spread over many shards, to check that the nodes serve them.
func (d *deployment) waitUntilServing(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, deploymentTimeout)
	defer cancel()
	for _, n := range d.nodes {
		for !isReady(ctx, n.url()) {
			if !pause(ctx, 100*time.Millisecond) {
				return Error.New("%s is not ready", n.id)
			}
		}
	}
	apiClient := d.client()
	for i := range 20 {
		request := api.StartRequest{ID: fmt.Sprintf("warm-%d", i), Class: agentClass}
		reply, err := apiClient.Start(ctx, request)
		if err != nil || reply.Outcome.Code != outcome.Completed {
			return Error.New("program cannot be started: outcome %v, error %v", reply.Outcome, err)
		}
	}
	return nil
}

// isReady reports whether the node responds to its readiness check with status
// 200.
func isReady(ctx context.Context, url string) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url+"/readyz", nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// pause waits for the given time. It reports false when ctx ended before.
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

// close kills the node processes of the deployment and closes the relays and
// the emulators of the engines and the ledger.
func (d *deployment) close() {
	for _, n := range d.nodes {
		if n.process != nil {
			n.process.kill()
		}
		for _, r := range []*relay.Relay{n.callerRelay, n.peerRelay, n.platformRelay} {
			if r != nil {
				r.Close()
			}
		}
	}
	for _, b := range d.engines {
		b.engine.Close()
		if b.relay != nil {
			b.relay.Close()
		}
	}
	if d.ledger != nil {
		d.ledger.Close()
	}
	if d.ledgerRelay != nil {
		d.ledgerRelay.Close()
	}
	if d.temporary && !d.keepFolder && d.folder != "" {
		_ = os.RemoveAll(d.folder) // files that remain are in the system's temporary folder
	}
}

// keptFolder returns the folder, or an empty string if close removes it.
func (d *deployment) keptFolder() string {
	if d.temporary && !d.keepFolder {
		return ""
	}
	return d.folder
}
