package main

import (
	"os"

	"github.com/zeebo/errs"

	"dogwoodline.example/platform"
	"dogwoodline.example/settings"
)

type checkConfigCommand struct {
	File     string `arg:"" help:"Settings file."`
	Platform bool   `help:"The file is that of a host of the users' platform, for the front and store commands."`
}

// Run reports all problems of a settings file.
func (k checkConfigCommand) Run(c *console) error {
	if k.Platform {
		return k.checkHost(c)
	}
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

// checkHost reports all problems of a host's settings file.
func (k checkConfigCommand) checkHost(c *console) error {
	content, err := os.ReadFile(k.File)
	if err != nil {
		return errs.Combine(errUsage, err)
	}
	host, err := platform.DecodeHost(content)
	if err != nil {
		return errs.Combine(errUsage, err)
	}
	c.say("%s: host %s in %s, no problems\n", k.File, host.Name, host.AvailabilityZone)
	return nil
}
