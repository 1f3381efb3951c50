package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"

	"dogwoodline.example/api"
	"dogwoodline.example/api/client"
)

// nodeFlags are the flags of commands that send requests to nodes.
type nodeFlags struct {
	Node   []string `default:"http://127.0.0.1:7101" env:"DOGWOODLINE_NODES" help:"Base URLs of the nodes to send requests to, separated by commas."`
	Output string   `default:"table" enum:"table,json" help:"Output format: ${enum}."`
}

// operatorFlags are the flags of commands that use the operators' API.
type operatorFlags struct {
	nodeFlags
	OperatorKey string `env:"DOGWOODLINE_OPERATOR_KEY" help:"Key for the operators' API."`
}

func (o operatorFlags) resources() api.Resources {
	return client.New(client.Config{Nodes: o.Node, OperatorKey: o.OperatorKey}).Resources()
}

// printJSON writes a value as one line of JSON if the output format is JSON,
// and reports whether it did.
func (f nodeFlags) printJSON(c *console, value any) bool {
	if f.Output != "json" {
		return false
	}
	encoder := json.NewEncoder(c.stdout)
	encoder.SetEscapeHTML(false)
	_ = encoder.Encode(value) // nowhere to report a closed output
	return true
}

// printTable writes rows with aligned columns.
func printTable(c *console, rows ...[]string) {
	writer := tabwriter.NewWriter(c.stdout, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		_, _ = fmt.Fprintln(writer, strings.Join(row, "\t")) // a write error also makes Flush fail
	}
	_ = writer.Flush() // nowhere to report a closed output
}

func resourceRow(r api.Resource) []string {
	status := compactJSON(r.Status)
	if r.Deleted {
		status = "deleted"
	}
	return []string{r.Kind, r.Name, fmt.Sprint(r.Version), compactJSON(r.Spec), status}
}

var resourceHeader = []string{"KIND", "NAME", "VERSION", "SPEC", "STATUS"}

// compactJSON removes insignificant white space. It returns "-" for empty or
// invalid JSON.
func compactJSON(data json.RawMessage) string {
	var short bytes.Buffer
	if len(data) == 0 || json.Compact(&short, data) != nil {
		return "-"
	}
	return short.String()
}
