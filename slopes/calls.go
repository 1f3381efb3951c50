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

// answerTokens are the measured lengths of an answer. The emulated engine sends
// one token in the first chunk and tokensPerChunk in each further one.
var answerTokens = []int{1, 257, 1025, 4097}

const (
	tokensPerChunk = 8
	// callsPerPoint is the number of calls for one measurement. They are made
	// by concurrent callers, so that the CPU time of the idle node is only a
	// small part of the measurement.
	callsPerPoint = 200
	callers       = 50
)

// measureCalls measures the CPU time of a streamed call through one node, and of
// the same call made directly to the emulated engine. Both include the client
// and the engine. The difference is the CPU time that the node adds, including
// the additional HTTP exchange.
func measureCalls(ctx context.Context, options Options) ([]Slope, error) {
	t, err := startTestbed(ctx, options, 1, 1)
	if err != nil {
		return nil, err
	}
	defer t.Close()
	if err := t.declare(ctx, t.engineAddresses()); err != nil {
		return nil, err
	}
	collected := sweep{size: "chunks", target: 1600 / tokensPerChunk, series: []series{
		{"CPU of a streamed call, through a node", "us"}, {"CPU of a streamed call, engine alone", "us"}, {"CPU of a streamed call, added by a node", "us"},
	}}.newCollection()
	for _, tokens := range answerTokens {
		for repeat := range Repeats {
			viaNode, err := t.nodeCallCPU(ctx, tokens, repeat)
			if err != nil {
				return nil, err
			}
			direct, err := t.directCallCPU(ctx, tokens, repeat)
			if err != nil {
				return nil, err
			}
			collected.add((tokens-1)/tokensPerChunk+1, []float64{viaNode, direct, viaNode - direct})
		}
	}
	return collected.slopes(), nil
}

// nodeCallCPU returns the CPU time of a call through the node in microseconds.
// The start of the programs is not part of it.
func (t *testbed) nodeCallCPU(ctx context.Context, tokens, repeat int) (float64, error) {
	caller := t.Client(tenantKey)
	ids := make([]string, callsPerPoint)
	for i := range ids {
		ids[i] = fmt.Sprintf("through-%d-%d-%d", tokens, repeat, i)
		if _, err := caller.Start(ctx, api.StartRequest{ID: ids[i], Class: "class"}); err != nil {
			return 0, err
		}
	}
	return cpuPerCall(func(i int) error {
		return modelCall(ctx, caller, ids[i], 1, tokens, func(program.Chunk) error { return nil })
	})
}

// directCallCPU returns the CPU time of a direct call to the engine in
// microseconds.
func (t *testbed) directCallCPU(ctx context.Context, tokens, repeat int) (float64, error) {
	return cpuPerCall(func(i int) error {
		body, err := json.Marshal(map[string]any{"model": "m", "stream": true, "max_tokens": tokens,
			"messages": []program.Message{{Role: "user", Content: text(200)}}})
		if err != nil {
			return err
		}
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, t.Engines[0].URL()+"/v1/chat/completions", bytes.NewReader(body))
		if err != nil {
			return err
		}
		request.Header.Set("X-Program-Id", "direct")
		request.Header.Set("X-Request-Id", fmt.Sprintf("direct-%d-%d-%d", tokens, repeat, i))
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			return err
		}
		defer response.Body.Close()
		_, err = io.Copy(io.Discard, response.Body)
		return err
	})
}

// cpuPerCall makes callsPerPoint calls and returns the CPU time of one in
// microseconds. It also returns the error of the first call that failed.
func cpuPerCall(call func(i int) error) (float64, error) {
	before := cpuTime()
	var next atomic.Int64
	results := make(chan error, callers)
	for range callers {
		go func() {
			var err error
			for i := next.Add(1) - 1; i < callsPerPoint && err == nil; i = next.Add(1) - 1 {
				err = call(int(i))
			}
			results <- err
		}()
	}
	var first error
	for range callers {
		if err := <-results; err != nil && first == nil {
			first = err
		}
	}
	return microseconds(cpuTime()-before, callsPerPoint), first
}
