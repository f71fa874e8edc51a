package relay

import (
	"context"
	"encoding/json"
	"net/http"
)

const maxRequestBytes = 64 << 10

// Handler serves the control endpoint: POST /v1/setting switches, GET /v1/status reads.
func (rly *Relay) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/setting", posted(func(req *http.Request, set Setting) (any, error) { return rly.Switch(req.Context(), set) }))
	mux.HandleFunc("GET /v1/status", func(rsp http.ResponseWriter, req *http.Request) {
		sta, err := rly.Status(req.Context())
		answer(rsp, sta, err)
	})
	return mux
}

// Handler serves the control endpoint: POST /v1/place adds a process, POST
// /v1/rules switches, GET /v1/status reads. Places are open until the context ends.
func (nwk *Network) Handler(ctx context.Context) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/place", posted(func(_ *http.Request, plc Place) (any, error) { return plc, nwk.Add(ctx, plc) }))
	mux.HandleFunc("POST /v1/rules", posted(func(req *http.Request, rls Rules) (any, error) { return nwk.Switch(req.Context(), rls) }))
	mux.HandleFunc("GET /v1/status", func(rsp http.ResponseWriter, req *http.Request) {
		sta, err := nwk.Status(req.Context())
		answer(rsp, sta, err)
	})
	return mux
}

// posted decodes the body of a request strictly and answers what act returns.
func posted[M any](act func(req *http.Request, msg M) (any, error)) http.HandlerFunc {
	return func(rsp http.ResponseWriter, req *http.Request) {
		var msg M
		dec := json.NewDecoder(http.MaxBytesReader(rsp, req.Body, maxRequestBytes))
		dec.DisallowUnknownFields()
		if err := dec.Decode(&msg); err != nil {
			http.Error(rsp, "decode request: "+err.Error(), http.StatusBadRequest)
			return
		}
		body, err := act(req, msg)
		answer(rsp, body, err)
	}
}

func answer(rsp http.ResponseWriter, body any, err error) {
	if err != nil {
		http.Error(rsp, err.Error(), http.StatusBadRequest)
		return
	}
	rsp.Header().Set("Content-Type", "application/json")
	// A client that has gone away needs no answer.
	_ = json.NewEncoder(rsp).Encode(body)
}
