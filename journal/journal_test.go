package journal_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"context"
	"log/slog"

	"github.com/jonboulle/clockwork"

	"dogwoodline.example/journal"
	"dogwoodline.example/platform/memstore"
)

func TestJournal(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "journal")
}

var quiet = slog.New(slog.DiscardHandler)

func all(int) bool { return true }

var _ = Describe("Writer", func() {
	It("returns in a replay what it reported as committed", func(ctx SpecContext) {
		store := memstore.New(clockwork.NewRealClock())
		w := journal.NewWriter(store, clockwork.NewRealClock(), quiet, "a1", journal.Settings{})
		go w.Run(ctx)
		Expect(w.Appends().TryPush(journal.Append{Tag: 7, Records: []journal.Record{
			{Shard: 3, Program: "p", Seq: 1, Data: []byte("x")}}})).To(Succeed())
		Expect(w.Completions().Pop(ctx)).To(Equal(journal.Committed{Tags: []uint64{7}}))
		Expect(journal.Seal(ctx, store, "a1")).To(Succeed())
		records, err := journal.Replay(context.Background(), store, "a1", all)
		Expect(err).NotTo(HaveOccurred())
		Expect(records).To(HaveLen(1))
		Expect(w.Appends().TryPush(journal.Append{Tag: 8, Records: []journal.Record{
			{Shard: 3, Program: "p", Seq: 2}}})).To(Succeed())
		Expect(w.Completions().Pop(ctx)).To(Equal(journal.Fenced{}))
	})
})
