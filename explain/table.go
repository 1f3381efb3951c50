package explain

import (
	"cmp"
	"io"
	"slices"
	"time"
)

const (
	// listedOrganisations is the number of organisations with a row of their own.
	listedOrganisations = 5
	// The bounds of what is kept of logs of any size. The largest deployments have 39,000
	// organisations and 12,000 servers.
	maxOrganisations = 100_000
	maxServers       = 30_000
	maxRouteRows     = 400
	maxZones         = 200
	maxTableHosts    = 30_000
	maxReasons       = 500
	// Others names the rows and zones that are not listed one by one.
	Others = "(others)"
	// unknownPriority is that of lines without the attribute.
	unknownPriority = -1
)

// Table is what the logs of fronts say of all requests.
type Table struct {
	From          time.Time `json:"from"`
	To            time.Time `json:"to"`
	CountedLines  int64     `json:"counted_lines"`
	OmittedLines  int64     `json:"omitted_lines"`    // that the processes did not write
	Unreadable    int64     `json:"unreadable_lines"` // not decoded, although their message is counted
	Organisations int       `json:"organisations"`    // with at least one request
	Rows          []Row     `json:"rows"`             // by route and priority, then by organisation
	OtherReasons  []Reason  `json:"other_reasons"`    // of the refusals that count as other, the most frequent first
}

// Reason is the reason of refusals, with N for each number in it.
type Reason struct {
	Status int    `json:"status"`
	Reason string `json:"reason"`
	Count  int64  `json:"count"`
}

// Row is what the logs say of the requests of a route and priority, or of an organisation.
type Row struct {
	Route        string `json:"route,omitempty"`
	Priority     *int   `json:"priority,omitempty"` // absent if the lines have none
	Organisation string `json:"organisation,omitempty"`

	Requests        int64    `json:"requests"` // that have ended
	Answered        int64    `json:"answered"`
	Failed          int64    `json:"failed"`  // 502 or 504: may have run
	CutOff          int64    `json:"cut_off"` // in the middle of the answer
	ClientLeft      int64    `json:"client_left"`
	Refused         Refusals `json:"refused"`
	ProgramsStarted int64    `json:"programs_started"` // first calls of programs that were offered to a server
	ProgramsRefused int64    `json:"programs_refused"` // refusals of first calls, one for each request
	Waited          Waits    `json:"waited"`
	RetriesOther    int64    `json:"retries_other_server"`
	RetriesSame     int64    `json:"retries_same_server"` // that was full before
	Calls           []Calls  `json:"calls"`
}

// Refusals counts the requests that the front has refused, by reason.
type Refusals struct {
	OverQuota        int64 `json:"over_quota"`
	ServersFull      int64 `json:"servers_full"`
	NoSlotInTime     int64 `json:"no_slot_in_time"`
	StoresNearlyFull int64 `json:"stores_nearly_full"`
	NamedLimits      int64 `json:"named_limits"`
	Other            int64 `json:"other"`
}

// Waits is the time from the arrival of requests until they were first offered to a server,
// for those for which it was at least MinWait.
type Waits struct {
	Count    int64 `json:"count"`
	MedianMs int64 `json:"median_ms"`
	P99Ms    int64 `json:"p99_ms"`
}

// Calls is the distribution of calls over servers. Each call offered to a server counts,
// retries too.
type Calls struct {
	Kind         string           `json:"kind"`
	Calls        int64            `json:"calls"`
	OwnZone      int64            `json:"own_zone"` // in the zone of the front
	OtherZone    int64            `json:"other_zone"`
	Zones        map[string]int64 `json:"zones"`            // by the zone of the server
	Servers      int              `json:"servers"`          // that got at least one
	Choices      int              `json:"choices"`          // the most servers there were to choose from
	Busiest      float64          `json:"busiest_to_mean"`  // calls of the busiest server by the mean of Servers
	BusiestID    string           `json:"busiest_server"`   // the first of those with the most calls
	BusiestCalls int64            `json:"busiest_calls"`    // of that server
	Unplaced     int64            `json:"unlisted_servers"` // calls of servers above the bound of the table
}

// rowKey identifies a row.
type rowKey struct {
	route        string
	priority     int
	organisation string
}

// TableBuilder counts the lines of logs in two passes: Survey reads each log to find the
// organisations with the most requests, and Read counts. Its memory does not depend on the
// size of the logs.
type TableBuilder struct {
	requests  map[string]int64 // by organisation
	listed    map[string]bool  // organisations with a row of their own; nil before Read
	rows      map[rowKey]*rowCounts
	servers   map[string]int    // index by ID
	serverIDs []string          // by index
	hostZones map[string]string // from lines about their start
	reasons   map[Reason]int64  // of refusals that count as other; the keys have no count
	table     Table
}

// NewTableBuilder returns a builder without lines.
func NewTableBuilder() *TableBuilder {
	return &TableBuilder{requests: map[string]int64{}, rows: map[rowKey]*rowCounts{}, servers: map[string]int{}, hostZones: map[string]string{}, reasons: map[Reason]int64{}}
}

// Survey counts the requests of each organisation in a log.
func (b *TableBuilder) Survey(log io.Reader) error {
	return eachLine(log, func(line []byte) {
		msg := message(line)
		if string(msg) == startedMessage {
			b.noteHost(line)
			return
		}
		if !endMessages[string(msg)] {
			return
		}
		// A name with escaped characters gets no row of its own.
		name := attribute(line, "organisation")
		if _, known := b.requests[name]; name != "" && (known || len(b.requests) < maxOrganisations) {
			b.requests[name]++
		}
	})
}

