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

// commandTimeout bounds commands that do not wait for anything.
const commandTimeout = 30 * time.Second

type applyCommand struct {
	operation
	File string `short:"f" required:"" placeholder:"FILE" help:"TOML file with [[resources]] tables of kind, name and spec."`
}

// Run writes all resources of the file in its order. It stops at the first
// failure; applying the file again continues from there.
func (a applyCommand) Run(c *console) error {
	declared, err := readResources(a.File)
	if err != nil {
		return errs.Combine(errUsage, err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
	defer cancel()
	resources := a.resources()
	for _, one := range declared {
		written, err := write(ctx, resources, one)
		if err != nil {
			return fmt.Errorf("%s %s: %w", one.Kind, one.Name, err)
		}
		if !a.json(c, written) {
			c.say("%s %s: version %d\n", written.Kind, written.Name, written.Version)
		}
	}
	return nil
}

// readResources reads and validates a file, so that nothing of it is written
// when a part is wrong.
func readResources(path string) ([]resource.Resource, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	declared, err := resource.DecodeList(data, resource.TOML)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if len(declared) == 0 {
		return nil, fmt.Errorf("%s: holds no [[resources]]", path)
	}
	return declared, nil
}

// write replaces the version that the file names, or else the one that is
// there now. Another operator who writes in between causes a conflict, which
// is reported and not overwritten.
func write(ctx context.Context, to api.Resources, declared resource.Resource) (api.Resource, error) {
	kind, expected := string(declared.Kind), int64(declared.Version)
	if expected == 0 {
		present, err := to.Get(ctx, kind, declared.Name)
		if err != nil && !errors.Is(err, api.ErrNotFound) {
			return api.Resource{}, err
		}
		expected = present.Version
	}
	return to.Put(ctx, kind, declared.Name, resource.EncodeSpec(declared.Spec), expected)
}

type getCommand struct {
	operation
	Kind string `arg:"" optional:"" help:"tenant, class, pool, backend or service. All kinds when missing."`
	Name string `arg:"" optional:"" help:"Name of one resource."`
}

// Run shows one resource or a list.
func (g getCommand) Run(c *console) error {
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
	defer cancel()
	if g.Name != "" {
		found, err := g.resources().Get(ctx, g.Kind, g.Name)
		if err != nil {
			return err
		}
		if !g.json(c, found) {
			table(c, resourceHeader, resourceRow(found))
		}
		return nil
	}
	list, err := g.resources().List(ctx, g.Kind)
	if err != nil || g.json(c, list) {
		return err
	}
	rows := [][]string{resourceHeader}
	for _, found := range list.Resources {
		rows = append(rows, resourceRow(found))
	}
	table(c, rows...)
	return nil
}

type watchCommand struct {
	operation
	Kind  string `arg:"" optional:"" help:"Kind to watch. All kinds when missing."`
	After int64  `help:"Revision to continue from. 0 shows what there is first."`
	Count int    `help:"End after so many changes. 0 means never."`
}

// watchPoll is how long one long poll waits for a change.
const watchPoll = 10 * time.Second

// Run shows changes until it is interrupted.
func (w watchCommand) Run(c *console) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	resources, after := w.resources(), w.After
	for shown := 0; ; {
		list, err := resources.Watch(ctx, w.Kind, after, watchPoll)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return err
		}
		after = list.Revision
		for _, changed := range list.Resources {
			if !w.json(c, changed) {
				table(c, resourceRow(changed))
			}
			if shown++; shown == w.Count {
				return nil
			}
		}
	}
}

type deleteCommand struct {
	operation
	Kind    string `arg:"" help:"Kind of the resource."`
	Name    string `arg:"" help:"Name of the resource."`
	Version int64  `help:"Version to delete. 0 means the present one."`
}

// Run deletes a resource.
func (d deleteCommand) Run(c *console) error {
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
	defer cancel()
	version := d.Version
	if version == 0 {
		present, err := d.resources().Get(ctx, d.Kind, d.Name)
		if err != nil {
			return err
		}
		version = present.Version
	}
	if err := d.resources().Delete(ctx, d.Kind, d.Name, version); err != nil {
		return err
	}
	if !d.json(c, api.Resource{Kind: d.Kind, Name: d.Name, Version: version, Deleted: true}) {
		c.say("%s %s: deleted\n", d.Kind, d.Name)
	}
	return nil
}
