package main

import (
	"os"

	"github.com/zeebo/errs"

	"dogwoodline.example/platform"
	"dogwoodline.example/settings"
)

type checkConfigCommand struct {
	File     string `arg:"" help:"Settings file."`
	Platform bool   `help:"Check the file as the settings file of a host of the users' platform, for the front and store commands."`
}

// Run reports every problem of a settings file.
func (k checkConfigCommand) Run(c *console) error {
	if k.Platform {
		return k.checkHost(c)
	}
	loaded, err := settings.Load(k.File)
	if err != nil {
		return errs.Combine(errUsage, err)
	}
	c.printf("%s: node %s in %s, no problems\n", k.File, loaded.Node.ID, loaded.Node.AvailabilityZone)
	if loaded.Operator.Key == "" {
		c.printStderr("warning: no operator key is set, anyone can change resources")
	}
	return nil
}

// checkHost reports every problem of the settings file of a host of the users'
// platform.
func (k checkConfigCommand) checkHost(c *console) error {
	content, err := os.ReadFile(k.File)
	if err != nil {
		return errs.Combine(errUsage, err)
	}
	host, err := platform.DecodeHost(content)
	if err != nil {
		return errs.Combine(errUsage, err)
	}
	c.printf("%s: host %s in %s, no problems\n", k.File, host.Name, host.AvailabilityZone)
	return nil
}