// noteHost keeps the zone of a host that has started.
func (b *TableBuilder) noteHost(line []byte) {
	if host := attribute(line, "host"); len(b.hostZones) < maxTableHosts {
		b.hostZones[host] = attribute(line, "zone")
	}
}

// Read counts the lines of a log. All logs must have been surveyed before.
func (b *TableBuilder) Read(log io.Reader) error {
	if b.listed == nil {
		b.listed = largest(b.requests, listedOrganisations)
	}
	return eachLine(log, func(line []byte) {
		msg := message(line)
		if string(msg) != offeredMessage && string(msg) != leftOutMessage && string(msg) != unloggedMessage && !endMessages[string(msg)] {
			return
		}
		var l tableLine
		if !decodeTableLine(line, &l) {
			b.table.Unreadable++
			return
		}
		b.count(&l)
	})
}

// largest returns the names with the largest counts.
func largest(counts map[string]int64, most int) map[string]bool {
	names := make([]string, 0, len(counts))
	for name := range counts {
		names = append(names, name)
	}
	slices.SortFunc(names, func(x, y string) int {
		return cmp.Or(cmp.Compare(counts[y], counts[x]), cmp.Compare(x, y))
	})
	result := map[string]bool{}
	for _, name := range names[:min(most, len(names))] {
		result[name] = true
	}
	return result
}

func (b *TableBuilder) count(l *tableLine) {
	if l.Message == leftOutMessage || l.Message == unloggedMessage {
		b.table.OmittedLines += l.Count
		return
	}
	b.table.CountedLines++
	if b.table.From.IsZero() || l.Time.Before(b.table.From) {
		b.table.From = l.Time
	}
	if l.Time.After(b.table.To) {
		b.table.To = l.Time
	}
	b.row(b.routeKey(l)).count(b, l)
	if l.outcome() == refused {
		b.noteReason(l)
	}
	if l.Organisation != "" {
		name := l.Organisation
		if !b.listed[name] {
			name = Others
		}
		b.row(rowKey{organisation: name, priority: unknownPriority}).count(b, l)
	}
}

// noteReason counts the reason of a refusal that counts as other.
func (b *TableBuilder) noteReason(l *tableLine) {
	var refusals Refusals
	if refusals.add(l.Status, l.Reason) {
		return
	}
	key := Reason{Status: l.Status, Reason: normalReason(l.Reason)}
	if _, known := b.reasons[key]; !known && len(b.reasons) >= maxReasons {
		key = Reason{Reason: Others}
	}
	b.reasons[key]++
}

// routeKey returns the key of the row of a line's route.
func (b *TableBuilder) routeKey(l *tableLine) rowKey {
	key := rowKey{route: l.Route, priority: unknownPriority}
	if key.route == "" {
		key.route = "(none)"
	}
	if l.Priority != nil {
		key.priority = *l.Priority
	}
	if b.rows[key] == nil && len(b.rows) >= maxRouteRows {
		key = rowKey{route: Others, priority: unknownPriority}
	}
	return key
}

func (b *TableBuilder) row(key rowKey) *rowCounts {
	r := b.rows[key]
	if r == nil {
		r = newRowCounts()
		b.rows[key] = r
	}
	return r
}

// serverIndex returns the index of a server; false above the bound.
func (b *TableBuilder) serverIndex(id string) (int, bool) {
	index, known := b.servers[id]
	if !known && len(b.serverIDs) < maxServers {
		index, known = len(b.serverIDs), true
		b.servers[id] = index
		b.serverIDs = append(b.serverIDs, id)
	}
	return index, known
}

// Table returns what was counted.
func (b *TableBuilder) Table() Table {
	table := b.table
	table.Organisations = len(b.requests)
	keys := make([]rowKey, 0, len(b.rows))
	for key := range b.rows {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, b.compareRows)
	for _, key := range keys {
		row := b.rows[key].row(b.serverIDs)
		row.Route, row.Organisation = key.route, key.organisation
		if key.priority != unknownPriority {
			priority := key.priority
			row.Priority = &priority
		}
		table.Rows = append(table.Rows, row)
	}
	for reason, count := range b.reasons {
		reason.Count = count
		table.OtherReasons = append(table.OtherReasons, reason)
	}
	slices.SortFunc(table.OtherReasons, func(x, y Reason) int {
		return cmp.Or(cmp.Compare(y.Count, x.Count), cmp.Compare(x.Status, y.Status), cmp.Compare(x.Reason, y.Reason))
	})
	return table
}

// compareRows orders rows by route and priority, then organisations by their requests, with
// the others last.
func (b *TableBuilder) compareRows(x, y rowKey) int {
	last := func(k rowKey) int {
		if k.organisation == Others || k.route == Others {
			return 1
		}
		return 0
	}
	return cmp.Or(
		cmp.Compare(min(1, len(x.organisation)), min(1, len(y.organisation))),
		cmp.Compare(last(x), last(y)),
		cmp.Compare(x.route, y.route), cmp.Compare(x.priority, y.priority),
		cmp.Compare(b.requests[y.organisation], b.requests[x.organisation]), cmp.Compare(x.organisation, y.organisation),
	)
}
