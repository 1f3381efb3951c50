package turnstore

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dogwoodline.example/copyset"
	"dogwoodline.example/duty"
	"dogwoodline.example/turnstore/turnpb"
)

// smallMemory is the memory of a store whose records take several times as much.
const smallMemory = 4 << 20

// openSmall opens a store with little memory on a folder, as the only member of its copy
// set.
func openSmall(folder string) *Server {
	GinkgoHelper()
	group := duty.NewGroup(context.Background(), slog.New(slog.DiscardHandler), metrics.NewSet())
	server, err := NewServer(group, slog.New(slog.DiscardHandler), folder, Limits{MemoryBytes: smallMemory})
	Expect(err).NotTo(HaveOccurred())
	server.SetCopySet(copyset.Set{Version: 1, Members: []copyset.Member{{Disk: server.Disk(), Ready: true}}})
	DeferCleanup(group.Stop)
	return server
}

// content is what the given turn of a conversation adds.
func content(program, number int) string {
	return strings.Repeat(fmt.Sprintf("%d/%d ", program, number), 4_000)
}

// storeTurn stores one turn and returns the status of the reply.
func storeTurn(s *Server, program, number int, left time.Duration) turnpb.Status {
	GinkgoHelper()
	previous := ""
	if number > 0 {
		previous = fmt.Sprint(program, "/", number-1)
	}
	reply, err := s.Exchange(context.Background(), &turnpb.ExchangeRequest{
		CopySet: 1, Records: []*turnpb.Record{turnRecord(fmt.Sprint(program, "/", number), previous, content(program, number), left)},
	})
	Expect(err).NotTo(HaveOccurred())
	return reply.Status
}

// expectChain expects that a store returns all turns of a conversation, unchanged.
func expectChain(s *Server, program, turns int) {
	GinkgoHelper()
	reply, err := s.Exchange(context.Background(), &turnpb.ExchangeRequest{CopySet: 1, Chains: []string{fmt.Sprint(program, "/", turns-1)}})
	Expect(err).NotTo(HaveOccurred())
	Expect(reply.Chains).To(HaveLen(1))
	Expect(reply.Chains[0].Whole).To(BeTrue(), "conversation %d", program)
	Expect(reply.Chains[0].Turns).To(HaveLen(turns))
	for i, t := range reply.Chains[0].Turns {
		Expect(string(t.Content) == content(program, turns-1-i)).To(BeTrue(), "turn %s", t.Id)
	}
}

// copyDisk copies a disk as a kill of its store leaves it.
func copyDisk(folder string) string {
	GinkgoHelper()
	copied := GinkgoT().TempDir()
	Expect(os.CopyFS(copied, os.DirFS(folder))).To(Succeed())
	return copied
}

// Guards against a store that refuses turns, or forgets them, because they do not fit in
// its memory although its disk has room: on the heaviest day, all turns were refused from
// 47 s on.
var _ = Describe("Conversations beyond the memory of a store", func() {
	const programs, turns = 60, 4 // of about 24 KB each: 5.8 MB in a store of 4 MB

	fill := func(s *Server) {
		GinkgoHelper()
		for number := range turns {
			for program := range programs {
				Expect(storeTurn(s, program, number, time.Hour)).To(Equal(turnpb.Status_STATUS_OK), "turn %d of conversation %d", number, program)
			}
		}
	}
	expectAll := func(s *Server) {
		GinkgoHelper()
		for program := range programs {
			expectChain(s, program, turns)
		}
	}

	It("are kept and read back", func() {
		s := openSmall(GinkgoT().TempDir())
		fill(s)
		expectAll(s)
	})

	It("are read back after a kill", func() {
		folder := GinkgoT().TempDir()
		s := openSmall(folder)
		fill(s)
		killed := openSmall(copyDisk(folder))
		expectAll(killed)
	})

	It("are read back after a loss of power that tore the last record", func() {
		folder := GinkgoT().TempDir()
		s := openSmall(folder)
		fill(s)
		Expect(storeTurn(s, programs, 0, time.Hour)).To(Equal(turnpb.Status_STATUS_OK))
		copied := copyDisk(folder)
		segments, err := filepath.Glob(filepath.Join(copied, "*.log"))
		Expect(err).NotTo(HaveOccurred())
		last := segments[len(segments)-1]
		info, err := os.Stat(last)
		Expect(err).NotTo(HaveOccurred())
		Expect(os.Truncate(last, info.Size()-100)).To(Succeed())
		restarted := openSmall(copied)
		expectAll(restarted)
	})
})
