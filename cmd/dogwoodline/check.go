package main

import (
	"github.com/zeebo/errs"

	"dogwoodline.example/settings"
)

type checkConfigCommand struct {
	File string `arg:"" help:"Settings file."`
}

// Run reports all problems of a settings file.
func (k checkConfigCommand) Run(c *console) error {
	loaded, err := settings.Load(k.File)
	if err != nil {
		return errs.Combine(errUsage, err)
	}
	c.say("%s: node %s in %s, no problems\n", k.File, loaded.Node.ID, loaded.Node.AvailabilityZone)
	if loaded.Operator.Key == "" {
		c.warn("warning: no operator key is set, everybody may change resources")
	}
	return nil
}
