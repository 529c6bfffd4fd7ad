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
	// quietDuration is how long the usage of a fleet without changes is measured.
	quietDuration = 20 * time.Second
	// measuredEdits and measuredRestarts are the numbers of changes whose cost is measured, one after the other.
	measuredEdits    = 4
	measuredRestarts = 2
	// costSettleDuration is the time that a change has to propagate to all instances.
	costSettleDuration = 3 * time.Second
	// crashSettleDuration exceeds the 5 s within which a crash is detected and propagated.
	crashSettleDuration = 6 * time.Second

	// These are the changes of an ordinary day at targetSize instances.
	editsPerDay    = 440
	restartsPerDay = 880
	crashesPerDay  = 28
	secondsPerDay  = 86_400
)

// Cost is the resource usage of the control services, per instance unless stated otherwise.
type Cost struct {
	Instances int `json:"instances"`
	// BytesPerSecond and MessagesPerSecond count requests and answers on an ordinary day: the traffic of a quiet
	// fleet plus that of the day's edits, restarts and crashes.
	BytesPerSecond    float64 `json:"bytes_per_s"`
	MessagesPerSecond float64 `json:"messages_per_s"`
	// QuietBytesPerSecond is the part of BytesPerSecond that a quiet fleet causes.
	QuietBytesPerSecond float64 `json:"quiet_bytes_per_s"`
	// BytesPerEdit and BytesPerRestart are the bytes that one change adds to those of a quiet fleet. A restart is a
	// crash followed by the start of another instance.
	BytesPerEdit    float64 `json:"bytes_per_edit"`
	BytesPerRestart float64 `json:"bytes_per_restart"`
	// CPUPercent is the share of a core in a quiet fleet. It includes an equal share of the platform stand-in's CPU
	// time.
	CPUPercent float64 `json:"cpu_percent"`
	// CPUMillisPerEdit and CPUMillisPerRestart are the CPU time that one change adds.
	CPUMillisPerEdit    float64 `json:"cpu_ms_per_edit"`
	CPUMillisPerRestart float64 `json:"cpu_ms_per_restart"`
	// MemoryKB is the size of live objects and stacks after a garbage collection, in units of 1000 bytes.
	MemoryKB float64 `json:"memory_kb"`
	// StoreCallsPerSecond is the call rate of the whole fleet on an ordinary day, by purpose.
	StoreCallsPerSecond map[string]float64 `json:"store_calls_per_s"`
	// StoreBytesPerSecond is the traffic of calls to the store in a quiet fleet.
	StoreBytesPerSecond float64 `json:"store_bytes_per_s"`
}

// sample is the sum of the counters of all instances and the CPU time of the process at one time.
type sample struct {
	at                          time.Time
	bytes, messages, storeBytes int64
	cpuTime                     time.Duration
	storeCalls                  map[string]int64
}

// MeasureCost starts a fleet of size instances and measures its cost.
func MeasureCost(size int, seed uint64) (Cost, error) {
	before := liveMemory()
	f, err := StartFleet(size, NewNetwork(seed, Faults{}))
	if err != nil {
		return Cost{}, err
	}
	defer f.Stop()
	time.Sleep(costSettleDuration)
	c := Cost{
		Instances: size, MemoryKB: float64(liveMemory()-before) / float64(size) / 1000,
		StoreCallsPerSecond: map[string]float64{},
	}
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

// setFromUsage sets the figures from the usage of a quiet fleet, of one edit and of one restart.
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

// usage is the resource usage of a fleet over a period.
type usage struct {
	seconds, bytes, messages, storeBytes, cpuSeconds float64
	storeCalls                                       map[string]float64
}

// excessPerChange returns the usage that each of count changes adds to that of a quiet fleet.
func (u usage) excessPerChange(quiet usage, count float64) usage {
	timeRatio := u.seconds / quiet.seconds
	calls := map[string]float64{}
	for purpose, n := range u.storeCalls {
		calls[purpose] = max(0, n-timeRatio*quiet.storeCalls[purpose]) / count
	}
	return usage{
		storeCalls: calls,
		seconds:    u.seconds / count, bytes: max(0, u.bytes-timeRatio*quiet.bytes) / count,
		messages:   max(0, u.messages-timeRatio*quiet.messages) / count,
		cpuSeconds: max(0, u.cpuSeconds-timeRatio*quiet.cpuSeconds) / count,
	}
}

// measureUsage returns the usage of the fleet while run is executed.
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

// restartInstances replaces instances that crash without announcing it.
func (f *Fleet) restartInstances() error {
	for n := range measuredRestarts {
		stopped := f.Instances[n]
		stopped.crashed.Store(true)
		stopped.stop()
		f.crashedInstances = append(f.crashedInstances, stopped)
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
	for _, i := range slices.Concat(f.Instances, f.crashedInstances) {
		s.bytes += i.Counters.Value("control_bytes_sent") + i.Counters.Value("control_bytes_received")
		s.messages += i.Counters.Value("control_messages_sent") + i.Counters.Value("control_messages_received")
		s.storeBytes += i.Counters.Value("store_bytes_sent") + i.Counters.Value("store_bytes_received")
		for _, purpose := range controlPurposes {
			s.storeCalls[purpose] += i.Counters.Value("platform_calls_" + purpose)
		}
	}
	return s
}

// controlPurposes are the purposes for which the control services call the platform.
var controlPurposes = strings.Fields(`watch_config watch_snapshots watch_targets cold_config cold_snapshots cold_targets
	list_instances edit_read edit_write`)

// processCPUTime returns the user and system CPU time of this process.
func processCPUTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(errors.Wrap(err, "read CPU time of the process"))
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// liveMemory returns the bytes of live objects and stacks after a garbage collection.
func liveMemory() int64 {
	runtime.GC()
	runtime.GC() // The first collection only moves the contents of sync.Pools to their victim caches.
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}
