package serve

import (
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-playground/validator/v10"

	"jacinthpost/core/admit"
	"jacinthpost/core/fleet"
	"jacinthpost/core/resource"
	"jacinthpost/io/agentstate"
)

// maxAnnouncement bounds the body of an announcement, in bytes. Endpoints send about 200.
const maxAnnouncement = 4096

// announcement is the body of PUT /v1/endpoint.
type announcement struct {
	Service     string `json:"service" validate:"required,max=200"`
	Address     string `json:"address" validate:"required,hostname_port"`
	Incarnation uint64 `json:"incarnation" validate:"required"`
	State       string `json:"state" validate:"oneof=ready leaving"`
	Slots       int    `json:"slots" validate:"min=1,max=65536"`
	Connections int    `json:"connections" validate:"min=1,max=1048576"`
	Capacity    struct {
		MilliCPU     int64 `json:"milliCPU" validate:"min=0"`
		MemoryMB     int64 `json:"memoryMB" validate:"min=0"`
		Accelerators int64 `json:"accelerators" validate:"min=0"`
	} `json:"capacity"`
}

// announced is the reply to an announcement. Drained is true for a leaving endpoint once its instance
// has no request and no task left; the endpoint may then stop.
type announced struct {
	Accepted bool `json:"accepted"`
	Drained  bool `json:"drained"`
}

var validate = validator.New(validator.WithRequiredStructEnabled())

func (ann announcement) toCore() admit.Announcement {
	capacity := resource.New(ann.Capacity.MilliCPU, ann.Capacity.MemoryMB, ann.Capacity.Accelerators)
	return admit.NewAnnouncement(fleet.Service(ann.Service), ann.Address, fleet.Incarnation(ann.Incarnation)).
		WithCapacity(ann.Slots, ann.Connections, capacity).
		WithLeaving(ann.State == "leaving")
}

// Announcements returns the handler of PUT /v1/endpoint. It does not authenticate the caller, so it
// must listen on a loopback address only.
func (svc *Service) Announcements() http.Handler {
	return http.HandlerFunc(func(wrt http.ResponseWriter, req *http.Request) {
		if req.Method != http.MethodPut {
			wrt.Header().Set("Allow", http.MethodPut)
			respondError(wrt, http.StatusMethodNotAllowed, "use PUT")
			return
		}
		ann, err := decode(http.MaxBytesReader(wrt, req.Body, maxAnnouncement))
		if err != nil {
			respondError(wrt, http.StatusBadRequest, err.Error())
			return
		}
		rep, err := agentstate.Ask(req.Context(), svc.loop, func(sta *agentstate.State, now time.Time) announced {
			return svc.applyAnnouncement(sta, ann.toCore(), now)
		})
		if err != nil {
			respondError(wrt, http.StatusServiceUnavailable, "the agent is busy or stopping")
			return
		}
		respond(wrt, http.StatusOK, rep)
	})
}

// applyAnnouncement records an announcement and returns the reply. It runs on the control goroutine.
func (svc *Service) applyAnnouncement(sta *agentstate.State, ann admit.Announcement, now time.Time) announced {
	vers, accepted := sta.Intake().RecordAnnouncement(ann, now)
	svc.deliver(sta, vers)
	sta.Publish()
	leaving := sta.Intake().Endpoint().Last().Leaving()
	idle := sta.Intake().Drained() && sta.Runner().Unrecorded() == 0
	return announced{Accepted: accepted, Drained: leaving && idle}
}

func decode(bdy io.Reader) (announcement, error) {
	var ann announcement
	dec := json.NewDecoder(bdy)
	dec.DisallowUnknownFields()
	if err := dec.Decode(&ann); err != nil {
		return ann, errors.Wrap(err, "decode announcement")
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return ann, errors.New("announcement is followed by more data")
	}
	if err := validate.Struct(ann); err != nil {
		return ann, errors.Wrap(err, "validate announcement")
	}
	return ann, nil
}

// Refuse is the clients.Refuse of the handler of announcements.
func Refuse(wrt http.ResponseWriter, status int, detail string) { respondError(wrt, status, detail) }

func respondError(wrt http.ResponseWriter, status int, detail string) {
	respond(wrt, status, struct {
		Error string `json:"error"`
	}{detail})
}

func respond(wrt http.ResponseWriter, status int, val any) {
	wrt.Header().Set("Content-Type", "application/json")
	wrt.WriteHeader(status)
	_ = json.NewEncoder(wrt).Encode(val)
}
