package roles

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"dogwoodline.example/duty"
	"dogwoodline.example/emulator/usersplatform"
)

const (
	// rotatingOrganisation is the organisation whose keys are replaced during the run.
	rotatingOrganisation = "rotating"
	// rotationInterval is the time between two keys, and keysInForce the number of keys that
	// are in force at once: each is longer than keyDelay.
	rotationInterval = 1500 * time.Millisecond
	keysInForce      = 3
	// keyDelay is the time within which the fronts must know of a change of keys, as the
	// users require.
	keyDelay = 3 * time.Second
	// keyClients is the number of clients that send keys of the rotating organisation, and
	// keyPause the pause between their requests.
	keyClients = 2
	keyPause   = 30 * time.Millisecond
	// keyIDPrefix begins the ids of their requests. The number of the key follows.
	keyIDPrefix = "key-"
)

// organisationNames are the organisations of the programs, whose keys stay in force.
var organisationNames = []string{"north", "south"}

// keyOf returns the key of an organisation of programs; empty for none.
func keyOf(organisation string) string {
	if organisation == "" {
		return ""
	}
	return "key-of-" + organisation
}

func rotatingKey(number int) string { return fmt.Sprintf("rotating-key-%d", number) }

// organisationsWith returns the organisations of a configuration in which the rotating
// one has the given keys. The limited one is the only one with a quota.
func organisationsWith(keys ...string) []usersplatform.Organisation {
	list := []usersplatform.Organisation{{Name: rotatingOrganisation, Keys: keys, Priority: 1}, limitedOrganisation}
	for _, name := range organisationNames {
		list = append(list, usersplatform.Organisation{Name: name, Keys: []string{keyOf(name)}})
	}
	return list
}

// runForeignTurn sends a turn of another organisation that continues a turn of this one.
func (c *client) runForeignTurn(ctx context.Context, previous string) {
	if c.organisation == "" {
		return
	}
	foreign := organisationNames[0]
	if foreign == c.organisation {
		foreign = organisationNames[1]
	}
	request := usersplatform.Request{ID: c.nextID(), Body: "foreign", Previous: previous, Key: keyOf(foreign)}
	a := attempt{id: request.ID, organisation: foreign, foreign: true, previous: previous}
	a.status, a.body, a.err = c.send(ctx, sendTurn, request)
	c.recorder.add(a)
}

// span is a time; an end of zero means that it has not ended.
type span struct{ from, to time.Time }

// noteUnaware notes that a front cannot hear of a new configuration until the fault ends.
func (inj *faultInjector) noteUnaware(end func() error) func() error {
	index := len(inj.unaware)
	inj.unaware = append(inj.unaware, span{from: time.Now()})
	return func() error {
		inj.unaware[index].to = time.Now()
		return end()
	}
}

// keyRequest is a request with a key of the rotating organisation.
type keyRequest struct {
	id     string
	number int // of its key
	sent   time.Time
	ended  time.Time
	status int // 0 if there was no whole answer
}

// keyLog replaces keys and records which were in force, and the requests with them.
type keyLog struct {
	seed uint64

	mu       sync.Mutex
	adding   map[int]time.Time // when a key was sent to the store, by number
	added    map[int]time.Time // when the store confirmed it
	removed  map[int]time.Time // when it confirmed that the key is gone
	newest   int
	requests []keyRequest
}

func newKeyLog(seed uint64) *keyLog {
	return &keyLog{seed: seed, adding: map[int]time.Time{}, added: map[int]time.Time{}, removed: map[int]time.Time{}}
}

// start starts the operator that replaces keys, and the clients that send them.
func (l *keyLog) start(group *duty.Group, d *deployment) {
	group.Go("key-operator", func(ctx context.Context) error { return l.rotate(ctx, d.store) })
	for i := range keyClients {
		random := rand.New(rand.NewPCG(l.seed, uint64(3000+i)))
		group.Go("key-client", func(ctx context.Context) error { return l.sendKeys(ctx, i, d.frontAddresses(), random) })
	}
}

