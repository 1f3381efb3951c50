package turnstore

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sys/unix"
	"google.golang.org/protobuf/proto"

	"dogwoodline.example/copyset"
	"dogwoodline.example/duty"
	"dogwoodline.example/turnlog"
	"dogwoodline.example/turnstore/turnpb"
)

// programTurns and turnBytes are the shape of the load that the benchmarks use.
const (
	programTurns = 5
	turnBytes    = 1800
)

// turnRecords returns the records of one turn of a program: the reservation, then the turn
// and the settlement. They are decoded like those that arrive.
func turnRecords(program, number int, expires int64) []*turnpb.Record {
	id := func(number int) string { return fmt.Sprintf("%08d-0000-4000-8000-%012d", program, number) }
	previous := ""
	if number > 0 {
		previous = id(number - 1)
	}
	name := fmt.Sprintf("program-%08d-00000000", program)
	request := &turnpb.ExchangeRequest{Records: []*turnpb.Record{
		{Kind: &turnpb.Record_Reservation{Reservation: &turnpb.Reservation{Program: name, Attempt: id(number), Tokens: 200, ExpiresUnixMs: expires, Budget: 5000}}},
		{Kind: &turnpb.Record_Turn{Turn: &turnpb.Turn{Id: id(number), Previous: previous, Content: []byte(strings.Repeat("x", turnBytes)), ExpiresUnixMs: expires}}},
		{Kind: &turnpb.Record_Settlement{Settlement: &turnpb.Settlement{Program: name, Attempt: id(number), Tokens: 150, ExpiresUnixMs: expires}}},
	}}
	encoded, err := proto.Marshal(request)
	if err != nil {
		panic(err)
	}
	var decoded turnpb.ExchangeRequest
	if err := proto.Unmarshal(encoded, &decoded); err != nil {
		panic(err)
	}
	return decoded.Records
}

func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// BenchmarkIndexMemory reports the memory of a turn in the index with its ledger entry, and
// what the state counts for it.
func BenchmarkIndexMemory(b *testing.B) {
	const turns = 100_000
	expires := time.Now().Add(time.Hour).UnixMilli()
	for b.Loop() {
		before := heapBytes()
		s := newState()
		for number := range programTurns {
			for program := range turns / programTurns {
				for i, record := range turnRecords(program, number, expires) {
					if item, _ := s.apply(record); item != nil {
						s.place(item, turnlog.Position{Segment: 1, Offset: uint32(i), Length: 1})
					}
				}
				s.hot.evict(0)
			}
		}
		s.expire(time.Now())
		b.ReportMetric((heapBytes()-before)/turns, "B/turn")
		b.ReportMetric(float64(s.bytes)/turns, "counted-B/turn")
		start := time.Now()
		s.expire(time.Now())
		b.ReportMetric(float64(time.Since(start).Microseconds()), "expire-us")
		start = time.Now()
		s.liveThrough(1)
		b.ReportMetric(float64(time.Since(start).Microseconds()), "live-us")
		runtime.KeepAlive(s)
	}
}

// processorTime returns the processor time that this process has used.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// benchStore opens a store with the limits of the deployments' stores, as the only member.
func benchStore(b *testing.B, group *duty.Group, folder string) *Server {
	s, err := open(group, slog.New(slog.DiscardHandler), folder, Limits{MemoryBytes: 154 << 20, DiskBytes: 350 << 20})
	if err != nil {
		b.Fatal(err)
	}
	s.SetCopySet(copyset.Set{Version: 1, Members: []copyset.Member{{Disk: s.Disk(), Ready: true}}})
	return s
}

// fillDisk stores turns until the store refuses them, and returns the number of programs.
func fillDisk(s *Server) int {
	expires := time.Now().Add(time.Hour).UnixMilli()
	for program := 0; ; {
		batch := make([]request, 0, maxBatchRequests)
		for ; len(batch) < maxBatchRequests-programTurns; program++ {
			for number := range programTurns {
				batch = append(batch, request{exchange: &turnpb.ExchangeRequest{CopySet: 1, Records: turnRecords(program, number, expires)}})
			}
		}
		refused := s.refusals.count
		if s.processBatch(batch); s.refusals.count > refused {
			return program - maxBatchRequests/programTurns - 1
		}
	}
}

// BenchmarkOpenFullDisk reports how long a store takes to start on a full disk.
func BenchmarkOpenFullDisk(b *testing.B) {
	group := duty.NewGroup(context.Background(), slog.New(slog.DiscardHandler), metrics.NewSet())
	folder := b.TempDir()
	s := benchStore(b, group, folder)
	fillDisk(s)
	size, turns := float64(s.turnLog.Size())/1e6, float64(len(s.state.turns))
	s = nil
	before, start := heapBytes(), processorTime()
	for b.Loop() {
		s = nil
		s = benchStore(b, group, folder)
	}
	b.ReportMetric(float64((processorTime()-start).Milliseconds())/float64(b.N), "cpu-ms/op")
	b.ReportMetric(size, "log-MB")
	b.ReportMetric(turns, "turns")
	b.ReportMetric((heapBytes()-before)/1e6, "heap-MB")
	b.ReportMetric(float64(s.state.bytes+s.state.hot.bytes)/1e6, "counted-MB")
}

// BenchmarkChain reports the time of a request for a conversation whose turns are in
// memory, in the log and the kernel's cache, or on the disk only.
func BenchmarkChain(b *testing.B) {
	group := duty.NewGroup(context.Background(), slog.New(slog.DiscardHandler), metrics.NewSet())
	folder := b.TempDir()
	s := benchStore(b, group, folder)
	programs := fillDisk(s)
	group.Go("store-writer", s.run)
	group.Go("store-reader", s.runReader)
	defer group.Stop()
	files, err := filepath.Glob(filepath.Join(folder, "*.log"))
	if err != nil {
		b.Fatal(err)
	}
	dropCache := func() {
		for _, name := range files {
			file, err := os.Open(name)
			if err != nil {
				continue // removed by compaction
			}
			_ = unix.Fadvise(int(file.Fd()), 0, 0, unix.FADV_DONTNEED)
			_ = file.Close()
		}
	}
	ask := func(b *testing.B, program int) {
		id := turnRecords(program, programTurns-1, 0)[1].GetTurn().Id
		reply, err := s.Exchange(context.Background(), &turnpb.ExchangeRequest{CopySet: 1, Chains: []string{id}})
		if err != nil || !reply.Chains[0].Whole {
			b.Fatal("conversation not read", err)
		}
	}
	b.Run("memory", func(b *testing.B) {
		for b.Loop() {
			ask(b, programs-1)
		}
	})
	b.Run("log", func(b *testing.B) {
		program := 0
		for b.Loop() {
			ask(b, program%(programs/2))
			program += 37
		}
	})
	b.Run("disk", func(b *testing.B) {
		program := 5
		for b.Loop() {
			b.StopTimer()
			dropCache()
			b.StartTimer()
			ask(b, program%(programs/2))
			program += 37
		}
	})
}
