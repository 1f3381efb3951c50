// Package explain finds the log lines of one request or program of the users'
// platform in the logs of fronts and stores, and states why the request ended as
// it did. It reads logs as a stream and keeps only the lines that it needs.
package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"slices"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("explain")

const (
	// maxLineBytes is the longest line that is read.
	maxLineBytes = 1 << 20
	// lineBufferBytes is the buffer with which reading begins.
	lineBufferBytes = 256 << 10
	// maxHostLines bounds the lines about hosts that are kept, over all logs.
	maxHostLines = 200_000
)

// Line is one log line.
type Line struct {
	Time    time.Time
	Host    string
	Message string
	// Request is the id of the request that the line is about; empty if it is
	// about a host.
	Request string
	// Text is the line as it was written.
	Text       string
	attributes map[string]any
}

// text returns an attribute as text; empty if the line does not have it.
func (l Line) text(name string) string {
	value, _ := l.attributes[name].(string)
	return value
}

// number returns an attribute as a number; 0 if the line does not have it.
func (l Line) number(name string) float64 {
	value, _ := l.attributes[name].(float64)
	return value
}

func (l Line) flag(name string) bool {
	value, _ := l.attributes[name].(bool)
	return value
}

// Collector collects the lines of one request or program from any number of logs.
type Collector struct {
	id       string
	requests map[string]bool // ids of the requests whose lines are kept
	lines    []Line
	hosts    []Line // lines about hosts, for the state of a front at a time
}

// NewCollector returns a collector for the id of a request or program.
func NewCollector(id string) *Collector {
	return &Collector{id: id, requests: map[string]bool{id: true}}
}

// Read adds the lines of a log. What precedes the JSON object of a line, such as
// a prefix of the log's collector, is ignored, and so are lines without one.
func (c *Collector) Read(log io.Reader) error {
	return eachLine(log, c.add)
}

// eachLine calls a function with each line of a log.
func eachLine(log io.Reader, do func(line []byte)) error {
	scanner := bufio.NewScanner(log)
	scanner.Buffer(make([]byte, lineBufferBytes), maxLineBytes)
	for scanner.Scan() {
		do(scanner.Bytes())
	}
	return Error.Wrap(scanner.Err())
}

// hostMessages are the prefixes of the messages that tell the state of a host.
// Their number is bounded by the changes of that state.
var hostMessages = [][]byte{
	[]byte(`"msg":"turnstore: store `), []byte(`"msg":"turnstore: serving changed`), []byte(`"msg":"role: started`),
	[]byte(`"msg":"role: stop requested`), []byte(`"msg":"role: platform store `), []byte(`"msg":"logline: lines left out`),
}

// add keeps a line if it is needed. It looks at the bytes first, because decoding
// each line of a large log takes most of the time.
func (c *Collector) add(line []byte) {
	request := attribute(line, "request")
	aboutHost := slices.ContainsFunc(hostMessages, func(prefix []byte) bool { return bytes.Contains(line, prefix) })
	switch {
	case request != "" && (c.requests[request] || attribute(line, "program") == c.id):
		c.requests[request] = true
		if decoded, ok := decode(line, request); ok {
			c.lines = append(c.lines, decoded)
		}
	case aboutHost && len(c.hosts) < maxHostLines:
		if decoded, ok := decode(line, ""); ok {
			c.hosts = append(c.hosts, decoded)
		}
	}
}

// attribute returns the value of a text attribute without decoding the line;
// empty if there is none.
func attribute(line []byte, name string) string {
	_, rest, found := bytes.Cut(line, []byte(`"`+name+`":"`))
	if !found {
		return ""
	}
	value, _, _ := bytes.Cut(rest, []byte(`"`))
	return string(value)
}

func decode(line []byte, request string) (Line, bool) {
	start := bytes.IndexByte(line, '{')
	if start < 0 {
		return Line{}, false
	}
	decoded := Line{Request: request, Text: string(line[start:])}
	if json.Unmarshal(line[start:], &decoded.attributes) != nil {
		return Line{}, false
	}
	decoded.Host, decoded.Message = decoded.text("host"), decoded.text("msg")
	var err error
	decoded.Time, err = time.Parse(time.RFC3339Nano, decoded.text("time"))
	return decoded, err == nil
}

// Explanation is why one request ended as it did.
type Explanation struct {
	Request string
	// Cause is one sentence. It says what is missing if Found is false.
	Cause string
	Found bool
}

// Report is what the logs say of a request or program.
type Report struct {
	Lines        []Line        // in the order of time
	Explanations []Explanation // by the time of each request's first line
}

// Found reports whether the cause of every request was found.
func (r Report) Found() bool {
	return len(r.Explanations) > 0 && !slices.ContainsFunc(r.Explanations, func(e Explanation) bool { return !e.Found })
}

// Report returns what the logs that were read say.
func (c *Collector) Report() Report {
	byTime := func(a, b Line) int { return a.Time.Compare(b.Time) }
	slices.SortStableFunc(c.lines, byTime)
	slices.SortStableFunc(c.hosts, byTime)
	report := Report{Lines: c.lines}
	ofRequest := map[string][]Line{}
	var order []string
	for _, line := range c.lines {
		if ofRequest[line.Request] == nil {
			order = append(order, line.Request)
		}
		ofRequest[line.Request] = append(ofRequest[line.Request], line)
	}
	for _, request := range order {
		cause, found := c.cause(ofRequest[request])
		report.Explanations = append(report.Explanations, Explanation{Request: request, Cause: cause, Found: found})
	}
	return report
}
