package soak

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"dogwoodline.example/api"
	"dogwoodline.example/emulator/engine"
	"dogwoodline.example/emulator/service"
	"dogwoodline.example/outcome"
	"dogwoodline.example/program"
	"dogwoodline.example/soak/check"
)

const (
	// memoryWait bounds the wait until engines hold nothing of ended programs.
	memoryWait = 15 * time.Second
	// collectWait bounds reading one history after the last fault.
	collectWait = 20 * time.Second
	// collectors is the number of histories that are read at once.
	collectors = 8
)

// collected is what the end of a run shows.
type collected struct {
	programs map[string]check.Program
	effects  []check.Effect
	held     []check.Held
}

// into adds what was collected to the history.
func (e collected) into(h *check.History) {
	for i, p := range h.Programs {
		if found, ok := e.programs[p.ID]; ok {
			h.Programs[i] = found
		} else {
			h.Programs[i].Missing = "not collected"
		}
	}
	h.Effects, h.Held = e.effects, e.held
}

// collect reads all histories, ends all programs, and reads ledger and
// engines.
func (r *run) collect(ctx context.Context) collected {
	result := collected{programs: map[string]check.Program{}}
	started := make(chan []string, 1)
	r.record.add(func(h *check.History) {
		var ids []string
		for _, p := range h.Programs {
			ids = append(ids, p.ID)
		}
		started <- ids
	})
	ids := <-started
	found := make(chan check.Program, len(ids))
	jobs := make(chan string, len(ids))
	for _, id := range ids {
		jobs <- id
	}
	close(jobs)
	for range collectors {
		go func() {
			for id := range jobs {
				found <- r.finish(ctx, id)
			}
		}()
	}
	for range ids {
		p := <-found
		result.programs[p.ID] = p
	}
	result.effects = r.effects(ctx)
	result.held = r.memory(ctx, result.programs)
	return result
}

// finish reads the history of a program, ends it, and reads it again.
func (r *run) finish(ctx context.Context, id string) check.Program {
	ctx, cancel := context.WithTimeout(ctx, collectWait)
	defer cancel()
	nodes := r.deploy.client()
	result := check.Program{ID: id}
	reply, err := nodes.History(ctx, id)
	if err != nil || reply.Outcome.Code != outcome.Completed || reply.Program == nil {
		result.Missing = string(reply.Outcome.Code) + " " + string(reply.Outcome.Reason) + " " + reply.Outcome.Detail
		return result
	}
	if ended, err := nodes.End(ctx, id); err != nil || ended.Outcome.Code != outcome.Completed {
		result.Missing = "cannot be ended: " + string(ended.Outcome.Code) + " " + ended.Outcome.Detail
	}
	info := reply.Program
	result.Limit, result.Spent, result.Reserved = int64(info.Limit), int64(info.Spent), int64(info.Reserved)
	for _, entry := range info.History {
		result.Entries = append(result.Entries, entryOf(entry))
	}
	return result
}

func entryOf(entry api.HistoryEntry) check.Entry {
	return check.Entry{
		RequestID: entry.RequestID, Order: entry.Order, Model: entry.Kind == program.Model, Code: entry.Outcome.Code,
		Answer: string(entry.Answer.Raw()), Spent: int64(entry.Spent), Recorded: entry.Recorded,
	}
}

// effects returns the ledger.
func (r *run) effects(ctx context.Context) []check.Effect {
	var list struct {
		Effects []service.Effect `json:"effects"`
	}
	if err := fetch(ctx, r.deploy.ledger.URL()+"/effects", &list); err != nil {
		panic("soak: the ledger of this process does not answer: " + err.Error())
	}
	effects := make([]check.Effect, len(list.Effects))
	for i, e := range list.Effects {
		var body effectBody
		_ = json.Unmarshal(e.Body, &body) // the service accepts JSON only
		request, _ := strings.CutPrefix(e.RequestID, e.Program+":")
		effects[i] = check.Effect{Sequence: e.Sequence, Program: e.Program, RequestID: request, Order: body.Order}
	}
	return effects
}

// memory waits until the engines hold nothing of ended programs, and returns
// what they still hold.
func (r *run) memory(ctx context.Context, programs map[string]check.Program) []check.Held {
	ctx, cancel := context.WithTimeout(ctx, memoryWait)
	defer cancel()
	for {
		held := r.held(ctx, programs)
		if len(held) == 0 || !pause(ctx, 250*time.Millisecond) {
			return held
		}
	}
}

func (r *run) held(ctx context.Context, programs map[string]check.Program) []check.Held {
	var result []check.Held
	for _, b := range r.deploy.engines {
		var answer engine.ProgramMemory
		if fetch(ctx, b.engine.URL()+"/held", &answer) != nil {
			continue
		}
		for id, tokens := range answer.Programs {
			if p, ok := programs[id]; ok && p.Missing == "" && tokens > 0 {
				result = append(result, check.Held{Engine: b.name, Program: id, Tokens: tokens})
			}
		}
	}
	return result
}

// fetch reads a JSON answer.
func fetch(ctx context.Context, url string, into any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return Error.Wrap(err)
	}
	request.Header.Set("Authorization", "Bearer "+operatorKey)
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return Error.Wrap(err)
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return Error.New("HTTP status %d", answer.StatusCode)
	}
	return Error.Wrap(json.NewDecoder(answer.Body).Decode(into))
}
