package main

import "dogwoodline.example/role"

type frontCommand struct{}

// Run runs a front on the users' platform until SIGTERM.
func (frontCommand) Run(c *console) error { return role.RunFront(c.stdout) }

type storeCommand struct{}

// Run runs a turn store on the users' platform until SIGTERM.
func (storeCommand) Run(c *console) error { return role.RunStore(c.stdout) }
