// Command standin plays the cases of review/ against the programs of this project:
// it starts them as separate processes and stands in for the platform's store, the
// backend servers and the clients.
package main

import (
	_ "embed"
	"encoding/json"
)

//go:embed names.json
var namesFile []byte

// names holds the platform's names of headers, calls and fields.
var names = func() map[string]string {
	decoded := map[string]string{}
	if err := json.Unmarshal(namesFile, &decoded); err != nil {
		panic("names.json: " + err.Error())
	}
	return decoded
}()
