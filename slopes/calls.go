package slopes

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"

	"dogwoodline.example/api"
	"dogwoodline.example/program"
)

// answerTokens are the lengths of answers. The engine stand-in sends one token
// in the first chunk and then eight in each.
var answerTokens = []int{1, 257, 1025, 4097}

const (
	tokensPerChunk = 8
	// callsPerPoint calls are made for one measurement, by callers side by
	// side, so that little of the time is the node's idle time.
	callsPerPoint = 200
	callers       = 50
)

// measureCalls measures the processor time of a streamed call through one
// node, and of the same exchange with the engine stand-in alone. Both include
// client and engine; the difference is what the node adds, with the client's
// second exchange.
func measureCalls(ctx context.Context, options Options) ([]Slope, error) {
	r, err := startRig(ctx, options, 1, 1)
	if err != nil {
		return nil, err
	}
	defer r.Close()
	if err := r.declare(ctx, r.engineAddresses()); err != nil {
		return nil, err
	}
	found := sweep{size: "chunks", target: 1600 / tokensPerChunk, series: []series{
		{"CPU of a streamed call, through a node", "us"}, {"CPU of a streamed call, engine alone", "us"}, {"CPU of a streamed call, added by a node", "us"},
	}}.empty()
	for _, tokens := range answerTokens {
		for repeat := range Repeats {
			through, err := r.throughNode(ctx, tokens, repeat)
			if err != nil {
				return nil, err
			}
			direct, err := r.engineAlone(ctx, tokens, repeat)
			if err != nil {
				return nil, err
			}
			found.add((tokens-1)/tokensPerChunk+1, []float64{through, direct, through - direct})
		}
	}
	return found.slopes(), nil
}

func (r *rig) throughNode(ctx context.Context, tokens, repeat int) (float64, error) {
	caller := r.Client(tenantKey)
	ids := make([]string, callsPerPoint)
	for i := range ids {
		ids[i] = fmt.Sprintf("through-%d-%d-%d", tokens, repeat, i)
		if _, err := caller.Start(ctx, api.StartRequest{ID: ids[i], Class: "class"}); err != nil {
			return 0, err
		}
	}
	return processorOf(func(i int) error {
		return modelCall(ctx, caller, ids[i], 1, tokens, func(program.Chunk) error { return nil })
	})
}

func (r *rig) engineAlone(ctx context.Context, tokens, repeat int) (float64, error) {
	return processorOf(func(i int) error {
		body, err := json.Marshal(map[string]any{"model": "m", "stream": true, "max_tokens": tokens,
			"messages": []program.Message{{Role: "user", Content: text(200)}}})
		if err != nil {
			return err
		}
		q, err := http.NewRequestWithContext(ctx, http.MethodPost, r.Engines[0].URL()+"/v1/chat/completions", bytes.NewReader(body))
		if err != nil {
			return err
		}
		q.Header.Set("X-Program-Id", "direct")
		q.Header.Set("X-Request-Id", fmt.Sprintf("direct-%d-%d-%d", tokens, repeat, i))
		answer, err := http.DefaultClient.Do(q)
		if err != nil {
			return err
		}
		defer answer.Body.Close()
		_, err = io.Copy(io.Discard, answer.Body)
		return err
	})
}

// processorOf returns the processor time of one call in microseconds.
func processorOf(call func(i int) error) (float64, error) {
	before := cpuTime()
	var next atomic.Int64
	failed := make(chan error, callers)
	for range callers {
		go func() {
			var err error
			for i := next.Add(1) - 1; i < callsPerPoint && err == nil; i = next.Add(1) - 1 {
				err = call(int(i))
			}
			failed <- err
		}()
	}
	var first error
	for range callers {
		if err := <-failed; err != nil && first == nil {
			first = err
		}
	}
	return microseconds(cpuTime()-before, callsPerPoint), first
}
