// Package httpresponse states which heads of HTTP/1.1 responses are sound. Package
// net/http reads more than the protocol allows, and what it makes of the rest is not what
// the server meant. A response that is not sound says nothing: not that the request has
// run, and not that it has not.
//
// Where a body without length ends is told by package netdial.
package httpresponse

import (
	"bufio"
	"net/http"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("httpresponse")

// Read reads the head of the next response from a connection. Its status is an interim
// one if it is below 200; the final response follows.
func Read(from *bufio.Reader, method string) (*http.Response, error) {
	response, err := http.ReadResponse(from, &http.Request{Method: method})
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if err := check(response); err != nil {
		return nil, err
	}
	return response, nil
}

// check returns an error if the head of a response is not sound. Statuses of 600 and more
// are sound: the protocol leaves them to servers.
func check(response *http.Response) error {
	status := response.StatusCode
	switch {
	case status < http.StatusContinue:
		return Error.New("status %03d is not one of HTTP", status)
	case status == http.StatusSwitchingProtocols:
		return Error.New("the server switches to a protocol that was not asked for")
	case status < http.StatusOK:
		return checkInterim(response.Header, response.TransferEncoding)
	}
	return nil
}

// checkInterim returns an error if an interim response states that a body follows, since
// its bytes would be read as the next response.
func checkInterim(header http.Header, transferEncoding []string) error {
	for _, length := range header["Content-Length"] {
		if length != "0" {
			return Error.New("interim response with a length of %q", length)
		}
	}
	if len(transferEncoding) > 0 {
		return Error.New("interim response with a transfer encoding")
	}
	return nil
}
