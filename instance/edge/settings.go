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
	defaultCoreSpeed       = 1.0
)

// Settings is the settings file of an instance that serves opaque requests.
type Settings struct {
	Instance      string `json:"instance"`
	FailureDomain string `json:"failure_domain"`
	Region        string `json:"region"`
	// Regions maps each failure domain to its region.
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
	// FirstStart is set if the whole fleet starts for the first time.
	FirstStart bool `json:"first_start"`
	// Seeds are the control addresses of some instances. They may be stale.
	Seeds []string `json:"seeds"`
	// ShutdownSeconds is the time from the stop signal until the process is killed.
	ShutdownSeconds float64 `json:"shutdown_seconds"`
	// IdleTimeout is the time after which an idle connection of a caller is closed.
	IdleTimeout settings.Duration `json:"idle_timeout"`
	// MemoryMB is the memory available to the process; 0 sets no limit for the heap.
	MemoryMB int `json:"memory_mb"`
	// CoreShare is the share of a core that the instance may use, 0 if it is not known. CoreSpeed is the speed of that
	// core relative to those of other instances.
	CoreShare float64 `json:"core_share"`
	CoreSpeed float64 `json:"core_speed"`
	// ExtraShare, ExtraSlack and ExtraSeconds limit the extra attempts at a service, which are those after the
	// first one of each request, over all instances.
	ExtraShare   float64 `json:"extra_share"`
	ExtraSlack   float64 `json:"extra_slack"`
	ExtraSeconds float64 `json:"extra_seconds"`
	// TargetHeartbeatMS is the time between two heartbeats of a target in milliseconds, 0 if it is not known.
	TargetHeartbeatMS float64 `json:"target_heartbeat_ms"`
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
	if s.CoreSpeed == 0 {
		s.CoreSpeed = defaultCoreSpeed
	}
	if s.MetricsPort == 0 {
		s.MetricsPort = defaultMetricsPort
	}
	return s
}

// capacity returns the processor capacity in thousandths of a core, 0 if it is not known.
func (s Settings) capacity() uint32 { return uint32(1000 * s.CoreShare * s.CoreSpeed) }

func (s Settings) shutdownTimeout() time.Duration {
	return time.Duration(s.ShutdownSeconds * float64(time.Second))
}
