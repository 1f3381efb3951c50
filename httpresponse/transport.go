package httpresponse

import (
	"errors"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
)

// Transport is a RoundTripper that fails if the head of a response is not sound. The body
// ends with an error if the trailer is not sound. Unlike Reader, it does not see whether a
// line of a head begins with a blank.
type Transport struct{ base http.RoundTripper }

// NewTransport returns a Transport whose requests base sends.
func NewTransport(base http.RoundTripper) *Transport { return &Transport{base: base} }

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	trace := &httptrace.ClientTrace{Got1xxResponse: func(_ int, header textproto.MIMEHeader) error {
		// The transport has removed the transfer encoding.
		return errors.Join(checkInterim(http.Header(header), nil), checkNames(http.Header(header)))
	}}
	response, err := t.base.RoundTrip(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if err := check(response); err != nil {
		_ = response.Body.Close() // the response is not used
		return nil, err
	}
	response.Body = checkTrailer(response)
	return response, nil
}

// CloseIdleConnections closes the idle connections of the base.
func (t *Transport) CloseIdleConnections() {
	if closer, ok := t.base.(interface{ CloseIdleConnections() }); ok {
		closer.CloseIdleConnections()
	}
}
