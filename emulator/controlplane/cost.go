package controlplane

import (
	"context"
	"fmt"
	"runtime"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"hyssopcroft.example/adapter/admin"
)

const (
	// quietDuration is the time for which a fleet without changes is measured.
	quietDuration = 20 * time.Second
	// measuredEdits and costRestarts are the changes whose cost is measured, one after the other, and
	// costPause is the time given to each to spread. A crash is found and spread within 5 s.
	measuredEdits       = 4
	measuredRestarts    = 2
	costSettleDuration  = 3 * time.Second
	crashSettleDuration = 6 * time.Second

	// An ordinary day at the target size.
	editsPerDay    = 440
	restartsPerDay = 880
	crashesPerDay  = 28
	secondsPerDay  = 86_400
)

// Cost is what control costs one instance of a fleet.
type Cost struct {
	Instances int `json:"instances"`
	// BytesPerSecond and MessagesPerSecond count both directions, requests and answers, over an
	// ordinary day: the quiet fleet and its share of edits, restarts and crashes.
	BytesPerSecond    float64 `json:"bytes_per_s"`
	MessagesPerSecond float64 `json:"messages_per_s"`
	// QuietBytesPerSecond is the part of the quiet fleet.
	QuietBytesPerSecond float64 `json:"quiet_bytes_per_s"`
	// BytesPerEdit and BytesPerRestart are the bytes of one change beyond those of a quiet fleet. A
	// restart is a crash followed by a new start.
	BytesPerEdit    float64 `json:"bytes_per_edit"`
	BytesPerRestart float64 `json:"bytes_per_restart"`
	// CPUPercent is the share of a core in a quiet fleet, its share of the stand-in's included.
	CPUPercent float64 `json:"cpu_percent"`
	// CPUMillisPerEdit and CPUMillisPerRestart are the processor time of one change.
	CPUMillisPerEdit    float64 `json:"cpu_ms_per_edit"`
	CPUMillisPerRestart float64 `json:"cpu_ms_per_restart"`
	// MemoryKB is live objects and stacks after a collection, in 1000 bytes.
	MemoryKB float64 `json:"memory_kb"`
	// StoreCallsPerSecond counts the calls a second of the fleet as a whole over an ordinary day, by purpose.
	StoreCallsPerSecond map[string]float64 `json:"store_calls_per_s"`
	// StoreBytesPerSecond counts the bytes of the quiet fleet's calls for each instance.
	StoreBytesPerSecond float64 `json:"store_bytes_per_s"`
}

// sample is the state of all counters at one time.
type sample struct {
	at                          time.Time
	bytes, messages, storeBytes int64
	cpuTime                     time.Duration
	storeCalls                  map[string]int64
}

// MeasureCost starts a fleet and measures it.
func MeasureCost(size int, seed uint64) (Cost, error) {
	before := liveMemory()
	f, err := StartFleet(size, NewNetwork(seed, Faults{}))
	if err != nil {
		return Cost{}, err
	}
	defer f.Stop()
	time.Sleep(costSettleDuration)
	c := Cost{Instances: size, MemoryKB: float64(liveMemory()-before) / float64(size) / 1000, StoreCallsPerSecond: map[string]float64{}}
	quiet, err := f.measureUsage(func() error {
		time.Sleep(quietDuration)
		return nil
	})
	if err != nil {
		return c, err
	}
	edits, err := f.measureUsage(f.makeEdits)
	if err != nil {
		return c, err
	}
	restarts, err := f.measureUsage(f.restartInstances)
	c.setFromUsage(quiet, edits.excessPerChange(quiet, measuredEdits), restarts.excessPerChange(quiet, measuredRestarts))
	return c, err
}

func (c *Cost) setFromUsage(quiet, edit, restart usage) {
	n := float64(c.Instances)
	c.QuietBytesPerSecond = quiet.bytes / quiet.seconds / n
	c.BytesPerEdit, c.BytesPerRestart = edit.bytes/n, restart.bytes/n
	changes := (edit.bytes*editsPerDay + restart.bytes*(restartsPerDay+crashesPerDay)) / secondsPerDay / n
	c.BytesPerSecond = c.QuietBytesPerSecond + changes
	messages := (edit.messages*editsPerDay + restart.messages*(restartsPerDay+crashesPerDay)) / secondsPerDay
	c.MessagesPerSecond = (quiet.messages/quiet.seconds + messages) / n
	c.CPUPercent = 100 * quiet.cpuSeconds / quiet.seconds / n
	c.CPUMillisPerEdit, c.CPUMillisPerRestart = 1000*edit.cpuSeconds/n, 1000*restart.cpuSeconds/n
	c.StoreBytesPerSecond = quiet.storeBytes / quiet.seconds / n
	for purpose, calls := range quiet.storeCalls {
		changes := edit.storeCalls[purpose]*editsPerDay + restart.storeCalls[purpose]*(restartsPerDay+crashesPerDay)
		c.StoreCallsPerSecond[purpose] = calls/quiet.seconds + changes/secondsPerDay
	}
}

