package web

import (
	"context"
	"net/http"
	"strconv"

	"jacinthpost/core/member"
	"jacinthpost/io/audit"
)

// Fleet lists the members.
type Fleet interface {
	// View returns the members known to this process.
	View() member.View
}

// Audit lists the audit trail.
type Audit interface {
	// List returns up to limit rows, oldest first, whose key is greater than after.
	List(ctx context.Context, after string, limit int) ([]audit.Entry, error)
}

// memberBody is one member in an answer.
type memberBody struct {
	Instance    string `json:"instance"`
	Role        string `json:"role"`
	State       string `json:"state"`
	Region      string `json:"region"`
	DataCentre  string `json:"dataCentre"`
	Rack        string `json:"rack"`
	Address     string `json:"address"`
	Service     string `json:"service,omitempty"`
	Slots       int    `json:"slots,omitempty"`
	MilliCPU    int64  `json:"milliCPU,omitempty"`
	MemoryMB    int64  `json:"memoryMB,omitempty"`
	Head        uint64 `json:"head"`
	Incarnation uint64 `json:"incarnation"`
}

func registerFleet(mux *http.ServeMux, fle Fleet) {
	mux.HandleFunc("GET /v1/members", func(rw http.ResponseWriter, _ *http.Request) {
		list := []memberBody{}
		for _, mem := range fle.View().Select(func(member.Member) bool { return true }) {
			list = append(list, encodedMember(mem))
		}
		writeJSON(rw, http.StatusOK, struct {
			Members []memberBody `json:"members"`
		}{Members: list})
	})
}

func encodedMember(mem member.Member) memberBody {
	pro := mem.Profile()
	return memberBody{
		Instance: string(mem.Instance()), Role: string(pro.Role()), State: mem.State().String(),
		Region: string(pro.Location().Region()), DataCentre: string(pro.Location().DataCentre()), Rack: string(pro.Location().Rack()),
		Address: string(pro.PeerAddress()), Service: string(pro.Service()), Slots: pro.Slots(),
		MilliCPU: pro.Capacity().MilliCPU(), MemoryMB: pro.Capacity().MemoryMB(),
		Head: mem.Head(), Incarnation: uint64(mem.Version().Incarnation()),
	}
}

func registerAudit(mux *http.ServeMux, adt Audit) {
	mux.HandleFunc("GET /v1/audit", func(rw http.ResponseWriter, req *http.Request) {
		limit := audit.MaxList
		if txt := req.URL.Query().Get("limit"); txt != "" {
			num, err := strconv.Atoi(txt)
			if err != nil || num < 1 || num > audit.MaxList {
				refuse(rw, http.StatusBadRequest, "limit: 1 to "+strconv.Itoa(audit.MaxList)+" expected")
				return
			}
			limit = num
		}
		entries, err := adt.List(req.Context(), req.URL.Query().Get("after"), limit)
		if err != nil {
			refuse(rw, http.StatusServiceUnavailable, "the store cannot be read now")
			return
		}
		writeJSON(rw, http.StatusOK, struct {
			Entries []audit.Entry `json:"entries"`
		}{Entries: entries})
	})
}
