package target

import (
	"net/http"

	"github.com/go-chi/chi/v5"

	"hyssopcroft.example/adapter/problem"
	"hyssopcroft.example/emulator/fault"
	"hyssopcroft.example/query"
)

// Paths of changes that are no faults in force but happen once. All take a POST with a JSON body
// and return that body.
const (
	// PathCrash crashes the searcher. It takes no body and returns none.
	PathCrash = fault.Path + "/crash"
	// PathSilence silences connections, see Silence.
	PathSilence = fault.Path + "/silence"
	// PathDrain starts or ends draining, see Drain.
	PathDrain = fault.Path + "/drain"
	// PathSnapshots replaces the versions held, see Snapshots.
	PathSnapshots = fault.Path + "/snapshots"
	// PathAddSnapshot adds a version that is partitioned anew, see Holding.
	PathAddSnapshot = fault.Path + "/hold"
)

// Silence is the number of connections to silence; the response holds how many were.
type Silence struct {
	Connections int `json:"connections"`
}

// Drain says whether the searcher drains.
type Drain struct {
	Draining bool `json:"draining"`
}

// Snapshots lists the versions that the searcher holds from now on, in ascending order.
type Snapshots struct {
	Held []query.Version `json:"held"`
}

// AddedSnapshot is a version that the searcher holds from now on, with its shards at that version.
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
