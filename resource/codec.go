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

// Format is a text form of resources.
type Format string

// The formats.
const (
	JSON Format = "json"
	TOML Format = "toml"
)

// document is the text form of one resource.
type document struct {
	Kind    Kind            `json:"kind"`
	Name    string          `json:"name"`
	Version kvstore.Version `json:"version,omitempty"`
	Deleted bool            `json:"deleted,omitempty"`
	Spec    json.RawMessage `json:"spec,omitempty"`
	Status  *Status         `json:"status,omitempty"`
}

// listDocument is the text form of several resources, in TOML as [[resources]].
type listDocument struct {
	Resources []json.RawMessage `json:"resources"`
}

// Decode reads one resource as an operator wrote it, applies the defaults and
// validates it. It refuses unknown fields. The error is *Problems when the
// document was understood and refused, else ErrMalformed with details.
func Decode(data []byte, format Format) (Resource, error) {
	data, err := toJSON(data, format)
	if err != nil {
		return Resource{}, err
	}
	return decodeOne(data)
}

// DecodeList reads a document with a list of resources, such as a file.
func DecodeList(data []byte, format Format) ([]Resource, error) {
	data, err := toJSON(data, format)
	if err != nil {
		return nil, err
	}
	var list listDocument
	if err := strict(data, &list); err != nil {
		return nil, err
	}
	resources := make([]Resource, 0, len(list.Resources))
	all := &Problems{}
	for i, raw := range list.Resources {
		one, err := decodeOne(raw)
		if problems, ok := err.(*Problems); ok { //nolint:errorlint // decodeOne returns it unwrapped
			for _, problem := range problems.List {
				all.add(fmt.Sprintf("resources[%d].%s", i, problem.Field), problem.Reason, problem.Allowed)
			}
		} else if err != nil {
			return nil, Error.New("resources[%d]: %w", i, err)
		}
		resources = append(resources, one)
	}
	if len(all.List) > 0 {
		return nil, all
	}
	return resources, nil
}

// Encode returns the text form of a resource.
func Encode(r Resource, format Format) ([]byte, error) {
	spec, err := json.Marshal(r.Spec)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	form := document{Kind: r.Kind, Name: r.Name, Version: r.Version, Spec: spec}
	if len(r.Status.Warnings) > 0 {
		form.Status = &r.Status
	}
	data, err := json.Marshal(form)
	if err != nil || format == JSON {
		return data, Error.Wrap(err)
	}
	return toTOML(data)
}

// EncodeSpec returns the canonical JSON form of a spec. Equal specs have equal
// forms.
func EncodeSpec(spec Spec) []byte {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err) // specs hold only strings, integers, booleans and lists
	}
	return data
}

// MarshalJSON returns the form of a change for the exchange between nodes.
func (c Change) MarshalJSON() ([]byte, error) {
	form := document{Kind: c.ID.Kind, Name: c.ID.Name, Version: c.Version, Deleted: c.Deleted}
	if !c.Deleted {
		form.Spec = EncodeSpec(c.Spec)
	}
	return json.Marshal(form)
}

// UnmarshalJSON reads a change of another node or of the platform store. It
// accepts unknown fields, because a newer version of the program may have
// written them, and does not validate again.
func (c *Change) UnmarshalJSON(data []byte) error {
	var form document
	if err := json.Unmarshal(data, &form); err != nil {
		return malformed(err)
	}
	spec := newSpec(form.Kind)
	if spec == nil || form.Name == "" {
		return malformed(Error.New("unknown kind %q or empty name", form.Kind))
	}
	*c = Change{ID: ID{Kind: form.Kind, Name: form.Name}, Version: form.Version, Deleted: form.Deleted}
	if form.Deleted {
		return nil
	}
	if len(form.Spec) == 0 || bytes.Equal(form.Spec, []byte("null")) {
		return malformed(Error.New("change without a spec"))
	}
	if err := json.Unmarshal(form.Spec, spec); err != nil {
		return malformed(err)
	}
	spec.setDefaults()
	c.Spec = spec
	return nil
}

func decodeOne(data []byte) (Resource, error) {
	var form document
	if err := strict(data, &form); err != nil {
		return Resource{}, err
	}
	r := Resource{Kind: form.Kind, Name: form.Name, Version: form.Version}
	if form.Deleted {
		return Resource{}, malformed(Error.New("a resource is deleted with DELETE, not with a field"))
	}
	if spec := newSpec(form.Kind); spec != nil && len(form.Spec) > 0 && form.Spec[0] == '{' {
		if err := strict(form.Spec, spec); err != nil {
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

func strict(data []byte, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return malformed(err)
	}
	if _, err := decoder.Token(); err != io.EOF { //nolint:errorlint // Token returns io.EOF itself
		return malformed(Error.New("data after the end of the document"))
	}
	return nil
}

func malformed(cause error) error {
	return fmt.Errorf("%w: %w", ErrMalformed, cause)
}

// toJSON brings TOML into the JSON form, so that one decoder checks both.
func toJSON(data []byte, format Format) ([]byte, error) {
	if format == JSON {
		return data, nil
	}
	var tree map[string]any
	if err := toml.Unmarshal(data, &tree); err != nil {
		return nil, malformed(err)
	}
	converted, err := json.Marshal(tree)
	if err != nil {
		return nil, malformed(err) // for example a float that is not a number
	}
	return converted, nil
}

func toTOML(data []byte) ([]byte, error) {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.UseNumber()
	var tree map[string]any
	if err := decoder.Decode(&tree); err != nil {
		return nil, Error.Wrap(err)
	}
	text, err := toml.Marshal(withIntegers(tree))
	return text, Error.Wrap(err)
}

// withIntegers replaces JSON numbers by integers and drops null, which TOML
// does not have. Resources hold no fractions.
func withIntegers(node any) any {
	switch typed := node.(type) {
	case map[string]any:
		for name, child := range typed {
			if child == nil {
				delete(typed, name)
				continue
			}
			typed[name] = withIntegers(child)
		}
	case []any:
		for i, child := range typed {
			typed[i] = withIntegers(child)
		}
	case json.Number:
		number, err := typed.Int64()
		if err != nil {
			return int64(math.MaxInt64)
		}
		return number
	}
	return node
}