// usage is what a fleet used during some time.
type usage struct {
	seconds, bytes, messages, storeBytes, cpuSeconds float64
	storeCalls                                       map[string]float64
}

// excessPerChange returns the usage of one of count changes beyond that of a quiet fleet.
func (u usage) excessPerChange(quiet usage, count float64) usage {
	timeRatio := u.seconds / quiet.seconds
	calls := map[string]float64{}
	for purpose, n := range u.storeCalls {
		calls[purpose] = max(0, n-timeRatio*quiet.storeCalls[purpose]) / count
	}
	return usage{
		storeCalls: calls,
		seconds:    u.seconds / count, bytes: max(0, u.bytes-timeRatio*quiet.bytes) / count,
		messages: max(0, u.messages-timeRatio*quiet.messages) / count, cpuSeconds: max(0, u.cpuSeconds-timeRatio*quiet.cpuSeconds) / count,
	}
}

func (f *Fleet) measureUsage(run func() error) (usage, error) {
	before := f.takeSample()
	if err := run(); err != nil {
		return usage{}, err
	}
	after := f.takeSample()
	u := usage{
		seconds: after.at.Sub(before.at).Seconds(), bytes: float64(after.bytes - before.bytes),
		messages: float64(after.messages - before.messages), storeBytes: float64(after.storeBytes - before.storeBytes),
		cpuSeconds: (after.cpuTime - before.cpuTime).Seconds(), storeCalls: map[string]float64{},
	}
	for purpose, calls := range after.storeCalls {
		u.storeCalls[purpose] = float64(calls - before.storeCalls[purpose])
	}
	return u, nil
}

func (f *Fleet) makeEdits() error {
	for n := range measuredEdits {
		i := f.Instances[n%len(f.Instances)]
		inForce, _ := i.Config.InForce()
		entry := inForce.Limits[planName(n)]
		entry.Value.RatePerSecond++
		e := admin.Edit{ID: fmt.Sprintf("cost-%d", n), Expected: entry.Revision}
		if _, p := i.Operator.PutLimit(context.Background(), entry.Value, e); p != nil {
			return errors.Wrap(p, "edit")
		}
		time.Sleep(costSettleDuration)
	}
	return f.Settle()
}

// restartInstances crashes instances without an announcement and starts others in their place.
func (f *Fleet) restartInstances() error {
	for n := range measuredRestarts {
		crashed := f.Instances[n]
		crashed.crashed.Store(true)
		crashed.stop()
		f.crashed = append(f.crashed, crashed)
		f.Instances = append(f.Instances[:n:n], f.Instances[n+1:]...)
		time.Sleep(crashSettleDuration)
		if err := f.addInstance(len(f.Instances) + 1 + n); err != nil {
			return err
		}
		f.publishInstances()
		if err := f.Instances[len(f.Instances)-1].start(); err != nil {
			return err
		}
		if err := f.Settle(); err != nil {
			return err
		}
		time.Sleep(costSettleDuration)
	}
	return nil
}

func (f *Fleet) takeSample() sample {
	s := sample{at: time.Now(), cpuTime: processCPUTime(), storeCalls: map[string]int64{}}
	for _, i := range slices.Concat(f.Instances, f.crashed) {
		s.bytes += i.Counters.Value("control_bytes_sent") + i.Counters.Value("control_bytes_received")
		s.messages += i.Counters.Value("control_messages_sent") + i.Counters.Value("control_messages_received")
		s.storeBytes += i.Counters.Value("store_bytes_sent") + i.Counters.Value("store_bytes_received")
		for _, purpose := range controlPurposes {
			s.storeCalls[purpose] += i.Counters.Value("platform_calls_" + purpose)
		}
	}
	return s
}

// controlPurposes are the purposes of the calls that the services for control make.
var controlPurposes = strings.Fields(`watch_config watch_snapshots watch_targets cold_config cold_snapshots cold_targets
	list_instances edit_read edit_write`)

// processCPUTime returns the user and system time of this process.
func processCPUTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(errors.Wrap(err, "read processor time"))
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// liveMemory returns the bytes of live objects and stacks after a collection.
func liveMemory() int64 {
	runtime.GC()
	runtime.GC() // The first one only moves pools to their victim cache.
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}
