package edge

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
	defaultShutdownTimeout = 6 * time.Second
	defaultIdleTimeout     = 30 * time.Second
	defaultMetricsPort     = 9464
)

// Settings are the contents of the settings file of an instance that runs opaque requests.
type Settings struct {
	Instance      string `json:"instance"`
	FailureDomain string `json:"failure_domain"`
	Region        string `json:"region"`
	// Regions gives the region of each failure domain.
	Regions map[string]string `json:"regions"`
	// Callers, Readiness and Control are the addresses to listen on.
	Callers   string `json:"callers"`
	Readiness string `json:"readiness"`
	Control   string `json:"control"`
	// IP is the address on which metrics are served.
	IP          string `json:"ip"`
	MetricsPort int    `json:"metrics_port"`
	// Store is the address of the platform's store.
	Store string `json:"store"`
	// Seeds are control addresses of some instances. They may be out of date.
	Seeds []string `json:"seeds"`
	// ShutdownSeconds is the time from the order to stop until the process is killed.
	ShutdownSeconds float64 `json:"shutdown_seconds"`
	// IdleTimeout is the time after which an idle connection of a caller is closed.
	IdleTimeout settings.Duration `json:"idle_timeout"`
	// MemoryMB is the memory of the process.
	MemoryMB int `json:"memory_mb"`
	// ExtraShare, ExtraSlack and ExtraSeconds bound the attempts beyond the first one of each request at
	// a service, over all instances.
	ExtraShare   float64 `json:"extra_share"`
	ExtraSlack   float64 `json:"extra_slack"`
	ExtraSeconds float64 `json:"extra_seconds"`
}

// LoadSettings reads and checks a settings file. A *settings.FaultsError lists all faults.
func LoadSettings(file string) (Settings, error) {
	s, err := settings.Load[Settings](file, Schema)
	return s.withDefaults(), err
}

func (s Settings) withDefaults() Settings {
	if s.ShutdownSeconds == 0 {
		s.ShutdownSeconds = defaultShutdownTimeout.Seconds()
	}
	if s.IdleTimeout == 0 {
		s.IdleTimeout = settings.Duration(defaultIdleTimeout)
	}
	if s.MetricsPort == 0 {
		s.MetricsPort = defaultMetricsPort
	}
	return s
}

func (s Settings) shutdown() time.Duration {
	return time.Duration(s.ShutdownSeconds * float64(time.Second))
}
