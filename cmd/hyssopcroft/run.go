package main

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/pkg/errors"

	"hyssopcroft.example/instance/app"
)

type runCommand struct {
	Settings string `required:"" type:"path" help:"JSON settings file of the instance."`
}

// Run runs an instance until an interrupt or SIGTERM.
func (c *runCommand) Run() error {
	log := slog.New(slog.NewJSONHandler(os.Stderr, nil))
	settings, err := app.LoadSettings(c.Settings)
	if err != nil {
		return err
	}
	instance, err := app.New(settings, log)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := instance.Start(ctx); err != nil {
		return errors.Wrap(err, "start instance")
	}
	<-ctx.Done()
	return instance.Stop(context.WithoutCancel(ctx))
}