func (l *keyLog) rotate(ctx context.Context, store *usersplatform.Store) error {
	for number := 1; ctx.Err() == nil; number++ {
		l.mu.Lock()
		l.adding[number] = time.Now()
		l.mu.Unlock()
		var keys []string
		for inForce := max(1, number-keysInForce+1); inForce <= number; inForce++ {
			keys = append(keys, rotatingKey(inForce))
		}
		if err := store.PutConfig(ctx, int64(usersplatform.FirstConfigVersion+1+number), organisationsWith(keys...)); err != nil {
			return err
		}
		l.mu.Lock()
		l.added[number], l.removed[number-keysInForce], l.newest = time.Now(), time.Now(), number
		l.mu.Unlock()
		if pause(ctx, rotationInterval) != nil {
			break
		}
	}
	return ctx.Err()
}

// sendKeys sends requests with the newest keys, with keys that were removed and with one
// that is added later, if at all.
func (l *keyLog) sendKeys(ctx context.Context, client int, fronts []string, random *rand.Rand) error {
	for count := 0; ctx.Err() == nil; count++ {
		l.mu.Lock()
		number := max(1, l.newest+1-random.IntN(2*keysInForce+2))
		l.mu.Unlock()
		r := keyRequest{id: fmt.Sprintf("%s%d-%d-%d", keyIDPrefix, number, client, count), number: number, sent: time.Now()}
		tryCtx, cancel := context.WithTimeout(ctx, requestTimeout)
		status, _, err := sendCall(tryCtx, fronts[random.IntN(len(fronts))], usersplatform.Request{ID: r.id, Body: "x", Key: rotatingKey(number)})
		cancel()
		r.ended = time.Now()
		if err == nil {
			r.status = status
		}
		l.mu.Lock()
		l.requests = append(l.requests, r)
		l.mu.Unlock()
		if pause(ctx, keyPause) != nil {
			break
		}
	}
	return ctx.Err()
}

// check returns the requests that ran with a key that was not in force, or were refused for
// good with one that was. While a front cannot hear of changes, and until keyDelay after, it
// may go on with keys that were removed, but must not say that a key is unknown.
func (l *keyLog) check(runs []usersplatform.Run, unaware []span) []string {
	var violations []string
	sent := map[string]time.Time{}
	for _, r := range l.requests {
		sent[r.id] = r.sent
		added, known := l.added[r.number]
		removing, removed := l.adding[r.number+keysInForce]
		inForce := known && r.sent.Sub(added) > keyDelay && (!removed || r.ended.Before(removing))
		if r.status == http.StatusTooManyRequests {
			violations = append(violations, without429(r.id))
		}
		if r.status == http.StatusUnauthorized && inForce {
			violations = append(violations, fmt.Sprintf("%s was answered 401, %s after its key was added", r.id, r.sent.Sub(added)))
		}
	}
	for _, run := range runs {
		text, found := strings.CutPrefix(run.RequestID, keyIDPrefix)
		at, recorded := sent[run.RequestID]
		if !found || !recorded {
			continue
		}
		first, _, _ := strings.Cut(text, "-")
		number, _ := strconv.Atoi(first) // the client made it from a number
		adding, known := l.adding[number]
		removed, gone := l.removed[number]
		switch {
		case !known || run.At.Before(adding):
			violations = append(violations, fmt.Sprintf("%s ran with a key that no configuration held", run.RequestID))
		case run.HasKey || run.Organisation != rotatingOrganisation:
			violations = append(violations, fmt.Sprintf("%s ran for organisation %q, with its key: %t", run.RequestID, run.Organisation, run.HasKey))
		case gone && at.Sub(removed) > keyDelay && !overlaps(unaware, removed, at):
			violations = append(violations, fmt.Sprintf("%s was sent %s after its key was removed, and ran", run.RequestID, at.Sub(removed)))
		}
	}
	return violations
}

// overlaps reports whether a time from one point to another overlaps one of the spans, or
// the time that fronts have to catch up after it.
func overlaps(spans []span, from, to time.Time) bool {
	for _, s := range spans {
		if s.from.Before(to) && (s.to.IsZero() || s.to.Add(keyDelay).After(from)) {
			return true
		}
	}
	return false
}
