package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/zeebo/errs"

	"dogwoodline.example/settings"
	"dogwoodline.example/soak/roles"
)

// soakStopsCommand stops fronts as planned under a load that never pauses, with one
// run for each seed.
type soakStopsCommand struct {
	Seeds   int    `default:"1" help:"Number of seeds, one run for each."`
	From    uint64 `default:"0" help:"First seed; 0 derives one from the current time. The others follow it."`
	Fronts  int    `default:"3" help:"Number of front processes, 1 to 200."`
	Clients int    `default:"110" help:"Number of concurrent clients, 1 to 1000."`
	Stops   int    `default:"4" help:"Number of planned stops in each run."`
	Signals bool   `help:"Send further signals to fronts that are stopping."`
	Stall   bool   `help:"Let some requests take so long, around each stop, that they still run when the front has to end."`
	Net     int    `default:"64" help:"Second octet of the loopback addresses, 1 to 250. Concurrent runs need different values."`
	Binary  string `help:"Binary of the processes. Default: this binary."`
}

// Run fails if any of the runs finds violations.
func (s soakStopsCommand) Run(c *console) error {
	if s.Fronts < 1 || s.Fronts > 200 || s.Clients < 1 || s.Clients > 1000 || s.Net < 1 || s.Net > 250 || s.Seeds < 1 || s.Stops < 1 {
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
		result, err := roles.RunStops(ctx, roles.StopsConfig{
			Binary: binary, Seed: from + uint64(i), SecondOctet: s.Net, Log: newLogger(c.stderr, settings.Default().Log),
			Fronts: s.Fronts, Clients: s.Clients, Stops: s.Stops, Signals: s.Signals, Stall: s.Stall,
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
