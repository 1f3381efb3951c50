package resource

import "time"

// Tenant is an organisation that runs programs.
type Tenant struct {
	// KeySHA256 is the SHA-256 of the tenant's API key in lower-case
	// hexadecimal form, so that the platform store holds no usable key.
	KeySHA256 string `json:"key_sha256"`
	// Share is the weight of the tenant against others; default 1.
	Share int `json:"share"`
	// PriorityMin and PriorityMax bound the priority of the tenant's
	// programs, 0 to 9, higher first; default 0 and 9.
	PriorityMin int  `json:"priority_min"`
	PriorityMax *int `json:"priority_max"`
	// ProgramBudgetMax is the largest budget of one program, in tokens;
	// default 1e9.
	ProgramBudgetMax int64 `json:"program_budget_max"`
}

// Class describes programs of one type.
type Class struct {
	// Tenant limits the class to one tenant; empty means any tenant.
	Tenant string `json:"tenant,omitempty"`
	// Pool serves the model calls of the class.
	Pool string `json:"pool"`
	// Priority is 0 to 9, higher first.
	Priority int `json:"priority"`
	// BudgetLimit is the default and largest budget of a program, in tokens.
	BudgetLimit int64 `json:"budget_limit"`
	// BudgetAhead is the amount, in tokens, that idempotent calls may spend
	// before their intent is durable. It counts as spent when the program's
	// owner is lost, at most a tenth of the program's budget. Default 0:
	// copies of the journal at peers make intents durable during outages.
	BudgetAhead int64 `json:"budget_ahead"`
	// TurnLimit is the largest number of calls of a program; default 260.
	TurnLimit int `json:"turn_limit"`
	// IdleLeaseMS is the time without a call after which the memory of a
	// program is released, in milliseconds; default 15 minutes.
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

// Tool returns the rule for an operation of a service.
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
	// Idempotent operations may run more than once. The service must say so
	// as well, see Set.Operation.
	Idempotent bool `json:"idempotent"`
	// MaxCost is the worst-case cost of a call, in tokens.
	MaxCost int64 `json:"max_cost"`
	// Retry applies to idempotent operations only.
	Retry Retry `json:"retry"`
}

// Retry says how often and how fast a failed call is sent again.
type Retry struct {
	// Attempts is the number of all attempts; default 1.
	Attempts int `json:"attempts"`
	// BackoffMS is the first wait in milliseconds; it doubles each time.
	// Default 100.
	BackoffMS int64 `json:"backoff_ms"`
}

// Role is the part of the work that a backend server of a pool does.
type Role string

const (
	// RoleBoth servers read prompts and generate.
	RoleBoth Role = "both"
	// RolePrefill servers read prompts and export the KV cache.
	RolePrefill Role = "prefill"
	// RoleDecode servers import the KV cache and generate.
	RoleDecode Role = "decode"
)

// Pool names the backend servers that serve one model.
type Pool struct {
	Model    string   `json:"model"`
	Adapters []string `json:"adapters,omitempty"`
	// Role is the wanted role; default both.
	Role Role `json:"role"`
}

// Backend is a backend server.
type Backend struct {
	Pool string `json:"pool"`
	// Address is an IP address with a port.
	Address string `json:"address"`
	// Zone is the availability zone.
	Zone string `json:"zone"`
	// Slots is the number of calls that run at the same time; default 16.
	Slots int `json:"slots"`
	// ChecksFencing tells that the server refuses orders with an old fencing
	// number.
	ChecksFencing bool `json:"checks_fencing"`
	// ChecksCredentials tells that the server checks who gives it an order.
	ChecksCredentials bool `json:"checks_credentials"`
	// Credential is the name of the credential for the server, not its value.
	Credential string `json:"credential,omitempty"`
}

// Service is a plain service that programs call as a tool.
type Service struct {
	// Addresses are IP addresses with ports.
	Addresses []string `json:"addresses"`
	// Lookup tells that the service can be asked whether a request id ran.
	Lookup     bool        `json:"lookup"`
	Operations []Operation `json:"operations"`
	// Concurrency is the number of calls that run at the same time on all
	// addresses together; default 64.
	Concurrency int `json:"concurrency"`
}

// Operation is one operation of a service.
type Operation struct {
	Name       string `json:"name"`
	Idempotent bool   `json:"idempotent"`
	// Cost is the cost of a call in tokens, the unit of program budgets.
	Cost int64 `json:"cost"`
}

// Operation returns the named operation.
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
	priorityHighest      = 9
	defaultProgramBudget = 1_000_000_000
	// defaultTurnLimit is the longest program of the size to design for
	// (design page, section 1.7).
	defaultTurnLimit        = 260
	defaultIdleLeaseMS      = 15 * 60 * 1000
	defaultDeadlineMS       = 2 * 60 * 1000
	defaultBackoffMS        = 100
	defaultSlots            = 16
	defaultConcurrency      = 64
	largestBudget           = 1_000_000_000_000
	largestShare            = 1000
	largestTurnLimit        = 100_000
	longestDeadlineMS       = 24 * 60 * 60 * 1000
	longestIdleLeaseMS      = 7 * 24 * 60 * 60 * 1000
	largestRetryAttempts    = 10
	longestBackoffMS        = 60 * 1000
	largestSlots            = 4096
	largestConcurrency      = 100_000
	largestList             = 1000
	longestName, longestRef = 128, 256
)

func (t *Tenant) setDefaults() {
	setDefault(&t.Share, defaultShare)
	setDefault(&t.ProgramBudgetMax, defaultProgramBudget)
	if t.PriorityMax == nil {
		highest := priorityHighest
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

func setDefault[T comparable](field *T, standard T) {
	var zero T
	if *field == zero {
		*field = standard
	}
}
