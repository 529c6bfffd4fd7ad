package target

import (
	"net/http"

	"github.com/go-chi/chi/v5"

	"hyssopcroft.example/adapter/problem"
	"hyssopcroft.example/emulator/fault"
	"hyssopcroft.example/query"
)

// Paths of one-time actions, as opposed to the faults in force at fault.Path. Each accepts a POST with
// a JSON body and returns a JSON body of the same type, except PathCrash.
const (
	// PathCrash crashes the searcher. The request and the response have no body.
	PathCrash = fault.Path + "/crash"
	// PathSilence silences connections; see Silence.
	PathSilence = fault.Path + "/silence"
	// PathDrain starts or ends draining; see Drain.
	PathDrain = fault.Path + "/drain"
	// PathSnapshots replaces the available versions; see Snapshots.
	PathSnapshots = fault.Path + "/snapshots"
	// PathAddSnapshot adds a repartitioned version; see AddedSnapshot.
	PathAddSnapshot = fault.Path + "/hold"
)

// Silence is the number of connections to silence and, in the response, the number silenced.
type Silence struct {
	Connections int `json:"connections"`
}

// Drain is the requested draining state.
type Drain struct {
	Draining bool `json:"draining"`
}

// Snapshots lists the new available versions in ascending order.
type Snapshots struct {
	Held []query.Version `json:"held"`
}

// AddedSnapshot is a repartitioned version to add, with the shards that the searcher serves at that
// version and their rows.
type AddedSnapshot struct {
	Version query.Version `json:"version"`
	Shards  []query.Shard `json:"shards"`
	Rows    []Row         `json:"rows"`
}

func searcherRoutes(r chi.Router, s *Searcher) {
	r.Post(PathDrain, actionHandler(func(d Drain) Drain {
		s.SetDraining(d.Draining)
		return d
	}))
	r.Post(PathSnapshots, actionHandler(func(v Snapshots) Snapshots {
		s.SetSnapshots(v.Held)
		return v
	}))
	r.Post(PathAddSnapshot, actionHandler(func(a AddedSnapshot) AddedSnapshot {
		s.AddSnapshot(a.Version, a.Shards, a.Rows)
		return a
	}))
}

func hostRoutes(r chi.Router, h *Host) {
	r.Post(PathCrash, func(http.ResponseWriter, *http.Request) { h.Crash() })
	r.Post(PathSilence, actionHandler(func(s Silence) Silence {
		return Silence{Connections: h.Silence(s.Connections)}
	}))
}

func actionHandler[T any](apply func(T) T) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var in T
		if p := problem.DecodeBody(w, r, maxRequestBytes, &in); p != nil {
			problem.Write(w, p)
			return
		}
		problem.WriteJSON(w, http.StatusOK, apply(in))
	}
}
