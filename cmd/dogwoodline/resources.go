package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/zeebo/errs"

	"dogwoodline.example/api"
)

// commandTimeout bounds commands that do not wait for anything.
const commandTimeout = 30 * time.Second

type applyCommand struct {
	operation
	File string `short:"f" required:"" placeholder:"FILE" help:"TOML file with [[resource]] tables of kind, name and spec."`
}

type resourceFile struct {
	Resource []struct {
		Kind string         `toml:"kind"`
		Name string         `toml:"name"`
		Spec map[string]any `toml:"spec"`
	} `toml:"resource"`
}

// Run writes all resources of the file in its order. It stops at the first
// failure; applying the file again continues from there.
func (a applyCommand) Run(c *console) error {
	file, err := readResources(a.File)
	if err != nil {
		return errs.Combine(errUsage, err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
	defer cancel()
	resources := a.resources()
	for _, declared := range file.Resource {
		spec, err := json.Marshal(declared.Spec)
		if err != nil {
			return errs.Combine(errUsage, err)
		}
		written, err := write(ctx, resources, declared.Kind, declared.Name, spec)
		if err != nil {
			return fmt.Errorf("%s %s: %w", declared.Kind, declared.Name, err)
		}
		if !a.json(c, written) {
			c.say("%s %s: version %d\n", written.Kind, written.Name, written.Version)
		}
	}
	return nil
}

func readResources(path string) (resourceFile, error) {
	var file resourceFile
	data, err := os.ReadFile(path)
	if err != nil {
		return file, err
	}
	if err := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields().Decode(&file); err != nil {
		return file, fmt.Errorf("%s: %w", path, err)
	}
	if len(file.Resource) == 0 {
		return file, fmt.Errorf("%s: holds no [[resource]]", path)
	}
	return file, nil
}

// write replaces the version that is there now. Another operator who writes
// in between causes a conflict, which is reported and not overwritten.
func write(ctx context.Context, to api.Resources, kind, name string, spec json.RawMessage) (api.Resource, error) {
	present, err := to.Get(ctx, kind, name)
	if err != nil && !errors.Is(err, api.ErrNotFound) {
		return api.Resource{}, err
	}
	return to.Put(ctx, kind, name, spec, present.Version)
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
