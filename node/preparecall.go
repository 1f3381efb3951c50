package node

import (
	"encoding/json"
	"strings"

	"dogwoodline.example/dispatch"
	"dogwoodline.example/program"
	"dogwoodline.example/resource"
	"dogwoodline.example/schedule"
)

// cacheBlockTokens is the size in tokens of a block of the engines' prefix
// caches.
const cacheBlockTokens = 16

// servicePoolPrefix starts the name of the scheduling pool of a service. Pools
// of model engines have the names of their resources.
const servicePoolPrefix = "service/"

// modelRequest is the JSON body of a request to a model engine.
type modelRequest struct {
	Model     string            `json:"model,omitempty"`
	Messages  []program.Message `json:"messages"`
	MaxTokens int               `json:"max_tokens"`
	Stream    bool              `json:"stream"`
}

// preparedCall is a dispatched call that is ready to be scheduled: the request
// for a slot, and the job that a caller duty runs once the slot is granted.
type preparedCall struct {
	request schedule.Request
	job     dispatch.Job
}

// prepareCall builds the slot request and the job of a dispatched call.
func prepareCall(set *resource.Set, incarnation string, d program.Dispatch) preparedCall {
	var call preparedCall
	if d.Call.Kind == program.Model {
		call = prepareModelCall(set, d)
	} else {
		call = prepareServiceCall(set, d)
	}
	call.job.RequestID = upstreamRequestID(d.Call, incarnation)
	return call
}

func prepareModelCall(set *resource.Set, d program.Dispatch) preparedCall {
	class, _ := set.Class(d.Class)
	if class == nil {
		class = &resource.Class{}
	}
	model := ""
	if pool, ok := set.Pool(class.Pool); ok {
		model = pool.Model
	}
	body := mustEncode(modelRequest{
		Model:     model,
		Messages:  append(d.Conversation[:len(d.Conversation):len(d.Conversation)], d.Call.Messages...),
		MaxTokens: d.Call.MaxTokens,
		Stream:    true,
	})
	text, err := dispatch.Prompt(body)
	if err != nil {
		panic("node: cannot parse the prompt of a prepared model call: " + err.Error())
	}
	call := prepareCommon(d, class.Pool, class.Priority)
	call.job.Kind = dispatch.Model
	call.job.Body = body
	call.request.Prefix = sampleHashes(dispatch.PrefixHashes(text, cacheBlockTokens))
	call.request.PromptTokens = dispatch.TokenCount(len(text))
	call.request.MaxTokens = d.Call.MaxTokens
	return call
}

func prepareServiceCall(set *resource.Set, d program.Dispatch) preparedCall {
	priority := 0
	if class, ok := set.Class(d.Class); ok {
		priority = class.Priority
	}
	call := prepareCommon(d, servicePoolPrefix+d.Call.Service, priority)
	call.job.Kind = dispatch.Service
	call.job.Operation = d.Call.Operation
	call.job.Body = d.Call.Body
	call.job.LookupOnly = d.LookupOnly
	return call
}

func prepareCommon(d program.Dispatch, pool string, priority int) preparedCall {
	call := preparedCall{
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
		call.request.Exclude = append(call.request.Exclude, schedule.BackendID(name))
	}
	return call
}

// maxPrefixHashes bounds the prefix hashes of one prompt, because the cost of a
// scheduling decision grows with their number.
const maxPrefixHashes = 64

// sampleHashes returns at most maxPrefixHashes hashes: those of the blocks whose
// number is a multiple of a power of two. As a prompt grows, the hashes sampled
// from its earlier part are a subset of those sampled before, so they still
// match what backend servers are known to have cached.
func sampleHashes(hashes []uint64) []uint64 {
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

// upstreamRequestID returns the request id that is sent to engines and services,
// which do not know about programs. Callers choose request ids that are unique
// only within a program, so the id includes the program's id. For a model call
// it also includes the owner's incarnation: after a takeover, an attempt with
// the same number may still run for the former owner, and the engine would
// refuse the new one as a conflict. Services recognise a repeated call by its
// id, so theirs does not depend on the owner.
func upstreamRequestID(call *program.Call, incarnation string) string {
	id := call.Program + ":" + call.RequestID
	if call.Kind == program.Model {
		id += "@" + incarnation
	}
	return id
}

// declaredBackends returns the declared backend servers and the declared
// addresses of services, as the scheduler needs them. isLeaving reports whether
// the backend server at an address must get no new calls.
func declaredBackends(set *resource.Set, isLeaving func(address string) bool) []schedule.Backend {
	var backends []schedule.Backend
	for _, r := range set.List(resource.KindBackend) {
		b := r.Spec.(*resource.Backend)
		backends = append(backends, schedule.Backend{
			ID: schedule.BackendID(r.Name), Pool: b.Pool, Zone: b.Zone, Slots: b.Slots, Leaving: isLeaving(b.Address),
		})
	}
	for _, r := range set.List(resource.KindService) {
		s := r.Spec.(*resource.Service)
		for _, address := range s.Addresses {
			backends = append(backends, schedule.Backend{
				ID: serviceBackendID(r.Name, address), Pool: servicePoolPrefix + r.Name,
				Slots: max(1, s.Concurrency/len(s.Addresses)), Leaving: isLeaving(address),
			})
		}
	}
	return backends
}

// serviceBackendID returns the id under which the scheduler knows one address of
// a service.
func serviceBackendID(service, address string) schedule.BackendID {
	return schedule.BackendID(servicePoolPrefix + service + "@" + address)
}

// endpointOf returns the address and credential of a granted backend server. The
// second result is false when the backend server is no longer declared.
func endpointOf(set *resource.Set, credentials func(name string) string, id schedule.BackendID) (dispatch.Endpoint, bool) {
	if serviceAndAddress, ok := strings.CutPrefix(string(id), servicePoolPrefix); ok {
		_, address, found := strings.Cut(serviceAndAddress, "@")
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
		panic("node: JSON encoding failed: " + err.Error())
	}
	return data
}
