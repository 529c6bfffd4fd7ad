package target

import (
	"io"
	"net/http"

	"github.com/go-chi/chi/v5"
	"google.golang.org/protobuf/proto"

	"hyssopcroft.example/adapter/problem"
	"hyssopcroft.example/adapter/stamp"
	api "hyssopcroft.example/adapter/target"
	"hyssopcroft.example/adapter/wire/targetpb"
	"hyssopcroft.example/emulator/fault"
)

const (
	maxRequestBytes = 1 << 20
)

// Handler returns the HTTP handler of a searcher without a Host, which cannot crash.
func Handler(s *Searcher) http.Handler { return handler(s, nil) }

func handler(s *Searcher, h *Host) http.Handler {
	r := chi.NewRouter()
	if s.cfg.Ring != nil {
		r.Use(stamp.New(s.cfg.Ring.Clock()).Handler)
	}
	r.Post(api.PathSearch, func(w http.ResponseWriter, req *http.Request) {
		var in targetpb.SearchRequest
		if decodeRequest(w, req, &in) {
			writeResponse(w, s.Search(req.Context(), &in))
		}
	})
	r.Post(api.PathExecute, func(w http.ResponseWriter, req *http.Request) {
		var in targetpb.ExecuteRequest
		if decodeRequest(w, req, &in) {
			writeResponse(w, s.Execute(req.Context(), &in))
		}
	})
	r.Get(api.PathInfo, func(w http.ResponseWriter, _ *http.Request) {
		problem.WriteJSON(w, http.StatusOK, s.Info())
	})
	r.Handle("/debug/vars", s.vars)
	fault.Routes(r, s.faults, s.cfg.Ring, string(s.cfg.Target.ID))
	searcherRoutes(r, s)
	if h != nil {
		hostRoutes(r, h)
	}
	return r
}

// NewHTTPServer returns a server for unencrypted HTTP/2, which targets use, and HTTP/1.1, so that any
// HTTP client can set faults.
func NewHTTPServer(h http.Handler) *http.Server {
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{Handler: h, Protocols: &protocols}
}

// decodeRequest decodes the body into m. If it cannot, it writes a 400 response and returns false.
func decodeRequest(w http.ResponseWriter, r *http.Request, m proto.Message) bool {
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err != nil || proto.Unmarshal(raw, m) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return false
	}
	return true
}

func writeResponse(w http.ResponseWriter, m proto.Message) {
	raw, err := proto.Marshal(m)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", api.ContentType)
	_, _ = w.Write(raw) // A write error means that the client has disconnected.
}
