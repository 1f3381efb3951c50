package turnstore

import (
	"time"

	"dogwoodline.example/turnstore/turnpb"
)

const (
	// loadMemory is how long a front's report is believed. A front that runs
	// calls of turns reports several times a second.
	loadMemory = 2 * time.Second
	// askLoadsEvery is how often a front asks for the others' calls at most.
	// Model calls take a few hundred ms, so that little changes meanwhile.
	askLoadsEvery = 20 * time.Millisecond
)

// loadBoard gathers how many calls each front runs at each backend server. The
// writer duty of a store owns it.
type loadBoard struct {
	fronts map[string]loadReport
	total  map[string]int // of all fronts
	swept  time.Time
}

type loadReport struct {
	loads []*turnpb.Load
	at    time.Time
}

func newLoadBoard() *loadBoard {
	return &loadBoard{fronts: map[string]loadReport{}, total: map[string]int{}}
}

func (b *loadBoard) report(front string, loads []*turnpb.Load, now time.Time) {
	if front == "" {
		return
	}
	b.add(b.fronts[front].loads, -1)
	b.fronts[front] = loadReport{loads: loads, at: now}
	b.add(loads, 1)
	if now.Sub(b.swept) < loadMemory/2 {
		return
	}
	b.swept = now
	for name, report := range b.fronts {
		if now.Sub(report.at) > loadMemory {
			b.add(report.loads, -1)
			delete(b.fronts, name)
		}
	}
}

func (b *loadBoard) add(loads []*turnpb.Load, sign int) {
	for _, load := range loads {
		sum := b.total[load.Backend] + sign*int(load.Running)
		if sum == 0 {
			delete(b.total, load.Backend)
		} else {
			b.total[load.Backend] = sum
		}
	}
}

// others returns the calls of all fronts but the one that asks.
func (b *loadBoard) others(front string) []*turnpb.Load {
	own := map[string]int{}
	for _, load := range b.fronts[front].loads {
		own[load.Backend] = int(load.Running)
	}
	loads := make([]*turnpb.Load, 0, len(b.total))
	for id, sum := range b.total {
		if left := sum - own[id]; left > 0 {
			loads = append(loads, &turnpb.Load{Backend: id, Running: uint32(left)})
		}
	}
	return loads
}

func encodeLoads(running map[string]int) []*turnpb.Load {
	loads := make([]*turnpb.Load, 0, len(running))
	for id, count := range running {
		loads = append(loads, &turnpb.Load{Backend: id, Running: uint32(count)})
	}
	return loads
}

// loadExchange is what a front's senders report and where they deliver what
// other fronts reported.
type loadExchange struct {
	front string
	heard func(running map[string]int)
}

// ExchangeLoads lets the messages to the stores carry this front's running
// calls, and delivers those of the other fronts to heard, which must not wait.
func (k *Keeper) ExchangeLoads(front string, heard func(running map[string]int)) {
	k.exchange.Store(&loadExchange{front: front, heard: heard})
}

// SetLoads replaces this front's running calls by backend server.
func (k *Keeper) SetLoads(running map[string]int) {
	loads := encodeLoads(running)
	k.loads.Store(&loads)
}

// addLoads completes a message with this front's running calls.
func (k *Keeper) addLoads(request *turnpb.ExchangeRequest, wanted bool) {
	exchange, loads := k.exchange.Load(), k.loads.Load()
	if exchange == nil || loads == nil {
		return
	}
	request.Front, request.Loads, request.WantLoads = exchange.front, *loads, wanted
}

// hearLoads delivers the calls of the other fronts.
func (k *Keeper) hearLoads(reply *turnpb.ExchangeReply) {
	running := make(map[string]int, len(reply.Loads))
	for _, load := range reply.Loads {
		running[load.Backend] = int(load.Running)
	}
	k.exchange.Load().heard(running)
}
