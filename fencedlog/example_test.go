package fencedlog_test

import (
	"context"
	"errors"
	"fmt"
	"log/slog"

	"github.com/jonboulle/clockwork"

	"dogwoodline.example/fencedlog"
	"dogwoodline.example/kvstore/memstore"
)

// A writer commits a record to its journal. Another node seals the journal and
// replays it; from then on the writer is fenced, however long it was paused.
func Example() {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	clock := clockwork.NewRealClock()
	store := memstore.New(clock)
	discardLog := slog.New(slog.DiscardHandler)

	writer := fencedlog.NewWriter(store, clock, discardLog, "node-1-run-1", fencedlog.Settings{})
	if err := writer.Open(ctx); err != nil {
		fmt.Println(err)
		return
	}
	go func() { _ = writer.Run(ctx) }()
	record := fencedlog.Record{Shard: 7, Program: "invoice-1", Seq: 1, Data: []byte("intent")}
	fmt.Println("recorded:", fencedlog.NewAppender(writer).Append(ctx, []fencedlog.Record{record}) == nil)

	if err := fencedlog.Seal(ctx, store, "node-1-run-1"); err != nil {
		fmt.Println(err)
		return
	}
	everyShard := func(int) bool { return true }
	records, err := fencedlog.Replay(ctx, store, "node-1-run-1", everyShard)
	fmt.Println("replayed:", len(records), string(records[0].Data), err)

	record.Seq = 2
	err = fencedlog.NewAppender(writer).Append(ctx, []fencedlog.Record{record})
	fmt.Println("fenced:", errors.Is(err, fencedlog.ErrFenced))
	// Output:
	// recorded: true
	// replayed: 1 intent <nil>
	// fenced: true
}
