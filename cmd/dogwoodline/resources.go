package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/zeebo/errs"

	"dogwoodline.example/api"
	"dogwoodline.example/resource"
)

// commandTimeout bounds commands that neither run programs nor wait for
// changes.
const commandTimeout = 30 * time.Second

type applyCommand struct {
	operatorFlags
	File string `short:"f" required:"" placeholder:"FILE" help:"TOML file with [[resources]] tables of kind, name and spec."`
}

// Run writes all resources of the file in order. It stops at the first failure.
// The resources before it stay written; applying the file again continues with
// the rest.
func (a applyCommand) Run(c *console) error {
	list, err := readResources(a.File)
	if err != nil {
		return errs.Combine(errUsage, err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
	defer cancel()
	resources := a.resources()
	for _, declared := range list {
		written, err := putResource(ctx, resources, declared)
		if err != nil {
			return fmt.Errorf("%s %s: %w", declared.Kind, declared.Name, err)
		}
		if !a.printJSON(c, written) {
			c.printf("%s %s: version %d\n", written.Kind, written.Name, written.Version)
		}
	}
	return nil
}

// readResources reads and validates a whole file, so that nothing is written if
// any part of it is invalid.
func readResources(path string) ([]resource.Resource, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	list, err := resource.DecodeList(data, resource.TOML)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if len(list) == 0 {
		return nil, fmt.Errorf("%s: contains no [[resources]] tables", path)
	}
	return list, nil
}

// putResource replaces the version that the file names, or the current version
// if it names none. If another operator writes in between, it returns a conflict
// error and does not overwrite that write.
func putResource(ctx context.Context, resources api.Resources, declared resource.Resource) (api.Resource, error) {
	kind, expected := string(declared.Kind), int64(declared.Version)
	if expected == 0 {
		current, err := resources.Get(ctx, kind, declared.Name)
		if err != nil && !errors.Is(err, api.ErrNotFound) {
			return api.Resource{}, err
		}
		expected = current.Version
	}
	return resources.Put(ctx, kind, declared.Name, resource.EncodeSpec(declared.Spec), expected)
}

type getCommand struct {
	operatorFlags
	Kind string `arg:"" optional:"" help:"tenant, class, pool, backend or service. Default: all kinds."`
	Name string `arg:"" optional:"" help:"Name of one resource."`
}

// Run prints one resource or a list.
func (g getCommand) Run(c *console) error {
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
	defer cancel()
	if g.Name != "" {
		found, err := g.resources().Get(ctx, g.Kind, g.Name)
		if err != nil {
			return err
		}
		if !g.printJSON(c, found) {
			printTable(c, resourceHeader, resourceRow(found))
		}
		return nil
	}
	list, err := g.resources().List(ctx, g.Kind)
	if err != nil || g.printJSON(c, list) {
		return err
	}
	rows := [][]string{resourceHeader}
	for _, found := range list.Resources {
		rows = append(rows, resourceRow(found))
	}
	printTable(c, rows...)
	return nil
}

type watchCommand struct {
	operatorFlags
	Kind  string `arg:"" optional:"" help:"Kind to watch. Default: all kinds."`
	After int64  `help:"Revision to continue from. 0 shows the existing resources first."`
	Count int    `help:"Exit after this number of changes. 0 means no limit."`
}

// watchPollTimeout is how long each long poll waits for a change.
const watchPollTimeout = 10 * time.Second

// Run prints changes until it is interrupted or has shown enough of them.
func (w watchCommand) Run(c *console) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	resources, after := w.resources(), w.After
	for shown := 0; ; {
		list, err := resources.Watch(ctx, w.Kind, after, watchPollTimeout)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return err
		}
		after = list.Revision
		for _, changed := range list.Resources {
			if !w.printJSON(c, changed) {
				printTable(c, resourceRow(changed))
			}
			if shown++; shown == w.Count {
				return nil
			}
		}
	}
}

type deleteCommand struct {
	operatorFlags
	Kind    string `arg:"" help:"Kind of the resource."`
	Name    string `arg:"" help:"Name of the resource."`
	Version int64  `help:"Version to delete. 0 means the current version."`
}

// Run deletes a resource.
func (d deleteCommand) Run(c *console) error {
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
	defer cancel()
	version := d.Version
	if version == 0 {
		current, err := d.resources().Get(ctx, d.Kind, d.Name)
		if err != nil {
			return err
		}
		version = current.Version
	}
	if err := d.resources().Delete(ctx, d.Kind, d.Name, version); err != nil {
		return err
	}
	if !d.printJSON(c, api.Resource{Kind: d.Kind, Name: d.Name, Version: version, Deleted: true}) {
		c.printf("%s %s: deleted\n", d.Kind, d.Name)
	}
	return nil
}
