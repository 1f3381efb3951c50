package main

import "encoding/json"

func rawJSON(text string) json.RawMessage { return json.RawMessage(text) }
