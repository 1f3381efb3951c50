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

// connection says which nodes a command talks to and how it writes.
type connection struct {
	Node   []string `default:"http://127.0.0.1:7101" env:"DOGWOODLINE_NODES" help:"Base URLs of nodes to ask, separated by commas."`
	Output string   `default:"table" enum:"table,json" help:"Form of the output: ${enum}."`
}

// operation is a connection with the operators' key.
type operation struct {
	connection
	OperatorKey string `env:"DOGWOODLINE_OPERATOR_KEY" help:"Key of the operators."`
}

func (o operation) resources() api.Resources {
	return client.New(client.Config{Nodes: o.Node, OperatorKey: o.OperatorKey}).Resources()
}

// json writes a value as one line when the output is JSON, and reports
// whether it did.
func (n connection) json(c *console, value any) bool {
	if n.Output != "json" {
		return false
	}
	encoder := json.NewEncoder(c.out)
	encoder.SetEscapeHTML(false)
	_ = encoder.Encode(value) // a closed output cannot be told
	return true
}

// table writes rows in columns.
func table(c *console, rows ...[]string) {
	writer := tabwriter.NewWriter(c.out, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		_, _ = fmt.Fprintln(writer, strings.Join(row, "\t")) // see Flush
	}
	_ = writer.Flush() // a closed output cannot be told
}

func resourceRow(r api.Resource) []string {
	status := compact(r.Status)
	if r.Deleted {
		status = "deleted"
	}
	return []string{r.Kind, r.Name, fmt.Sprint(r.Version), compact(r.Spec), status}
}

var resourceHeader = []string{"KIND", "NAME", "VERSION", "SPEC", "STATUS"}

func compact(data json.RawMessage) string {
	var short bytes.Buffer
	if len(data) == 0 || json.Compact(&short, data) != nil {
		return "-"
	}
	return short.String()
}
