package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"hyssopcroft.example/emulator/fleet"
)

type standinsCmd struct {
	PlatformPort int `default:"7000" help:"Port of the object API on 127.0.0.1; 0 takes a free one."`
}

// Run serves the stand-ins until it is interrupted.
func (s standinsCmd) Run() error {
	f, err := fleet.Start(demoDeployment(s.PlatformPort))
	if err != nil {
		return err
	}
	defer f.Stop()
	fmt.Printf("platform %s, %d searchers\n", f.PlatformURL(), len(f.Searchers))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	<-ctx.Done()
	return nil
}
