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
	// releaseTimeout bounds the wait until the engines have released the memory
	// of all ended programs.
	releaseTimeout = 15 * time.Second
	// historyTimeout bounds reading the history of one program and ending it,
	// after the last fault.
	historyTimeout = 20 * time.Second
	// collectorCount is the number of programs that are collected concurrently.
	collectorCount = 8
)

// finalState is the state of the programs, the ledger and the engines at the
// end of a run.
type finalState struct {
	programs map[string]check.Program
	effects  []check.Effect
	held     []check.HeldMemory
}

// addTo stores the final state in the history. A program without a collected
// state is marked as missing.
func (s finalState) addTo(h *check.History) {
	for i, p := range h.Programs {
		if found, ok := s.programs[p.ID]; ok {
			h.Programs[i] = found
		} else {
			h.Programs[i].ReadError = "not collected"
		}
	}
	h.Effects, h.HeldMemory = s.effects, s.held
}

// collectFinalState reads the histories of all recorded programs, ends the
// programs, and then reads the ledger and the memory that the engines hold.
func (r *run) collectFinalState(ctx context.Context) finalState {
	result := finalState{programs: map[string]check.Program{}}
	startedIDs := make(chan []string, 1)
	r.recorder.add(func(h *check.History) {
		var ids []string
		for _, p := range h.Programs {
			ids = append(ids, p.ID)
		}
		startedIDs <- ids
	})
	ids := <-startedIDs
	results := make(chan check.Program, len(ids))
	jobs := make(chan string, len(ids))
	for _, id := range ids {
		jobs <- id
	}
	close(jobs)
	for range collectorCount {
		go func() {
			for id := range jobs {
				results <- r.collectProgram(ctx, id)
			}
		}()
	}
	for range ids {
		p := <-results
		result.programs[p.ID] = p
	}
	result.effects = r.readLedger(ctx)
	result.held = r.waitForRelease(ctx, result.programs)
	return result
}

// collectProgram reads the history of a program and then ends the program.
func (r *run) collectProgram(ctx context.Context, id string) check.Program {
	ctx, cancel := context.WithTimeout(ctx, historyTimeout)
	defer cancel()
	apiClient := r.deployment.client()
	result := check.Program{ID: id}
	reply, err := apiClient.History(ctx, id)
	if err != nil || reply.Outcome.Code != outcome.Completed || reply.Program == nil {
		result.ReadError = string(reply.Outcome.Code) + " " + string(reply.Outcome.Reason) + " " + reply.Outcome.Detail
		return result
	}
	if ended, err := apiClient.End(ctx, id); err != nil || ended.Outcome.Code != outcome.Completed {
		result.ReadError = "cannot be ended: " + string(ended.Outcome.Code) + " " + ended.Outcome.Detail
	}
	info := reply.Program
	result.Limit, result.Spent, result.Reserved = int64(info.Limit), int64(info.Spent), int64(info.Reserved)
	for _, entry := range info.History {
		result.Entries = append(result.Entries, newEntry(entry))
	}
	return result
}

func newEntry(entry api.HistoryEntry) check.Entry {
	return check.Entry{
		RequestID: entry.RequestID, Order: entry.Order, Model: entry.Kind == program.Model, Code: entry.Outcome.Code,
		Answer: string(entry.Answer.Raw()), Spent: int64(entry.Spent), Recorded: entry.Recorded,
	}
}

// readLedger returns all entries of the ledger.
func (r *run) readLedger(ctx context.Context) []check.Effect {
	var list struct {
		Effects []service.Effect `json:"effects"`
	}
	if err := getJSON(ctx, r.deployment.ledger.URL()+"/effects", &list); err != nil {
		panic("soak: the ledger emulator of this process does not respond: " + err.Error())
	}
	effects := make([]check.Effect, len(list.Effects))
	for i, e := range list.Effects {
		var body postingInput
		_ = json.Unmarshal(e.Body, &body) // the service accepts JSON only
		request, _ := strings.CutPrefix(e.RequestID, e.Program+":")
		effects[i] = check.Effect{Sequence: e.Sequence, Program: e.Program, RequestID: request, Order: body.Order}
	}
	return effects
}

// waitForRelease waits until the engines hold no memory for ended programs. It
// returns what they still hold after releaseTimeout.
func (r *run) waitForRelease(ctx context.Context, programs map[string]check.Program) []check.HeldMemory {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	for {
		held := r.heldMemory(ctx, programs)
		if len(held) == 0 || !pause(ctx, 250*time.Millisecond) {
			return held
		}
	}
}

// heldMemory returns the memory that the engines hold for programs that were
// collected and ended. An engine that does not respond is left out.
func (r *run) heldMemory(ctx context.Context, programs map[string]check.Program) []check.HeldMemory {
	var result []check.HeldMemory
	for _, b := range r.deployment.engines {
		var report engine.ProgramMemory
		if getJSON(ctx, b.engine.URL()+"/held", &report) != nil {
			continue
		}
		for id, tokens := range report.Programs {
			if p, ok := programs[id]; ok && p.ReadError == "" && tokens > 0 {
				result = append(result, check.HeldMemory{Engine: b.name, Program: id, Tokens: tokens})
			}
		}
	}
	return result
}

// getJSON sends a GET request with the operator key and decodes the JSON body of
// the response into value.
func getJSON(ctx context.Context, url string, value any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return Error.Wrap(err)
	}
	request.Header.Set("Authorization", "Bearer "+operatorKey)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return Error.Wrap(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return Error.New("HTTP status %d", response.StatusCode)
	}
	return Error.Wrap(json.NewDecoder(response.Body).Decode(value))
}
