package fault

import (
	"encoding/json"
	"net/http"

	"github.com/go-chi/chi/v5"

	"hyssopcroft.example/adapter/problem"
	"hyssopcroft.example/kernel/timeline"
)

const (
	// Path is the path of the active faults: GET returns them, PUT replaces them and DELETE switches them all off.
	Path = "/v1/faults"
	// maxBodyBytes is the maximum size of the body of a PUT.
	maxBodyBytes = 64 << 10
)

// Routes registers the handlers of Path on a router. Each change is recorded in the ring with the given subject, unless
// ring is nil.
func Routes[F Config](r chi.Router, s *Switch[F], ring *timeline.Ring, subject string) {
	apply := func(w http.ResponseWriter, f F) {
		if err := s.Set(f); err != nil {
			problem.Write(w, &problem.Problem{
				Status: http.StatusUnprocessableEntity, Code: problem.Invalid, Message: err.Error(),
			})
			return
		}
		record(ring, subject, f)
		problem.WriteJSON(w, http.StatusOK, f)
	}
	r.Get(Path, func(w http.ResponseWriter, _ *http.Request) {
		f, _ := s.Current()
		problem.WriteJSON(w, http.StatusOK, f)
	})
	r.Put(Path, func(w http.ResponseWriter, req *http.Request) {
		var f F
		if p := problem.DecodeBody(w, req, maxBodyBytes, &f); p != nil {
			problem.Write(w, p)
			return
		}
		apply(w, f)
	})
	r.Delete(Path, func(w http.ResponseWriter, _ *http.Request) {
		var none F
		apply(w, none)
	})
}

func record(ring *timeline.Ring, subject string, f any) {
	if ring == nil {
		return
	}
	detail, err := json.Marshal(f)
	if err != nil {
		detail = []byte(err.Error())
	}
	ring.Add("faults_changed", subject, string(detail))
}
