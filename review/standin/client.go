package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"time"
)

// siteHost is the host of all routes.
const siteHost = "site.example"

// clientRequest is one attempt of a client.
type clientRequest struct {
	id, method, path, body string
	header                 map[string]string // by entry of names
	deadline               time.Duration
}

// clientAnswer is what a client gets.
type clientAnswer struct {
	status     int
	body       string
	complete   bool
	err        error
	retryAfter time.Duration
	kept       bool // it was sent on a channel that had been used before
}

// ok reports whether the attempt was answered with success, as a whole.
func (a clientAnswer) ok() bool { return a.status == http.StatusOK && a.complete }

func (a clientAnswer) String() string {
	if a.err != nil {
		return fmt.Sprintf("status %d, broken off after %d bytes: %v", a.status, len(a.body), a.err)
	}
	if a.status == http.StatusOK {
		return fmt.Sprintf("status 200, whole, %d bytes", len(a.body))
	}
	return fmt.Sprintf("status %d, retry after %s: %s", a.status, a.retryAfter, strings.TrimSpace(a.body))
}

// clients sends the requests of all clients, on channels that are kept.
var clients = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}}

// send sends a request to a front and reads the whole answer.
func send(front string, in clientRequest) clientAnswer {
	ctx, cancel := context.WithTimeout(context.Background(), in.deadline)
	defer cancel()
	kept := false
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { kept = info.Reused }})
	r, err := http.NewRequestWithContext(ctx, in.method, "http://"+front+in.path, strings.NewReader(in.body))
	if err != nil {
		return clientAnswer{err: err}
	}
	r.Host = siteHost
	r.Header.Set(names["request_id"], in.id)
	r.Header.Set(names["deadline"], strconv.FormatInt(in.deadline.Milliseconds(), 10))
	for name, value := range in.header {
		r.Header.Set(names[name], value)
	}
	response, err := clients.Do(r)
	if err != nil {
		return clientAnswer{err: err, kept: kept}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	answer := clientAnswer{status: response.StatusCode, body: string(body), complete: err == nil, err: err, kept: kept}
	if seconds, parseErr := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); parseErr == nil {
		answer.retryAfter = time.Duration(seconds * float64(time.Second))
	}
	return answer
}
