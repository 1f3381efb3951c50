package resource

import "time"

// Tenant is an organisation that runs programs.
type Tenant struct {
	// KeySHA256 is the SHA-256 of the tenant's API key in lower-case
	// hexadecimal form, so that the platform store holds no usable key.
	KeySHA256 string `json:"key_sha256"`
	// Share is the tenant's weight relative to other tenants; default 1.
	Share int `json:"share"`
	// PriorityMin and PriorityMax bound the priority of the tenant's
	// programs, 0 to 9, higher first; default 0 and 9.
	PriorityMin int  `json:"priority_min"`
	PriorityMax *int `json:"priority_max"`
	// ProgramBudgetMax is the largest budget of one program, in tokens;
	// default 1e9.
	ProgramBudgetMax int64 `json:"program_budget_max"`
}

// Class holds the settings and limits that programs of one type share.
type Class struct {
	// Tenant restricts the class to one tenant; empty means any tenant.
	Tenant string `json:"tenant,omitempty"`
	// Pool is the name of the pool that serves the model calls of the class.
	Pool string `json:"pool"`
	// Priority is 0 to 9, higher first.
	Priority int `json:"priority"`
	// BudgetLimit is the default and the maximum budget of a program, in
	// tokens.
	BudgetLimit int64 `json:"budget_limit"`
	// BudgetAhead is the amount, in tokens, that idempotent calls may spend
	// before their intents are durable. When the node that owns the program
	// fails, the amount counts as spent. It is capped at a tenth of the
	// program's budget. Default 0, because copies of the journal at peers
	// keep intents durable while the platform store is unavailable.
	BudgetAhead int64 `json:"budget_ahead"`
	// TurnLimit is the maximum number of calls of a program; default 260.
	TurnLimit int `json:"turn_limit"`
	// IdleLeaseMS is the time without a call, in milliseconds, after which
	// the memory that backend servers hold for a program is released; default
	// 15 minutes.
	IdleLeaseMS int64 `json:"idle_lease_ms"`
	// DeadlineMS is the default deadline of a call in milliseconds; default
	// 2 minutes.
	DeadlineMS int64 `json:"deadline_ms"`
	// Tools are the service operations that the programs may call.
	Tools []Tool `json:"tools,omitempty"`
}

// IdleLease returns IdleLeaseMS as a duration.
func (c *Class) IdleLease() time.Duration { return time.Duration(c.IdleLeaseMS) * time.Millisecond }

// Deadline returns DeadlineMS as a duration.
func (c *Class) Deadline() time.Duration { return time.Duration(c.DeadlineMS) * time.Millisecond }

// Tool returns the class's rule for an operation of a service. The second
// result is false if the class does not list the operation.
func (c *Class) Tool(service, operation string) (Tool, bool) {
	for _, tool := range c.Tools {
		if tool.Service == service && tool.Operation == operation {
			return tool, true
		}
	}
	return Tool{}, false
}

// Tool is the rule of a class for one operation of a service.
type Tool struct {
	Service   string `json:"service"`
	Operation string `json:"operation"`
	// Idempotent allows the operation to run more than once. The service must
	// declare it as idempotent as well, see Set.Operation.
	Idempotent bool `json:"idempotent"`
	// MaxCost is the worst-case cost of a call, in tokens.
	MaxCost int64 `json:"max_cost"`
	// Retry applies to idempotent operations only.
	Retry Retry `json:"retry"`
}

// Retry is the retry policy for failed calls.
type Retry struct {
	// Attempts is the maximum number of attempts, including the first one;
	// default 1.
	Attempts int `json:"attempts"`
	// BackoffMS is the wait before the second attempt, in milliseconds; it
	// doubles with each further attempt. Default 100.
	BackoffMS int64 `json:"backoff_ms"`
}

// Role is the part of inference that the backend servers of a pool run.
type Role string

const (
	// RoleBoth servers process prompts and generate tokens.
	RoleBoth Role = "both"
	// RolePrefill servers process prompts and export the KV cache.
	RolePrefill Role = "prefill"
	// RoleDecode servers import the KV cache and generate tokens.
	RoleDecode Role = "decode"
)

