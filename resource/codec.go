package resource

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math"

	"github.com/pelletier/go-toml/v2"

	"dogwoodline.example/kvstore"
)

// Format is a text encoding of resources.
type Format string

// The supported formats.
const (
	JSON Format = "json"
	TOML Format = "toml"
)

// document is the encoded form of one resource or change.
type document struct {
	Kind    Kind            `json:"kind"`
	Name    string          `json:"name"`
	Version kvstore.Version `json:"version,omitempty"`
	Deleted bool            `json:"deleted,omitempty"`
	Spec    json.RawMessage `json:"spec,omitempty"`
	Status  *Status         `json:"status,omitempty"`
}

// listDocument is the encoded form of several resources, in TOML as
// [[resources]].
type listDocument struct {
	Resources []json.RawMessage `json:"resources"`
}

// Decode decodes one resource written by an operator, applies the defaults and
// validates it. It refuses unknown fields. The error is *Problems if the
// document could be decoded but is not valid, otherwise it wraps ErrMalformed.
func Decode(data []byte, format Format) (Resource, error) {
	data, err := toJSON(data, format)
	if err != nil {
		return Resource{}, err
	}
	return decodeOne(data)
}

// DecodeList decodes a document with a list of resources, such as a file that
// an operator applies.
func DecodeList(data []byte, format Format) ([]Resource, error) {
	data, err := toJSON(data, format)
	if err != nil {
		return nil, err
	}
	var list listDocument
	if err := decodeStrict(data, &list); err != nil {
		return nil, err
	}
	resources := make([]Resource, 0, len(list.Resources))
	merged := &Problems{}
	for i, raw := range list.Resources {
		r, err := decodeOne(raw)
		if problems, ok := err.(*Problems); ok { //nolint:errorlint // decodeOne returns it unwrapped
			for _, problem := range problems.List {
				merged.add(fmt.Sprintf("resources[%d].%s", i, problem.Field), problem.Reason, problem.Allowed)
			}
		} else if err != nil {
			return nil, Error.New("resources[%d]: %w", i, err)
		}
		resources = append(resources, r)
	}
	if len(merged.List) > 0 {
		return nil, merged
	}
	return resources, nil
}

// Encode encodes a resource. The status is included if it has warnings.
func Encode(r Resource, format Format) ([]byte, error) {
	spec, err := json.Marshal(r.Spec)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	doc := document{Kind: r.Kind, Name: r.Name, Version: r.Version, Spec: spec}
	if len(r.Status.Warnings) > 0 {
		doc.Status = &r.Status
	}
	data, err := json.Marshal(doc)
	if err != nil || format == JSON {
		return data, Error.Wrap(err)
	}
	return toTOML(data)
}

// EncodeSpec returns the canonical JSON encoding of a spec. Equal specs have
// equal encodings.
func EncodeSpec(spec Spec) []byte {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err) // specs hold only strings, integers, booleans and lists
	}
	return data
}

// MarshalJSON returns the encoding of a change that nodes exchange.
func (c Change) MarshalJSON() ([]byte, error) {
	doc := document{Kind: c.ID.Kind, Name: c.ID.Name, Version: c.Version, Deleted: c.Deleted}
	if !c.Deleted {
		doc.Spec = EncodeSpec(c.Spec)
	}
	return json.Marshal(doc)
}

// UnmarshalJSON decodes a change received from another node or read from the
// platform store. It accepts unknown fields, because a newer version of the
// software may have written them, and does not repeat the validation.
func (c *Change) UnmarshalJSON(data []byte) error {
	var doc document
	if err := json.Unmarshal(data, &doc); err != nil {
		return malformedError(err)
	}
	spec := newSpec(doc.Kind)
	if spec == nil || doc.Name == "" {
		return malformedError(Error.New("unknown kind %q or empty name", doc.Kind))
	}
	*c = Change{ID: ID{Kind: doc.Kind, Name: doc.Name}, Version: doc.Version, Deleted: doc.Deleted}
	if doc.Deleted {
		return nil
	}
	if len(doc.Spec) == 0 || bytes.Equal(doc.Spec, []byte("null")) {
		return malformedError(Error.New("change without a spec"))
	}
	if err := json.Unmarshal(doc.Spec, spec); err != nil {
		return malformedError(err)
	}
	spec.setDefaults()
	c.Spec = spec
	return nil
}

func decodeOne(data []byte) (Resource, error) {
	var doc document
	if err := decodeStrict(data, &doc); err != nil {
		return Resource{}, err
	}
	r := Resource{Kind: doc.Kind, Name: doc.Name, Version: doc.Version}
	if doc.Deleted {
		return Resource{}, malformedError(Error.New("a resource is deleted with DELETE, not with a field"))
	}
	if spec := newSpec(doc.Kind); spec != nil && len(doc.Spec) > 0 && doc.Spec[0] == '{' {
		if err := decodeStrict(doc.Spec, spec); err != nil {
			return Resource{}, err
		}
		spec.setDefaults()
		r.Spec = spec
	}
	if problems := Validate(r); problems != nil {
		return Resource{}, problems
	}
	return r, nil
}

// decodeStrict decodes exactly one JSON document and refuses unknown fields.
func decodeStrict(data []byte, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return malformedError(err)
	}
	if _, err := decoder.Token(); err != io.EOF { //nolint:errorlint // Token returns io.EOF itself
		return malformedError(Error.New("data after the end of the document"))
	}
	return nil
}

func malformedError(cause error) error {
	return fmt.Errorf("%w: %w", ErrMalformed, cause)
}

// toJSON converts TOML into JSON, so that one decoder handles both formats.
func toJSON(data []byte, format Format) ([]byte, error) {
	if format == JSON {
		return data, nil
	}
	var root map[string]any
	if err := toml.Unmarshal(data, &root); err != nil {
		return nil, malformedError(err)
	}
	converted, err := json.Marshal(root)
	if err != nil {
		return nil, malformedError(err) // JSON has no NaN and no infinity
	}
	return converted, nil
}

func toTOML(data []byte) ([]byte, error) {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.UseNumber()
	var root map[string]any
	if err := decoder.Decode(&root); err != nil {
		return nil, Error.Wrap(err)
	}
	text, err := toml.Marshal(toTOMLValue(root))
	return text, Error.Wrap(err)
}

// toTOMLValue converts JSON numbers into integers, because resources hold no
// fractions, and drops null, which TOML does not have.
func toTOMLValue(value any) any {
	switch typed := value.(type) {
	case map[string]any:
		for name, child := range typed {
			if child == nil {
				delete(typed, name)
				continue
			}
			typed[name] = toTOMLValue(child)
		}
	case []any:
		for i, child := range typed {
			typed[i] = toTOMLValue(child)
		}
	case json.Number:
		number, err := typed.Int64()
		if err != nil {
			return int64(math.MaxInt64)
		}
		return number
	}
	return value
}
