// Package pathcost measures the cost of a sub-request at an entry instance: the CPU time and allocations of the
// whole path, compared with a bare net/http scatter of the same fan-out. The targets run in another process, so
// that the measured CPU time is that of the entry instance alone.
package pathcost

import (
	"context"
	"log/slog"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"hyssopcroft.example/adapter/caller"
	"hyssopcroft.example/query"
)

const (
	// searchDeadline bounds one query of the measurement.
	searchDeadline = 5 * time.Second
	searchText     = "washed jars"
	searchLimit    = 10
)

// Config describes a measurement.
type Config struct {
	// Platform is the base URL of the stand-in platform.
	Platform string
	// FanOuts lists the numbers of shards to measure. Index "fan-N" must exist for each number N.
	FanOuts []int
	// SubRequests is the number of sub-requests per sample.
	SubRequests int
	// Concurrency is the number of queries in flight.
	Concurrency int
	// Rounds is the number of samples of each path. Samples of the two paths alternate.
	Rounds int
}

// Sample is the cost of one path at one fan-out.
type Sample struct {
	// SubRequestsPerSecond is the throughput over all cores in use.
	SubRequestsPerSecond float64 `json:"sub_requests_per_second"`
	// CPUMicros is the CPU time per sub-request in microseconds.
	CPUMicros float64 `json:"cpu_us_per_sub_request"`
	// Allocations and AllocatedBytes are per sub-request.
	Allocations    float64 `json:"allocations_per_sub_request"`
	AllocatedBytes float64 `json:"allocated_bytes_per_sub_request"`
}

// Row compares both paths at one fan-out. Bare and Path are the samples with the median CPU time.
type Row struct {
	FanOut int    `json:"fan_out"`
	Bare   Sample `json:"bare"`
	Path   Sample `json:"path"`
	// CPURatio is the median ratio of the bare path's CPU time to the whole path's; 1 means no added cost.
	CPURatio float64 `json:"cpu_ratio"`
	// MinCPURatio and MaxCPURatio are the minimum and the maximum over the rounds.
	MinCPURatio float64 `json:"lowest_cpu_ratio"`
	MaxCPURatio float64 `json:"highest_cpu_ratio"`
	// ConnectionBytes is the memory per idle connection to a target, heap and stacks.
	ConnectionBytes float64 `json:"memory_bytes_per_connection"`
}

// Run measures all fan-outs.
func Run(cfg Config, log *slog.Logger) ([]Row, error) {
	e, err := newEntryInstance(cfg.Platform, log)
	if err != nil {
		return nil, err
	}
	defer e.stop()
	var rows []Row
	for _, n := range cfg.FanOuts {
		row, err := e.measureFanOut(cfg, n)
		if err != nil {
			return rows, errors.Wrapf(err, "fan-out %d", n)
		}
		rows = append(rows, row)
	}
	return rows, nil
}

func (e *entryInstance) measureFanOut(cfg Config, fanOut int) (Row, error) {
	index := indexName(fanOut)
	targets, err := e.targetsOf(index)
	if err != nil {
		return Row{}, err
	}
	bare := newBareScatter(targets)
	defer bare.close()
	pathSearch := func(ctx context.Context) error { return e.search(ctx, index) }
	bareSearch := func(ctx context.Context) error { return bare.search(ctx, searchText, searchLimit) }
	memoryBefore := memoryInUse()
	if err := errors.Wrap(firstError(bareSearch(context.Background()), pathSearch(context.Background())), "warm up"); err != nil {
		return Row{}, err
	}
	memoryAfter := memoryInUse()
	var bareSamples, pathSamples []Sample
	for range cfg.Rounds {
		b, err := measure(cfg, fanOut, bareSearch)
		if err != nil {
			return Row{}, err
		}
		p, err := measure(cfg, fanOut, pathSearch)
		if err != nil {
			return Row{}, err
		}
		bareSamples, pathSamples = append(bareSamples, b), append(pathSamples, p)
	}
	row := newRow(fanOut, bareSamples, pathSamples)
	row.ConnectionBytes = (float64(memoryAfter) - float64(memoryBefore)) / float64(fanOut)
	return row, nil
}

// memoryInUse returns the bytes of heap and stacks after a garbage collection.
func memoryInUse() uint64 {
	runtime.GC()
	runtime.GC() // frees what finalizers and pools retained through the first cycle
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}

// measure takes one sample. It runs cfg.SubRequests/fanOut queries, but at least cfg.Concurrency, so that the
// sample contains about cfg.SubRequests sub-requests.
func measure(cfg Config, fanOut int, search func(context.Context) error) (Sample, error) {
	queries := int64(max(cfg.Concurrency, cfg.SubRequests/fanOut))
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	cpuBefore, start := cpuTime(), time.Now()
	if err := runConcurrently(cfg.Concurrency, queries, search); err != nil {
		return Sample{}, err
	}
	elapsed, cpuUsed := time.Since(start), cpuTime()-cpuBefore
	runtime.ReadMemStats(&after)
	n := float64(queries) * float64(fanOut)
	return Sample{
		SubRequestsPerSecond: n / elapsed.Seconds(),
		CPUMicros:            float64(cpuUsed.Microseconds()) / n,
		Allocations:          float64(after.Mallocs-before.Mallocs) / n,
		AllocatedBytes:       float64(after.TotalAlloc-before.TotalAlloc) / n,
	}, nil
}

func runConcurrently(workers int, queries int64, search func(context.Context) error) error {
	var next atomic.Int64
	var failed atomic.Value
	var wg sync.WaitGroup
	for range workers {
		wg.Go(func() {
			for next.Add(1) <= queries && failed.Load() == nil {
				if err := search(context.Background()); err != nil {
					failed.CompareAndSwap(nil, err)
				}
			}
		})
	}
	wg.Wait()
	err, _ := failed.Load().(error) // nil if all queries succeeded
	return err
}

// cpuTime returns the user and system CPU time of this process.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic(errors.Wrap(err, "getrusage"))
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// search runs one query through the entry service and fails unless the answer is complete.
func (e *entryInstance) search(ctx context.Context, index string) error {
	result, p := e.entry.Search(ctx, caller.SearchRequest{Plan: planName, Index: index, Query: searchText, Limit: searchLimit})
	if p != nil {
		return p
	}
	if !result.Complete {
		return errors.Errorf("%d shards are missing, the first because of %s", len(result.Coverage.Missing), result.Coverage.Missing[0].Cause)
	}
	return nil
}

func (e *entryInstance) targetsOf(index string) ([]query.Target, error) {
	targets, ok := e.targets[index]
	if !ok {
		return nil, errors.Errorf("index %s is not in the platform's target lists", index)
	}
	return targets, nil
}
