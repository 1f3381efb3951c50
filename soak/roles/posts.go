package roles

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"dogwoodline.example/emulator/usersplatform"
)

const (
	// postDeadline is how long a client waits for the answer to a post.
	postDeadline = 6 * time.Second
	// crossingTime is how long a front may take to read a request that was sent
	// before it closed the connection, as the users allow.
	crossingTime = 200 * time.Millisecond
	// resolveInterval is how long a client keeps a list of fronts.
	resolveInterval = time.Second
)

// post is one attempt at a call that may not be repeated, as its client saw it.
type post struct {
	id     string
	front  string
	sent   time.Time // when its last byte was written; zero if it was not
	ended  time.Time
	status int // 0 if the connection ended without a whole answer
	body   string
	gaveUp bool // the client's time was over
}

// postClient sends one call after the other over a connection that it keeps until
// the front closes it or leaves the list of fronts.
type postClient struct {
	name string
	ips  []string // of the fronts
	// keepsList makes it keep its first list of fronts, as clients do that cannot get
	// a new one. It then loads a front until that accepts no connections.
	keepsList bool
	random    *rand.Rand
	transport *http.Transport
	front     string // the address that its connection leads to; empty for none
	listed    []string
	listedAt  time.Time
	posts     []post
}

func newPostClient(name string, ips []string, keepsList bool, random *rand.Rand) *postClient {
	dialer := &net.Dialer{Timeout: time.Second}
	return &postClient{name: name, ips: ips, keepsList: keepsList, random: random, transport: &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 1}}
}

// run sends posts until the context ends. The one in progress is not recorded then.
func (c *postClient) run(ctx context.Context) error {
	defer c.transport.CloseIdleConnections()
	for ctx.Err() == nil {
		c.chooseFront()
		if c.front == "" {
			if pause(ctx, retryPause) != nil {
				break
			}
			continue
		}
		sent, retryAfter := c.send(ctx)
		if ctx.Err() != nil {
			break
		}
		c.posts = append(c.posts, sent)
		if sent.status != http.StatusOK {
			c.front = "" // a retry goes over a new connection
			c.transport.CloseIdleConnections()
		}
		if sent.sent.IsZero() { // the front accepts no connections
			retryAfter = retryPause
		}
		if pause(ctx, min(retryAfter, postDeadline/3)) != nil {
			break
		}
	}
	return ctx.Err()
}

// chooseFront asks for the list of fronts when it is old, and keeps the front while it
// is listed.
func (c *postClient) chooseFront() {
	if c.listedAt.IsZero() || !c.keepsList && time.Since(c.listedAt) > resolveInterval {
		for _, i := range c.random.Perm(len(c.ips)) {
			if listed, err := usersplatform.Resolve(c.ips[i]); err == nil && len(listed) > 0 {
				c.listed, c.listedAt = listed, time.Now()
				break
			}
		}
	}
	if !slices.Contains(c.listed, c.front) {
		c.front = ""
		c.transport.CloseIdleConnections()
	}
	if c.front == "" && len(c.listed) > 0 {
		c.front = c.listed[c.random.IntN(len(c.listed))]
	}
}

// send sends one post. It returns after which time the client may go on.
func (c *postClient) send(ctx context.Context) (post, time.Duration) {
	p := post{id: fmt.Sprintf("%s-%d", c.name, len(c.posts)), front: c.front}
	ctx, cancel := context.WithTimeout(ctx, postDeadline)
	defer cancel()
	var sent atomic.Pointer[time.Time] // set by a goroutine of the transport
	trace := &httptrace.ClientTrace{WroteRequest: func(info httptrace.WroteRequestInfo) {
		if now := time.Now(); info.Err == nil {
			sent.Store(&now)
		}
	}}
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodPost, "http://"+c.front+usersplatform.WorkPath+"x", strings.NewReader(p.id))
	if err != nil {
		panic("soak: cannot make a request: " + err.Error())
	}
	request.Host = usersplatform.SiteHost
	request.GetBody = nil // the transport must not send it again by itself
	request.Header.Set("X-Request-Id", p.id)
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(postDeadline.Milliseconds(), 10))
	reply, err := c.transport.RoundTrip(request)
	content := []byte{}
	if err == nil {
		content, err = io.ReadAll(reply.Body)
		reply.Body.Close()
	}
	p.ended, p.gaveUp = time.Now(), ctx.Err() != nil
	if at := sent.Load(); at != nil {
		p.sent = *at
	}
	if err != nil {
		return p, 0
	}
	p.status, p.body = reply.StatusCode, string(content)
	seconds, _ := strconv.ParseFloat(reply.Header.Get("Retry-After"), 64) // 0 if there is none
	return p, time.Duration(seconds * float64(time.Second))
}

// checkPosts compares what clients saw with what the backend servers ran. The fronts
// were disturbed by planned stops only.
func checkPosts(clients []*postClient, servers []*usersplatform.WorkBackend) StopsResult {
	runs := map[string]int{}
	for _, server := range servers {
		for id, count := range server.Runs() {
			runs[id] += count
		}
	}
	var result StopsResult
	for _, c := range clients {
		for _, p := range c.posts {
			result.add(p, runs[p.id])
		}
	}
	return result
}

// add counts a post that ran as often as given.
func (r *StopsResult) add(p post, runs int) {
	violation := func(format string, arguments ...any) {
		r.Violations = append(r.Violations, fmt.Sprintf("%s at %s: ", p.id, p.front)+fmt.Sprintf(format, arguments...))
	}
	if runs > 1 {
		violation("ran %d times", runs)
	}
	switch {
	case p.status == http.StatusOK:
		r.Answered++
		if p.body != "done "+p.id || runs == 0 {
			violation("was answered %q after %d runs", p.body, runs)
		}
	case p.status == http.StatusServiceUnavailable || p.status == http.StatusTooManyRequests:
		r.Refused++
		if runs > 0 {
			violation("was refused with %d and ran", p.status)
		}
	case p.status > 0:
		r.Unknown++
	case p.gaveUp:
		r.GaveUp++
	case runs > 0:
		violation("ran and was not answered, %s after it was sent", p.ended.Sub(p.sent).Round(time.Millisecond))
	case !p.sent.IsZero() && p.ended.Sub(p.sent) > crossingTime:
		violation("was not answered, %s after it was sent", p.ended.Sub(p.sent).Round(time.Millisecond))
	default:
		r.Crossed++
	}
}
