package main

import (
	_ "embed"
	"encoding/json"
)

//go:embed names.json
var namesFile []byte

// wireNames are the names of the platform's headers and of the settings variable.
type wireNames struct {
	Boot        string `json:"boot"`
	RequestID   string `json:"request_id"`
	Expect      string `json:"expect"`
	Instance    string `json:"instance"`
	Seal        string `json:"seal"`
	NotExecuted string `json:"not_executed"`
	Deadline    string `json:"deadline"`
	Program     string `json:"program"`
	Session     string `json:"session"`
	Budget      string `json:"budget"`
	Tokens      string `json:"tokens"`
	Previous    string `json:"previous"`
	LastEvent   string `json:"last_event"`
	Finish      string `json:"finish"`
	Parts       string `json:"parts"`
}

var names = decodeNames()

func decodeNames() wireNames {
	var n wireNames
	if err := json.Unmarshal(namesFile, &n); err != nil {
		panic(err) // the file is part of the program
	}
	return n
}
