package relay

import (
	"encoding/json"
	"net/http"
)

const maxRequestBytes = 64 << 10

// Handler serves the control endpoint: POST /v1/setting switches, GET /v1/status reads.
func (rly *Relay) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/setting", func(rsp http.ResponseWriter, req *http.Request) {
		var set Setting
		dec := json.NewDecoder(http.MaxBytesReader(rsp, req.Body, maxRequestBytes))
		dec.DisallowUnknownFields()
		if err := dec.Decode(&set); err != nil {
			http.Error(rsp, "decode setting: "+err.Error(), http.StatusBadRequest)
			return
		}
		sta, err := rly.Switch(req.Context(), set)
		answer(rsp, sta, err)
	})
	mux.HandleFunc("GET /v1/status", func(rsp http.ResponseWriter, req *http.Request) {
		sta, err := rly.Status(req.Context())
		answer(rsp, sta, err)
	})
	return mux
}

func answer(rsp http.ResponseWriter, sta Status, err error) {
	if err != nil {
		http.Error(rsp, err.Error(), http.StatusBadRequest)
		return
	}
	rsp.Header().Set("Content-Type", "application/json")
	// A client that has gone away needs no answer.
	_ = json.NewEncoder(rsp).Encode(sta)
}
