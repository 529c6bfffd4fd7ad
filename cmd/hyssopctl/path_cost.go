package main

import (
	"fmt"
	"log/slog"

	"hyssopcroft.example/emulator/pathcost"
)

type pathCostCmd struct {
	Platform    string `default:"http://127.0.0.1:7000" help:"Base URL of stand-ins that run with --fan-out."`
	FanOut      []int  `default:"10,55,110,220,440" help:"Numbers of shards to measure."`
	SubRequests int    `default:"40000" help:"Sub-requests of each sample."`
	Concurrency int    `default:"4" help:"Queries in flight."`
	Rounds      int    `default:"5" help:"Samples of each path, taken in turn."`
}

// Run measures the cost of sub-requests and prints one row for each fan-out.
func (p pathCostCmd) Run(c *cli) error {
	rows, err := pathcost.Run(pathcost.Config{
		Platform: p.Platform, FanOuts: p.FanOut, SubRequests: p.SubRequests,
		Concurrency: p.Concurrency, Rounds: p.Rounds,
	}, slog.New(slog.DiscardHandler))
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(rows)
	}
	fmt.Println("fan-out  bare us  path us  ratio (low..high)  bare allocs  path allocs  path bytes  path sub-requests/s  bytes/connection")
	for _, r := range rows {
		fmt.Printf("%7d  %7.1f  %7.1f  %.2f (%.2f..%.2f)  %11.1f  %11.1f  %10.0f  %19.0f  %16.0f\n",
			r.FanOut, r.Bare.CPUMicros, r.Path.CPUMicros, r.CPURatio, r.MinCPURatio, r.MaxCPURatio,
			r.Bare.Allocations, r.Path.Allocations, r.Path.AllocatedBytes, r.Path.SubRequestsPerSecond, r.ConnectionBytes)
	}
	return nil
}
