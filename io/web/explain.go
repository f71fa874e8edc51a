package web

import (
	"context"
	"net/http"
)

// Explain describes the decisions about one subject, a line each. The second result is false for
// an unknown subject.
type Explain interface {
	Job(ctx context.Context, id string) ([]string, bool)
	Instance(ctx context.Context, name string) ([]string, bool)
	Ticket(ctx context.Context, number string) ([]string, bool)
}

func registerExplain(mux *http.ServeMux, exp Explain) {
	subjects := map[string]func(context.Context, string) ([]string, bool){
		"job": exp.Job, "instance": exp.Instance, "ticket": exp.Ticket,
	}
	mux.HandleFunc("GET /v1/explain/{kind}/{name}", func(rw http.ResponseWriter, req *http.Request) {
		explain, known := subjects[req.PathValue("kind")]
		if !known {
			refuse(rw, http.StatusNotFound, "only a job, an instance or a ticket can be explained")
			return
		}
		lines, found := explain(req.Context(), req.PathValue("name"))
		if !found {
			refuse(rw, http.StatusNotFound, req.PathValue("kind")+" "+req.PathValue("name")+" is not known")
			return
		}
		writeJSON(rw, http.StatusOK, struct {
			Lines []string `json:"lines"`
		}{Lines: lines})
	})
}
