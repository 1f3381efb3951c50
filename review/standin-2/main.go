// Command standin2 plays the cases of the second review: it starts fronts and stores as
// processes of their own, stand-ins of the platform's store, of backend servers and of
// clients, and checks one rule by what clients and servers see.
//
//	standin2 CASE PROGRAM RECORD
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
// With TROUBLE=0 in the environment it plays the case without the disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// verdict is the outcome of a case.
type verdict struct {
	broken bool
	text   string
}

// cases are the cases by name. Each gets a deployment that is not started yet.
var cases = map[string]func(d *deployment, trouble bool) (verdict, error){
	"foreign-bytes":    foreignBytes,
	"store-memory":     storeMemory,
	"long-history":     longHistory,
	"repeated-refusal": repeatedRefusal,
	"misstated-tokens": misstatedTokens,
	"encoded-slash":    encodedSlash,
	"repeated-id":      repeatedID,
	"long-turn":        longTurn,
}

func main() {
	os.Exit(play())
}

func play() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE PROGRAM RECORD")
		return 2
	}
	log, err := newRecord(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer log.close()
	d, err := newDeployment(log, os.Args[2])
	if err != nil {
		log.line("could not run: %v", err)
		return 2
	}
	defer d.stop()
	go endEarly(d)
	trouble := os.Getenv("TROUBLE") != "0"
	log.line("case %s, with the disruption: %t", os.Args[1], trouble)
	result, err := cases[os.Args[1]](d, trouble)
	if err != nil {
		log.line("could not run: %v", err)
		fmt.Println("could not run:", err)
		return 2
	}
	d.stop() // before the output, whose reader may have left
	fmt.Println(result.text)
	if result.broken {
		log.line("the rule was BROKEN: %s", result.text)
		return 1
	}
	log.line("the rule held: %s", result.text)
	return 0
}

// longestPlay is how long a case may take with its end; run scripts have 120 s.
const longestPlay = 117 * time.Second

// endEarly ends all processes, and this one, on a signal or when the case takes too long.
func endEarly(d *deployment) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case <-signals:
	case <-time.After(longestPlay):
		d.log.line("could not run: it takes too long")
	}
	d.stop()
	os.Exit(2)
}
