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
	// MaxIDBytes bounds ids of programs and requests, and names of resources.
	MaxIDBytes = 128
	// MaxAttempt bounds attempt numbers. They grow with the revision of the
	// platform store and stay exact in JSON numbers.
	MaxAttempt = 1 << 53
	// MaxTokens bounds max_tokens of a call.
	MaxTokens = 1 << 20
)

// FieldProblem tells what is wrong with a field of a request or resource.
type FieldProblem struct {
	Field   string `json:"field"`
	Problem string `json:"problem"`
}

// FieldProblems is what is wrong with a request. It is empty for a good one.
type FieldProblems []FieldProblem

// String lists the problems for people.
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

func (p *FieldProblems) between(field string, value, low, high int64) {
	if value < low || value > high {
		p.add(field, "must be from %d to %d, is %d", low, high, value)
	}
}

func (p *FieldProblems) id(field, value string) {
	if problem := badID(value); problem != "" {
		p.add(field, "%s", problem)
	}
}

// badID returns what is wrong with an id. Ids consist of parts of letters,
// digits, "_" and "-" with dots between them, so that they are safe in paths,
// keys of the platform store and metric labels.
func badID(id string) string {
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
	// Stream asks for server-sent events.
	Stream bool `json:"stream,omitempty"`
}

// DecodeStart decodes and checks the body that starts a program.
func DecodeStart(data []byte) (StartRequest, FieldProblems) {
	var request StartRequest
	problems := decodeStrict(data, &request)
	if problems != nil {
		return StartRequest{}, problems
	}
	problems.id("id", request.ID)
	problems.id("class", request.Class)
	problems.between("budget", int64(request.Budget), 0, 1<<53)
	problems.between("deadline_ms", request.DeadlineMS, 0, MaxDeadline.Milliseconds())
	return request, problems
}

// DecodeCall decodes and checks the body of a call.
func DecodeCall(data []byte) (CallBody, FieldProblems) {
	var body CallBody
	problems := decodeStrict(data, &body)
	if problems != nil {
		return CallBody{}, problems
	}
	problems.id("request_id", body.RequestID)
	problems.between("order", int64(body.Order), 1, 1<<20)
	problems.between("max_tokens", int64(body.MaxTokens), 0, MaxTokens)
	problems.between("deadline_ms", body.DeadlineMS, 0, MaxDeadline.Milliseconds())
	problems.between("offset", int64(body.Offset), 0, 1<<31)
	problems.between("attempt", int64(body.Attempt), 0, MaxAttempt)
	if body.Offset > 0 && body.Attempt == 0 {
		problems.add("attempt", "is needed with offset")
	}
	switch body.Kind {
	case program.Model:
		problems.checkModel(body)
	case program.Service:
		problems.checkService(body)
	default:
		problems.add("kind", "must be %q or %q", program.Model, program.Service)
	}
	body.CallRequest.Body = body.Body
	return body, problems
}

func (p *FieldProblems) checkModel(body CallBody) {
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

func (p *FieldProblems) checkService(body CallBody) {
	p.id("service", body.Service)
	p.id("operation", body.Operation)
	if len(body.Messages) > 0 {
		p.add("messages", "is for model calls only")
	}
	if body.MaxTokens > 0 {
		p.add("max_tokens", "is for model calls only")
	}
}

// decodeStrict decodes one JSON object and refuses unknown fields and
// trailing data.
func decodeStrict(data []byte, into any) FieldProblems {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
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
