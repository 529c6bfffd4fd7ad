// Command standin3 runs the cases of the third review: it starts gateways as processes between stand-ins for the
// platform's store, the searchers and the clients, and checks one rule of the users' pages.
//
// Usage: standin3 CASE RECORD. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// cases holds a function for each case. It reports whether the rule was broken.
var cases = map[string]func(w *world, trouble bool) (bool, error){
	"denied": largeHeads,
	"route":  foreignEntry,
	"copy":   lapsedThenRestored,
	"deadly": deadlyPairs,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin3 CASE RECORD")
		os.Exit(2)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

func run(play func(w *world, trouble bool) (bool, error), record string, trouble bool) int {
	w, err := newWorld(record, []string{"a", "b", "c"})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer w.stop()
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-ended
		w.stop()
		os.Exit(2)
	}()
	broken, err := play(w, trouble)
	switch {
	case err != nil:
		w.logf("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	case broken:
		fmt.Println("the rule was broken; see", record)
		return 1
	}
	fmt.Println("the rule held; see", record)
	return 0
}