// Pool is a group of backend servers that serve the same model.
type Pool struct {
	Model    string   `json:"model"`
	Adapters []string `json:"adapters,omitempty"`
	// Role is the role of the pool's servers; default both.
	Role Role `json:"role"`
}

// Backend is one backend server of a pool.
type Backend struct {
	Pool string `json:"pool"`
	// Address is an IP address with a port.
	Address string `json:"address"`
	// Zone is the availability zone.
	Zone string `json:"zone"`
	// Slots is the maximum number of concurrent calls; default 16.
	Slots int `json:"slots"`
	// ChecksFencing tells that the server refuses requests with an outdated
	// fencing number.
	ChecksFencing bool `json:"checks_fencing"`
	// ChecksCredentials tells that the server authenticates the sender of a
	// request.
	ChecksCredentials bool `json:"checks_credentials"`
	// Credential is the name of the credential for the server, not the secret
	// itself.
	Credential string `json:"credential,omitempty"`
}

// Service is a service that programs call as a tool, unlike the backend servers
// that run models.
type Service struct {
	// Addresses are IP addresses with ports.
	Addresses []string `json:"addresses"`
	// Lookup tells that the service can report whether a request with a given
	// request id was executed.
	Lookup     bool        `json:"lookup"`
	Operations []Operation `json:"operations"`
	// Concurrency is the maximum number of concurrent calls over all addresses
	// together; default 64.
	Concurrency int `json:"concurrency"`
}

// Operation is an operation that a service declares.
type Operation struct {
	Name       string `json:"name"`
	Idempotent bool   `json:"idempotent"`
	// Cost is the cost of a call in tokens, the unit of program budgets.
	Cost int64 `json:"cost"`
}

// Operation returns the operation with the name. The second result is false if
// the service does not declare it.
func (s *Service) Operation(name string) (Operation, bool) {
	for _, operation := range s.Operations {
		if operation.Name == name {
			return operation, true
		}
	}
	return Operation{}, false
}

const (
	defaultShare         = 1
	maxPriority          = 9
	defaultProgramBudget = 1_000_000_000
	// defaultTurnLimit is the length of the longest program in the workload
	// that the system is designed for (design page, section 1.7).
	defaultTurnLimit           = 260
	defaultIdleLeaseMS         = 15 * 60 * 1000
	defaultDeadlineMS          = 2 * 60 * 1000
	defaultBackoffMS           = 100
	defaultSlots               = 16
	defaultConcurrency         = 64
	maxBudget                  = 1_000_000_000_000
	maxShare                   = 1000
	maxTurnLimit               = 100_000
	maxDeadlineMS              = 24 * 60 * 60 * 1000
	maxIdleLeaseMS             = 7 * 24 * 60 * 60 * 1000
	maxRetryAttempts           = 10
	maxBackoffMS               = 60 * 1000
	maxSlots                   = 4096
	maxConcurrency             = 100_000
	maxListLength              = 1000
	maxNameBytes, maxTextBytes = 128, 256
)

func (t *Tenant) setDefaults() {
	setDefault(&t.Share, defaultShare)
	setDefault(&t.ProgramBudgetMax, defaultProgramBudget)
	if t.PriorityMax == nil {
		highest := maxPriority
		t.PriorityMax = &highest
	}
}

func (c *Class) setDefaults() {
	setDefault(&c.TurnLimit, defaultTurnLimit)
	setDefault(&c.IdleLeaseMS, defaultIdleLeaseMS)
	setDefault(&c.DeadlineMS, defaultDeadlineMS)
	for i := range c.Tools {
		setDefault(&c.Tools[i].Retry.Attempts, 1)
		setDefault(&c.Tools[i].Retry.BackoffMS, defaultBackoffMS)
	}
}

func (p *Pool) setDefaults() { setDefault(&p.Role, RoleBoth) }

func (b *Backend) setDefaults() { setDefault(&b.Slots, defaultSlots) }

func (s *Service) setDefaults() { setDefault(&s.Concurrency, defaultConcurrency) }

// setDefault sets a field that has its zero value.
func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
