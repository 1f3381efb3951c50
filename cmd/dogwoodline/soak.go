package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/zeebo/errs"

	"dogwoodline.example/settings"
	"dogwoodline.example/soak/roles"
)

// soakCommand runs fronts and stores under random faults, with one run for each
// seed.
type soakCommand struct {
	Seeds         int           `default:"1" help:"Number of seeds, one run for each."`
	From          uint64        `default:"0" help:"First seed; 0 derives one from the current time. The others follow it."`
	Duration      time.Duration `default:"10s" help:"How long faults are injected in each run."`
	Fronts        int           `default:"2" help:"Number of front processes, 1 to 200."`
	Stores        int           `default:"4" help:"Number of store processes, 3 to 64."`
	Programs      int           `default:"6" help:"Number of concurrent programs."`
	Net           int           `default:"64" help:"Second octet of the loopback addresses, 1 to 250. Concurrent runs need different values."`
	Limit         float64       `default:"0" help:"Requests per second that the backend server says it takes from all fronts together; 0 for none."`
	Organisations bool          `help:"Clients send keys of organisations, keys are taken away, and an organisation sends twice its quota."`
	Binary        string        `help:"Binary of the processes. Default: this binary."`
}

// Run fails if any of the runs finds violations.
func (s soakCommand) Run(c *console) error {
	if s.Fronts < 1 || s.Fronts > 200 || s.Stores < 3 || s.Stores > 64 || s.Net < 1 || s.Net > 250 || s.Seeds < 1 || s.Programs < 1 || s.Limit < 0 {
		return errs.Combine(errUsage, errs.New("a flag is out of range, see --help"))
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	binary, err := binaryOrOwn(s.Binary)
	if err != nil {
		return err
	}
	violations := 0
	from := seedOrTime(s.From)
	for i := range s.Seeds {
		result, err := roles.Run(ctx, roles.Config{
			Binary: binary, Fronts: s.Fronts, Stores: s.Stores, Programs: s.Programs, Duration: s.Duration,
			Seed: from + uint64(i), SecondOctet: s.Net, Limit: s.Limit, Organisations: s.Organisations, Log: newLogger(c.stderr, settings.Default().Log),
		})
		if err != nil {
			return err
		}
		if err := result.Write(c.stdout); err != nil {
			return err
		}
		violations += len(result.Violations)
	}
	return c.reportViolations(violations)
}

// binaryOrOwn returns the path of the binary of the processes; an empty one stands for
// this binary.
func binaryOrOwn(binary string) (string, error) {
	if binary != "" {
		return binary, nil
	}
	return os.Executable()
}

// seedOrTime returns the first seed; 0 stands for one from the current time.
func seedOrTime(seed uint64) uint64 {
	if seed == 0 {
		return uint64(time.Now().UnixMilli())
	}
	return seed
}

// reportViolations returns an error if there are violations.
func (c *console) reportViolations(violations int) error {
	if violations == 0 {
		return nil
	}
	c.printStderr(fmt.Sprintf("dogwoodline: %d violations", violations))
	return errReported
}
