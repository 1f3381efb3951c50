package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	workRoute   = `{"Name":"r-work","Host":"ficu95.example","PathPrefix":"/pule252/","Kind":"unsafe","TimeoutMs":3000,"GoalMs":500,"Priority":2,"Service":"wuno96b"}`
	workService = `{"Name":"wuno96b","HealthPath":"/health","MaxConns":490,"Protocol":"h1","Tls":false}`
	workPath    = "/pule252/4b"
	workSlots   = 6
	workQueue   = 6
	workTime    = 104 * time.Millisecond
	period      = 1000 * time.Millisecond
)

// workServer is a plain server over bare connections. It runs workSlots requests at a time,
// lets workQueue more wait, and refuses the others as not run. A share of its answers is
// sent a second time, late: on the same connection, where the answer to the next request is
// expected.
type workServer struct {
	id      string
	log     *record
	repeats float64 // share of answers that are sent twice
	slots   chan struct{}

	mu       sync.Mutex
	admitted int
	runs     map[string]int
	refusals map[string]int
	copies   int
}

func (s *workServer) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go s.serve(conn)
	}
}

func (s *workServer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	late := "" // a second copy of an answer that is still to be sent
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		if late != "" {
			if _, err := io.WriteString(conn, late); err != nil {
				return
			}
			late = ""
		}
		answer := s.answer(request)
		if _, err := io.WriteString(conn, answer); err != nil {
			return
		}
		s.mu.Lock()
		if rand.Float64() < s.repeats {
			late = answer
			s.copies++
		}
		s.mu.Unlock()
	}
}

// answer runs a request or refuses it, and returns the bytes of the answer.
func (s *workServer) answer(request *http.Request) string {
	id := request.Header.Get(names.RequestID)
	encode := func(status int, header, body string) string {
		return fmt.Sprintf("HTTP/1.1 %d %s\r\n%s: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), names.RequestID, id, header, len(body), body)
	}
	if expected := request.Header.Get(names.Expect); expected != "" && expected != s.id {
		return encode(http.StatusMisdirectedRequest, names.NotExecuted+": 1\r\n", "")
	}
	if request.URL.Path == "/health" {
		return encode(http.StatusOK, names.Instance+": "+s.id+"\r\n", "")
	}
	s.mu.Lock()
	if s.admitted >= workSlots+workQueue {
		s.refusals[id]++
		s.mu.Unlock()
		s.log.line("server %s refuses %s as not run", s.id, id)
		return encode(http.StatusServiceUnavailable, names.NotExecuted+": 1\r\n", "full")
	}
	s.admitted++
	s.mu.Unlock()
	s.slots <- struct{}{}
	s.mu.Lock()
	s.runs[id]++
	s.mu.Unlock()
	s.log.line("server %s runs %s", s.id, id)
	time.Sleep(workTime)
	<-s.slots
	s.mu.Lock()
	s.admitted--
	s.mu.Unlock()
	return encode(http.StatusOK, names.Seal+": seal-"+s.id+"\r\n", "done "+id)
}

// repeatedRefusal has callers send calls that may run once to two plain servers that are
// often full, through four fronts. Without the disruption, no answer is sent twice.
func repeatedRefusal(d *deployment, trouble bool) (verdict, error) {
	d.contract = "pressure"
	repeats := 0.0
	if trouble {
		repeats = 0.03
		if x, err := strconv.ParseFloat(os.Getenv("REPEATS"), 64); err == nil {
			repeats = x
		}
	}
	var servers []*workServer
	for i := range 2 {
		s := &workServer{
			id: fmt.Sprintf("i-%08x", 0x51c07be2+i), log: d.log, repeats: repeats * float64(1-i), slots: make(chan struct{}, workSlots),
			runs: map[string]int{}, refusals: map[string]int{},
		}
		listener, err := net.Listen("tcp", fmt.Sprintf("%s.%d:0", d.net, 100+i))
		if err != nil {
			return verdict{}, err
		}
		context.AfterFunc(d.ctx, func() { _ = listener.Close() })
		go s.accept(listener)
		if err := register(d.ctx, d.platform, s.id, "wuno96b", zones[i], listener.Addr().String(), workSlots, time.Now().UnixMilli()); err != nil {
			return verdict{}, err
		}
		servers = append(servers, s)
	}
	if err := d.configure(workRoute, workService); err != nil {
		return verdict{}, err
	}
	if err := d.startAll(7); err != nil {
		return verdict{}, err
	}
	ctx, cancel := context.WithCancel(d.ctx)
	defer cancel()
	var wg sync.WaitGroup
	var mu sync.Mutex
	answers := map[string]answer{}
	var sent atomic.Int64
	begun := time.Now()
	for _, front := range d.fronts() {
		for lane := range 8 {
			wg.Go(func() {
				client := newClient()
				defer client.CloseIdleConnections()
				for i := 0; ctx.Err() == nil; i++ {
					id := fmt.Sprintf("%s-%d-%d", front.name, lane, i)
					got := send(client, front.front(), turn{id: id, path: workPath, body: []byte("post " + id), plain: true})
					sent.Add(1)
					d.log.line("caller: %s: %s", id, got)
					mu.Lock()
					answers[id] = got
					mu.Unlock()
					// All callers come at once, in each period again.
					sleep(ctx, period-time.Since(begun)%period+time.Duration(rand.IntN(20))*time.Millisecond)
				}
			})
		}
	}
	time.Sleep(90 * time.Second)
	cancel()
	wg.Wait()
	time.Sleep(time.Second)
	twice, falsely, refused, again, copies := 0, 0, 0, 0, 0
	runs := map[string]int{}
	for _, s := range servers {
		s.mu.Lock()
		copies += s.copies
		for id, count := range s.runs {
			runs[id] += count
		}
		for id, count := range s.refusals {
			refused += count
			if s.runs[id] > 0 {
				again++
			}
		}
		s.mu.Unlock()
	}
	for id, count := range runs {
		if count > 1 {
			twice++
			d.log.line("TWICE: %s has run %d times, its caller got %s", id, count, answers[id])
		}
		if status := answers[id].status; status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
			falsely++
			d.log.line("REFUSED: %s has run, its caller got %s", id, answers[id])
		}
	}
	return verdict{
		broken: twice+falsely > 0,
		text: fmt.Sprintf("calls sent %d, run %d, refusals by servers %d, calls that ran at a server that had refused them %d, answers sent twice %d; calls that ran twice: %d; calls answered 429 or 503 that have run: %d",
			sent.Load(), len(runs), refused, again, copies, twice, falsely),
	}, nil
}
