package app

import (
	_ "embed"
	"time"

	"hyssopcroft.example/instance/entry"
	"hyssopcroft.example/kernel/settings"
)

// Schema is the JSON schema of the settings file.
//
//go:embed settings.schema.json
var Schema []byte

const (
	defaultShutdownTimeout = 30 * time.Second
	defaultBalancerLag     = 5 * time.Second
	defaultTimelineEvents  = 4096
	defaultBodyTimeout     = 5 * time.Second
	defaultIdleTimeout     = 2 * time.Minute
)

// Settings are the contents of a settings file.
type Settings struct {
	Instance      string `json:"instance"`
	FailureDomain string `json:"failure_domain"`
	Region        string `json:"region"`
	// Listen is the IP address and port for callers, operators and peers.
	Listen string `json:"listen"`
	// Platform is the base URL of the platform's object API.
	Platform        string            `json:"platform"`
	ShutdownTimeout settings.Duration `json:"shutdown_timeout"`
	// BalancerLag is the time that the load balancer takes to detect that the instance is not ready.
	BalancerLag    settings.Duration `json:"balancer_lag"`
	TimelineEvents int               `json:"timeline_events"`
	// SlowQuery is the time after which a query is recorded in the timeline.
	SlowQuery settings.Duration `json:"slow_query"`
	// BodyTimeout is the maximum time in which a caller sends the body of a request.
	BodyTimeout settings.Duration `json:"body_timeout"`
	// IdleTimeout is the time after which an idle connection is closed.
	IdleTimeout settings.Duration `json:"idle_timeout"`
	// MemoryMB is the memory available to the process; 0 stands for that of the machine.
	MemoryMB int `json:"memory_mb"`
	// TraceFile is the file to which decisions are recorded. If it is empty, they are not recorded.
	TraceFile string `json:"trace_file"`
}

// LoadSettings reads and checks a settings file. A *settings.FaultsError lists all faults.
func LoadSettings(file string) (Settings, error) {
	s, err := settings.Load[Settings](file, Schema)
	return s.withDefaults(), err
}

func (s Settings) withDefaults() Settings {
	if s.ShutdownTimeout == 0 {
		s.ShutdownTimeout = settings.Duration(defaultShutdownTimeout)
	}
	if s.BalancerLag == 0 {
		s.BalancerLag = settings.Duration(defaultBalancerLag)
	}
	if s.SlowQuery == 0 {
		s.SlowQuery = settings.Duration(entry.DefaultSlowQuery)
	}
	if s.BodyTimeout == 0 {
		s.BodyTimeout = settings.Duration(defaultBodyTimeout)
	}
	if s.IdleTimeout == 0 {
		s.IdleTimeout = settings.Duration(defaultIdleTimeout)
	}
	if s.TimelineEvents == 0 {
		s.TimelineEvents = defaultTimelineEvents
	}
	return s
}
