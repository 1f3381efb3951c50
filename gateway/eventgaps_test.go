package gateway

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("The gap between events", func() {
	start := time.Unix(1_000_000, 0)
	at := func(ms float64) time.Time { return start.Add(time.Duration(ms * float64(time.Millisecond))) }

	// Guards against a speed of a server that is that of a slow client, of a busy front, or
	// of the prompts that the server processes in between.
	It("is that with which the backend server sends them, or unknown", func() {
		steady, stalled, slowClient, bursts := eventGaps{}, eventGaps{}, eventGaps{}, eventGaps{}
		for i := range 10 {
			event := 20 * float64(i)
			steady.add(at(event-18), at(event)) // 2 ms to forward the event before
			if i >= 5 {
				event += 100 // another prompt
			}
			stalled.add(at(event-18), at(event))
			slowClient.add(at(float64(50*i)), at(float64(50*i)+0.01)) // in the buffer when the client takes it
			// The front runs every 100 ms and reads five events at a time.
			arrived := at(float64(100 * (i / 5)))
			asked := arrived
			if i%5 == 0 {
				asked = asked.Add(-90 * time.Millisecond)
			}
			bursts.add(asked, arrived)
		}
		Expect(steady.median()).To(Equal(20 * time.Millisecond))
		Expect(stalled.median()).To(Equal(20 * time.Millisecond))
		Expect(slowClient.median()).To(BeZero())
		Expect(bursts.median()).To(BeZero())
	})
})
