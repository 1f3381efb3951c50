package api_test

import (
	"encoding/json"
	"strings"
	"testing"

	"dogwoodline.example/api"
)

// FuzzDecode guards against input that makes a decoder panic, and against values
// out of range that a decoder accepts.
func FuzzDecode(f *testing.F) {
	for _, seed := range []string{
		validCall, "", "{}", "[]", "null", `{"order":-1}`, `{"order":1e3}`, `{"body":{"a":[1]}}`, `{"id":"a.1","class":"c"}`,
		`{"request_id":"r","order":2,"kind":"service","service":"s","operation":"o","body":{"x":1},"stream":true}`,
		`{"spec":{"a":1},"version":2}`, `{"spec":null}`, "{\"id\":\"\xff\"}", `{"ORDER":1,"order":2}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		if start, problems := api.DecodeStart(data); len(problems) == 0 {
			if start.ID == "" || strings.ContainsAny(start.ID, "/ \x00") || start.Budget < 0 || start.DeadlineMS < 0 {
				t.Fatalf("accepted %+v", start)
			}
		}
		if body, problems := api.DecodeCall(data); len(problems) == 0 {
			if body.Order < 1 || body.Offset < 0 || body.MaxTokens < 0 || strings.Contains(body.RequestID, "/") {
				t.Fatalf("accepted %+v", body)
			}
		}
		if resource, problems := api.DecodeResource(data); len(problems) == 0 {
			if resource.Version < 0 || !json.Valid(resource.Spec) {
				t.Fatalf("accepted %+v", resource)
			}
		}
	})
}
