package fault

import (
	"encoding/json"
	"net/http"

	"github.com/go-chi/chi/v5"

	"hyssopcroft.example/adapter/problem"
	"hyssopcroft.example/kernel/timeline"
)

const (
	// Path is the path of the faults in force: GET returns them, PUT replaces them and DELETE
	// switches all of them off.
	Path = "/v1/faults"
	// maxBodyBytes bounds the body of a PUT.
	maxBodyBytes = 64 << 10
)

// Routes adds Path to a router. Changes are recorded under the subject; ring may be nil.
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
