package app

import (
	_ "embed"
	"time"

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
	// BalancerLag is the time that the balancer takes to notice that the instance is not ready.
	BalancerLag    settings.Duration `json:"balancer_lag"`
	TimelineEvents int               `json:"timeline_events"`
	// TraceFile is the file that decisions are recorded to, "" for none.
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
	if s.TimelineEvents == 0 {
		s.TimelineEvents = defaultTimelineEvents
	}
	return s
}
