package api

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"

	"dogwoodline.example/program"
)

const (
	// MaxIDBytes bounds the ids of programs and requests and the names of
	// resources.
	MaxIDBytes = 128
	// MaxAttempt bounds attempt numbers. They grow with the revision of the
	// platform store. JSON numbers are exact up to this bound.
	MaxAttempt = 1 << 53
	// MaxTokens is the upper bound of max_tokens of a call.
	MaxTokens = 1 << 20
)

// FieldProblem describes what is wrong with a field of a request or resource.
type FieldProblem struct {
	Field   string `json:"field"`
	Problem string `json:"problem"`
}

// FieldProblems lists what is wrong with a request or resource. It is empty for
// a valid one.
type FieldProblems []FieldProblem

// String returns the problems as one line of text.
func (p FieldProblems) String() string {
	parts := make([]string, len(p))
	for i, problem := range p {
		parts[i] = problem.Field + ": " + problem.Problem
	}
	return strings.Join(parts, "; ")
}

func (p *FieldProblems) add(field, format string, values ...any) {
	*p = append(*p, FieldProblem{Field: field, Problem: fmt.Sprintf(format, values...)})
}

func (p *FieldProblems) checkRange(field string, value, low, high int64) {
	if value < low || value > high {
		p.add(field, "must be from %d to %d, is %d", low, high, value)
	}
}

func (p *FieldProblems) checkID(field, value string) {
	if problem := idProblem(value); problem != "" {
		p.add(field, "%s", problem)
	}
}

// idProblem returns what is wrong with an id, or "" if it is valid. Ids consist
// of parts of letters, digits, "_" and "-" with dots between them, so that they
// are safe in paths, keys of the platform store and metric labels.
func idProblem(id string) string {
	if id == "" {
		return "is missing"
	}
	if len(id) > MaxIDBytes {
		return fmt.Sprintf("is longer than %d bytes", MaxIDBytes)
	}
	for part := range strings.SplitSeq(id, ".") {
		if part == "" {
			return "has an empty part between dots"
		}
		if strings.IndexFunc(part, outsideIDCharset) >= 0 {
			return "may hold only letters, digits, _ and -, with dots between parts"
		}
	}
	return ""
}

func outsideIDCharset(c rune) bool {
	switch {
	case 'a' <= c && c <= 'z', 'A' <= c && c <= 'Z', '0' <= c && c <= '9', c == '_', c == '-':
		return false
	}
	return true
}

// CallBody is the JSON body of a call.
type CallBody struct {
	CallRequest
	// Body is the input of a service call.
	Body json.RawMessage `json:"body,omitempty"`
	// Stream requests the answer as server-sent events.
	Stream bool `json:"stream,omitempty"`
}

// DecodeStart decodes and validates the body of a request that starts a
// program.
func DecodeStart(data []byte) (StartRequest, FieldProblems) {
	var request StartRequest
	problems := decodeStrict(data, &request)
	if problems != nil {
		return StartRequest{}, problems
	}
	problems.checkID("id", request.ID)
	problems.checkID("class", request.Class)
	problems.checkRange("budget", int64(request.Budget), 0, 1<<53)
	problems.checkRange("deadline_ms", request.DeadlineMS, 0, MaxDeadline.Milliseconds())
	return request, problems
}

// DecodeCall decodes and validates the body of a call.
func DecodeCall(data []byte) (CallBody, FieldProblems) {
	var body CallBody
	problems := decodeStrict(data, &body)
	if problems != nil {
		return CallBody{}, problems
	}
	problems.checkID("request_id", body.RequestID)
	problems.checkRange("order", int64(body.Order), 1, 1<<20)
	problems.checkRange("max_tokens", int64(body.MaxTokens), 0, MaxTokens)
	problems.checkRange("deadline_ms", body.DeadlineMS, 0, MaxDeadline.Milliseconds())
	problems.checkRange("offset", int64(body.Offset), 0, 1<<31)
	problems.checkRange("attempt", int64(body.Attempt), 0, MaxAttempt)
	if body.Offset > 0 && body.Attempt == 0 {
		problems.add("attempt", "is needed with offset")
	}
	switch body.Kind {
	case program.Model:
		problems.checkModelCall(body)
	case program.Service:
		problems.checkServiceCall(body)
	default:
		problems.add("kind", "must be %q or %q", program.Model, program.Service)
	}
	body.CallRequest.Body = body.Body
	return body, problems
}

func (p *FieldProblems) checkModelCall(body CallBody) {
	if len(body.Messages) == 0 {
		p.add("messages", "must not be empty for a model call")
	}
	for i, message := range body.Messages {
		switch message.Role {
		case "system", "user", "assistant", "tool":
		default:
			p.add(fmt.Sprintf("messages[%d].role", i), "must be system, user, assistant or tool")
		}
	}
	for field, set := range map[string]bool{
		"service": body.Service != "", "operation": body.Operation != "", "body": body.Body != nil,
	} {
		if set {
			p.add(field, "is for service calls only")
		}
	}
}

func (p *FieldProblems) checkServiceCall(body CallBody) {
	p.checkID("service", body.Service)
	p.checkID("operation", body.Operation)
	if len(body.Messages) > 0 {
		p.add("messages", "is for model calls only")
	}
	if body.MaxTokens > 0 {
		p.add("max_tokens", "is for model calls only")
	}
}

// decodeStrict decodes one JSON object and rejects unknown fields and trailing
// data.
func decodeStrict(data []byte, target any) FieldProblems {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return FieldProblems{jsonProblem(err)}
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return FieldProblems{{Field: "body", Problem: "has data after the JSON object"}}
	}
	return nil
}

func jsonProblem(err error) FieldProblem {
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) && wrongType.Field != "" {
		return FieldProblem{Field: wrongType.Field, Problem: "has the wrong JSON type or range: " + wrongType.Value}
	}
	if name, ok := strings.CutPrefix(err.Error(), "json: unknown field "); ok {
		return FieldProblem{Field: strings.Trim(name, `"`), Problem: "is not a known field"}
	}
	return FieldProblem{Field: "body", Problem: "is not valid JSON: " + err.Error()}
}
