// Command hyssopcroft runs one instance of the query tier.
package main

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"

	"hyssopcroft.example/instance/app"
)

type cli struct {
	Settings string `required:"" type:"path" help:"JSON settings file of the instance."`
}

func main() {
	var c cli
	k := kong.Parse(&c, kong.Name("hyssopcroft"), kong.Description("Runs one instance of the hyssopcroft query tier."))
	k.FatalIfErrorf(run(c.Settings))
}

func run(file string) error {
	log := slog.New(slog.NewJSONHandler(os.Stderr, nil))
	settings, err := app.LoadSettings(file)
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
