package node

import (
	"encoding/json"
	"strings"

	"dogwoodline.example/dispatch"
	"dogwoodline.example/program"
	"dogwoodline.example/resource"
	"dogwoodline.example/schedule"
)

// cacheBlockTokens is the size of a prefix cache block in tokens, as the
// engines count them.
const cacheBlockTokens = 16

// servicePoolPrefix starts the name of the scheduling pool of a plain service.
const servicePoolPrefix = "service/"

// prompt is what a model engine reads.
type prompt struct {
	Model     string            `json:"model,omitempty"`
	Messages  []program.Message `json:"messages"`
	MaxTokens int               `json:"max_tokens"`
	Stream    bool              `json:"stream"`
}

// order is a dispatched call on its way: the request to the scheduler and the
// job that a caller duty runs once a slot is granted.
type order struct {
	request schedule.Request
	job     dispatch.Job
}

// compose turns a dispatched call into an order.
func compose(set *resource.Set, incarnation string, d program.Dispatch) order {
	var o order
	if d.Call.Kind == program.Model {
		o = composeModel(set, d)
	} else {
		o = composeService(set, d)
	}
	o.job.RequestID = outsideID(d.Call, incarnation)
	return o
}

func composeModel(set *resource.Set, d program.Dispatch) order {
	class, _ := set.Class(d.Class)
	if class == nil {
		class = &resource.Class{}
	}
	model := ""
	if pool, ok := set.Pool(class.Pool); ok {
		model = pool.Model
	}
	body := mustEncode(prompt{
		Model:     model,
		Messages:  append(d.Conversation[:len(d.Conversation):len(d.Conversation)], d.Call.Messages...),
		MaxTokens: d.Call.MaxTokens,
		Stream:    true,
	})
	text, err := dispatch.Prompt(body)
	if err != nil {
		panic("node: composed prompt cannot be read: " + err.Error())
	}
	o := composeCommon(d, class.Pool, class.Priority)
	o.job.Kind = dispatch.Model
	o.job.Body = body
	o.request.Prefix = thin(dispatch.PrefixHashes(text, cacheBlockTokens))
	o.request.PromptTokens = dispatch.TokenCount(len(text))
	o.request.MaxTokens = d.Call.MaxTokens
	return o
}

func composeService(set *resource.Set, d program.Dispatch) order {
	priority := 0
	if class, ok := set.Class(d.Class); ok {
		priority = class.Priority
	}
	o := composeCommon(d, servicePoolPrefix+d.Call.Service, priority)
	o.job.Kind = dispatch.Service
	o.job.Operation = d.Call.Operation
	o.job.Body = d.Call.Body
	o.job.LookupOnly = d.LookupOnly
	return o
}

func composeCommon(d program.Dispatch, pool string, priority int) order {
	o := order{
		request: schedule.Request{
			ID: schedule.CallID(d.ID), Pool: pool, Program: d.Call.Program, Tenant: d.Tenant, Class: d.Class,
			Priority: priority, Attained: d.Attained, Deadline: d.Call.Deadline,
			Isolated: d.Alone, Idempotent: d.Call.Idempotent,
		},
		job: dispatch.Job{
			ID: schedule.CallID(d.ID), Program: d.Call.Program, Attempt: d.Attempt,
			Priority: priority, Deadline: d.Call.Deadline, Idempotent: d.Call.Idempotent, WorstCost: int64(d.Call.WorstCost),
		},
	}
	for _, name := range d.Exclude {
		o.request.Exclude = append(o.request.Exclude, schedule.BackendID(name))
	}
	return o
}

// maxPrefixHashes bounds the hashes of one prompt, since the cost of a decision
// grows with them.
const maxPrefixHashes = 64

// thin keeps at most maxPrefixHashes hashes: those at multiples of a power of
// two. As a prompt grows, the hashes kept are among those kept before, so they
// still match what backend servers are known to have cached.
func thin(hashes []uint64) []uint64 {
	stride := 1
	for len(hashes)/stride > maxPrefixHashes {
		stride *= 2
	}
	if stride == 1 {
		return hashes
	}
	kept := make([]uint64, 0, len(hashes)/stride)
	for i := stride - 1; i < len(hashes); i += stride {
		kept = append(kept, hashes[i])
	}
	return kept
}

// outsideID returns the id of a request towards engines and services, which
// know nothing of programs. Callers choose request ids per program, so the
// program's id makes them unique. For a model call the id also names the owner:
// an attempt with the same number may still run for an owner that was taken
// over, and the engine would refuse this one as a conflict. Services recognise a
// repeated call by its id, which therefore stays the same over owners.
func outsideID(call *program.Call, incarnation string) string {
	id := call.Program + ":" + call.RequestID
	if call.Kind == program.Model {
		id += "@" + incarnation
	}
	return id
}

// backendsOf returns the backend servers and service addresses that the
// resources declare, for the scheduler.
func backendsOf(set *resource.Set, leaving func(address string) bool) []schedule.Backend {
	var backends []schedule.Backend
	for _, r := range set.List(resource.KindBackend) {
		b := r.Spec.(*resource.Backend)
		backends = append(backends, schedule.Backend{
			ID: schedule.BackendID(r.Name), Pool: b.Pool, Zone: b.Zone, Slots: b.Slots, Leaving: leaving(b.Address),
		})
	}
	for _, r := range set.List(resource.KindService) {
		s := r.Spec.(*resource.Service)
		for _, address := range s.Addresses {
			backends = append(backends, schedule.Backend{
				ID: serviceBackend(r.Name, address), Pool: servicePoolPrefix + r.Name,
				Slots: max(1, s.Concurrency/len(s.Addresses)), Leaving: leaving(address),
			})
		}
	}
	return backends
}

// serviceBackend names one address of a plain service.
func serviceBackend(service, address string) schedule.BackendID {
	return schedule.BackendID(servicePoolPrefix + service + "@" + address)
}

// endpointOf returns where a granted backend server is reached. The second
// result is false when it is no longer declared.
func endpointOf(set *resource.Set, credentials func(name string) string, id schedule.BackendID) (dispatch.Endpoint, bool) {
	if named, ok := strings.CutPrefix(string(id), servicePoolPrefix); ok {
		_, address, found := strings.Cut(named, "@")
		return dispatch.Endpoint{Name: id, Address: address}, found
	}
	b, ok := set.Backend(string(id))
	if !ok {
		return dispatch.Endpoint{}, false
	}
	endpoint := dispatch.Endpoint{Name: id, Address: b.Address}
	if b.ChecksCredentials {
		endpoint.Credential = credentials(b.Credential)
	}
	return endpoint, true
}

func mustEncode(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic("node: plain values failed to encode: " + err.Error())
	}
	return data
}
