// Command hyssopcroft runs one instance of the query tier.
package main

import (
	"github.com/alecthomas/kong"
)

type cli struct {
	Run     runCommand     `cmd:"" default:"withargs" help:"Run an instance for searches and executes (the default)."`
	Gateway gatewayCommand `cmd:"" help:"Run an instance for opaque requests on the users' platform."`
}

func main() {
	var c cli
	ctx := kong.Parse(&c, kong.Name("hyssopcroft"), kong.Description("Runs one instance of the hyssopcroft query tier."))
	ctx.FatalIfErrorf(ctx.Run())
}
