package explain

import (
	"bytes"
	"encoding/json"
	"regexp"
	"strings"
	"time"
)

// tableLine holds the attributes of a front's line that a table counts.
type tableLine struct {
	Time          time.Time `json:"time"`
	Host          string    `json:"host"`
	Message       string    `json:"msg"`
	Route         string    `json:"route"`
	Priority      *int      `json:"priority"` // absent in logs of earlier releases
	Organisation  string    `json:"organisation"`
	StartsProgram bool      `json:"starts_program"`
	Status        int       `json:"status"`
	Reason        string    `json:"reason"`
	Retained      bool      `json:"retained"`
	Stored        bool      `json:"stored"`
	Count         int64     `json:"count"`

	Backend    string `json:"backend"`
	Zone       string `json:"zone"`       // of the backend server, or of the host that started
	FrontZone  string `json:"front_zone"` // absent in logs of earlier releases
	Home       string `json:"home"`
	Turn       *int   `json:"turn"` // absent in logs of earlier releases
	Try        int    `json:"try"`
	SameServer bool   `json:"same_server"`
	WaitedMs   int64  `json:"waited_ms"`
	Choices    int    `json:"choices"`
}

const (
	offeredMessage  = "gateway: call offered"
	startedMessage  = "role: started"
	leftOutMessage  = "logline: lines left out"
	unloggedMessage = "gateway: requests without a known key were not logged"
)

// outcome is how a request ended.
type outcome int

const (
	notEnded outcome = iota // the line is about something else
	answered
	refused // by the front, and not run
	failed  // may have run, without a complete answer
	cutOff  // in the middle of the answer
	clientLeft
)

// endMessages are the messages of the lines about the end of a request. Each request has
// one of them, except for a stream whose turn could not be stored, which has two.
var endMessages = map[string]bool{
	"gateway: answered": true, "gateway: stream ended": true, "gateway: request ended without a backend server's answer": true,
	"gateway: answer broken off": true, "gateway: client left": true, "gateway: reading the request body failed": true,
}

// outcome returns how the request ended that the line is about.
func (l *tableLine) outcome() outcome {
	switch l.Message {
	case "gateway: answered":
		return answered
	case "gateway: stream ended":
		if l.Retained && !l.Stored {
			return notEnded // "answer broken off" follows
		}
		return answered
	case "gateway: answer broken off":
		return cutOff
	case "gateway: client left", "gateway: reading the request body failed":
		return clientLeft
	case "gateway: request ended without a backend server's answer":
		if l.Status == 502 || l.Status == 504 {
			return failed
		}
		return refused
	}
	return notEnded
}

// add counts a refusal by its reason. It reports false if the reason has no count of its own.
func (r *Refusals) add(status int, reason string) bool {
	has := func(text string) bool { return strings.Contains(reason, text) }
	switch {
	case status == 429:
		r.OverQuota++
	case has("model servers are full"):
		r.ServersFull++
	case has("no slot is free for it in time"):
		r.NoSlotInTime++
	case has("turn stores are nearly full"):
		r.StoresNearlyFull++
	case has("limits of the backend servers"), has("backend servers name limits"):
		r.NamedLimits++
	default:
		r.Other++
		return false
	}
	return true
}

// number matches the numbers in reasons.
var number = regexp.MustCompile(`[0-9]+(\.[0-9]+)?`)

// normalReason returns the part of a reason that requests with the same cause share.
func normalReason(reason string) string {
	reason, _, _ = strings.Cut(reason, ": ")
	return number.ReplaceAllString(reason, "N")
}

// kind tells the place of a call in its conversation.
type kind int

const (
	firstTurn kind = iota
	laterTurn
	otherCall // no turn of a conversation, or not known
	kindCount
)

var kindNames = [kindCount]string{"first turns", "later turns", "other calls"}

func (l *tableLine) kind() kind {
	switch {
	case l.Turn == nil && l.Home != "":
		return laterTurn
	case l.Turn == nil || *l.Turn < 0:
		return otherCall
	case *l.Turn == 0:
		return firstTurn
	}
	return laterTurn
}

// message returns the message of a line without decoding it.
func message(line []byte) []byte {
	_, rest, _ := bytes.Cut(line, []byte(`"msg":"`))
	text, _, _ := bytes.Cut(rest, []byte(`"`))
	return text
}

// decodeTableLine decodes what follows the prefix of a line.
func decodeTableLine(line []byte, into *tableLine) bool {
	start := bytes.IndexByte(line, '{')
	return start >= 0 && json.Unmarshal(line[start:], into) == nil
}

// Sum returns the number of refusals.
func (r Refusals) Sum() int64 {
	return r.OverQuota + r.ServersFull + r.NoSlotInTime + r.StoresNearlyFull + r.NamedLimits + r.Other
}
