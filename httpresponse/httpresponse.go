// Package httpresponse states which heads of HTTP/1.1 responses are sound. Package
// net/http reads more than the protocol allows, and what it makes of the rest is not what
// the server meant. A response that is not sound says nothing: not that the request has
// run, and not that it has not.
//
// Where a body without length ends is told by package netdial.
package httpresponse

import (
	"errors"
	"io"
	"net/http"
	"strings"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("httpresponse")

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
		if err := checkInterim(response.Header, response.TransferEncoding); err != nil {
			return err
		}
	}
	if strings.ContainsFunc(response.Status, isControl) {
		return Error.New("status line with a control byte: %q", response.Status)
	}
	return checkNames(response.Header)
}

// isControl reports whether a rune is a control byte other than the tab.
func isControl(r rune) bool { return r < ' ' && r != '\t' || r == '\x7f' }

// checkNames returns an error if the name of a field is none. Package net/http lets names
// with a blank pass, and does not take them for the names without it: what they state of
// the body is lost.
func checkNames(header http.Header) error {
	for name := range header {
		if name == "" || strings.ContainsFunc(name, notInToken) {
			return Error.New("field name %q", name)
		}
	}
	return nil
}

// notInToken reports whether a rune is not allowed in the name of a field.
func notInToken(r rune) bool {
	return r <= ' ' || r >= '\x7f' || strings.ContainsRune(`"(),/:;<=>?@[\]{}`, r)
}

// trailerChecker is a body in chunks, which a trailer may follow.
type trailerChecker struct {
	io.ReadCloser

	response *http.Response
}

// checkTrailer returns the body of a response that ends with an error if its trailer is
// not sound.
func checkTrailer(response *http.Response) io.ReadCloser {
	if len(response.TransferEncoding) == 0 {
		return response.Body // only chunks have a trailer
	}
	return trailerChecker{ReadCloser: response.Body, response: response}
}

// Read implements io.Reader.
func (t trailerChecker) Read(into []byte) (int, error) {
	count, err := t.ReadCloser.Read(into)
	if errors.Is(err, io.EOF) {
		if err := checkNames(t.response.Trailer); err != nil {
			return count, err
		}
	}
	return count, err
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
