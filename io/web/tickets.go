package web

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"jacinthpost/core/outcome"
	"jacinthpost/core/ticket"
	"jacinthpost/io/clients"
	"jacinthpost/io/config"
)

// Configuration files tickets and returns the configuration in force.
type Configuration interface {
	// File files a ticket.
	File(ctx context.Context, tic ticket.Ticket) ticket.Outcome
	// State returns the latest known configuration.
	State() ticket.State
	// Freshness returns how recently the configuration was confirmed.
	Freshness() ticket.Freshness
}

// ticketStatus maps the outcomes of tickets to HTTP status codes.
var ticketStatus = map[ticket.OutcomeKind]int{
	ticket.OutcomeUnknown:     http.StatusGatewayTimeout,
	ticket.OutcomeAccepted:    http.StatusOK,
	ticket.OutcomeSame:        http.StatusOK,
	ticket.OutcomeConflict:    http.StatusConflict,
	ticket.OutcomeGap:         http.StatusConflict,
	ticket.OutcomeWrongBase:   http.StatusConflict,
	ticket.OutcomeInvalid:     http.StatusBadRequest,
	ticket.OutcomeUnavailable: http.StatusServiceUnavailable,
}

// ticketPage is the number of tickets in one list.
const ticketPage = 100

func registerConfiguration(mux *http.ServeMux, cfg Configuration) {
	mux.HandleFunc("PUT /v1/tickets/{number}", func(rw http.ResponseWriter, req *http.Request) { fileTicket(rw, req, cfg) })
	mux.HandleFunc("GET /v1/tickets/{number}", func(rw http.ResponseWriter, req *http.Request) { showTicket(rw, req, cfg.State()) })
	mux.HandleFunc("GET /v1/tickets", func(rw http.ResponseWriter, req *http.Request) { listTickets(rw, req, cfg.State()) })
	mux.HandleFunc("GET /v1/state", func(rw http.ResponseWriter, _ *http.Request) { showState(rw, cfg) })
	mux.HandleFunc("GET /v1/state/{kind}/{name}", func(rw http.ResponseWriter, req *http.Request) { showObject(rw, req, cfg.State()) })
}

func numberOf(rw http.ResponseWriter, txt string) (ticket.Number, bool) {
	num, err := strconv.ParseUint(txt, 10, 63)
	if err != nil {
		refuse(rw, http.StatusBadRequest, fmt.Sprintf("%q is not a ticket number", txt))
		return 0, false
	}
	return ticket.Number(num), true
}

func fileTicket(rw http.ResponseWriter, req *http.Request, cfg Configuration) {
	num, ok := numberOf(rw, req.PathValue("number"))
	if !ok {
		return
	}
	raw, ok := readBody(rw, req, config.MaxTicketBytes, clients.DecodeCost)
	if !ok {
		return
	}
	tic, faults := config.DecodeTicket(num, raw)
	out := ticket.Invalid(faults...)
	if len(faults) == 0 {
		out = cfg.File(req.Context(), tic)
	}
	writeTicketOutcome(rw, num, out)
}

// faultBody is one fault of a ticket in an answer.
type faultBody struct {
	Path        string `json:"path"`
	Value       string `json:"value"`
	Expectation string `json:"expectation"`
}

func writeTicketOutcome(rw http.ResponseWriter, num ticket.Number, out ticket.Outcome) {
	var faults []faultBody
	for _, flt := range out.Faults() {
		faults = append(faults, faultBody{Path: flt.Path(), Value: flt.Value(), Expectation: flt.Expectation()})
	}
	var accepted json.RawMessage
	if out.Kind() == ticket.OutcomeConflict {
		accepted, _ = config.EncodeTicket(out.Ticket())
	}
	key := ""
	if out.Kind() == ticket.OutcomeWrongBase {
		key = out.Key().String()
	}
	writeJSON(rw, ticketStatus[out.Kind()], struct {
		Outcome  string          `json:"outcome"`
		Number   uint64          `json:"number"`
		Detail   string          `json:"detail,omitempty"`
		Next     uint64          `json:"next,omitempty"`
		Object   string          `json:"object,omitempty"`
		Current  uint64          `json:"currentVersion,omitempty"`
		Accepted json.RawMessage `json:"accepted,omitempty"`
		Faults   []faultBody     `json:"faults,omitempty"`
	}{
		Outcome: out.Kind().String(), Number: uint64(num), Detail: config.Explain(out), Next: uint64(out.NextNumber()),
		Object: key, Current: uint64(out.CurrentVersion()), Accepted: accepted, Faults: faults,
	})
}

func showTicket(rw http.ResponseWriter, req *http.Request, sta ticket.State) {
	num, ok := numberOf(rw, req.PathValue("number"))
	if !ok {
		return
	}
	tic, found := sta.AcceptedTicket(num)
	if !found {
		refuse(rw, http.StatusNotFound, fmt.Sprintf("ticket %d is not among the last %d accepted; the head is %d", num, ticket.HistoryLimit, sta.Head()))
		return
	}
	writeJSON(rw, http.StatusOK, encodedTicket(tic))
}

// encodedTicket encodes an accepted ticket. An encoding error is a programming error.
func encodedTicket(tic ticket.Ticket) json.RawMessage {
	raw, err := config.EncodeTicket(tic)
	if err != nil {
		panic("web: encode accepted ticket: " + err.Error())
	}
	return raw
}

func listTickets(rw http.ResponseWriter, req *http.Request, sta ticket.State) {
	oldest := ticket.Number(0)
	if sta.Head() > ticketPage {
		oldest = sta.Head() - ticketPage
	}
	if txt := req.URL.Query().Get("after"); txt != "" {
		num, ok := numberOf(rw, txt)
		if !ok {
			return
		}
		oldest = num
	}
	tics, kept := sta.TicketsAfter(oldest, ticketPage)
	if !kept {
		refuse(rw, http.StatusNotFound, fmt.Sprintf("tickets after %d are no longer kept by this entry, see the audit trail", oldest))
		return
	}
	list := make([]json.RawMessage, 0, len(tics))
	for _, tic := range tics {
		list = append(list, encodedTicket(tic))
	}
	writeJSON(rw, http.StatusOK, struct {
		Head    uint64            `json:"head"`
		Tickets []json.RawMessage `json:"tickets"`
	}{Head: uint64(sta.Head()), Tickets: list})
}

// objectBody is one object of the configuration in an answer.
type objectBody struct {
	Kind    string          `json:"kind"`
	Name    string          `json:"name"`
	Version uint64          `json:"version"`
	State   json.RawMessage `json:"state"`
}

func encodedObject(key ticket.Key, ver ticket.Number, obj ticket.Object) objectBody {
	raw, err := config.EncodeObject(obj)
	if err != nil {
		panic("web: encode accepted object: " + err.Error())
	}
	return objectBody{Kind: string(key.Kind()), Name: key.Name(), Version: uint64(ver), State: raw}
}

func showState(rw http.ResponseWriter, cfg Configuration) {
	sta := cfg.State()
	now := time.Now()
	age, confirmed := cfg.Freshness().Age(now)
	objects := make([]objectBody, 0, sta.Len())
	for _, rec := range sta.Records("", sta.Len()) {
		objects = append(objects, encodedObject(rec.Key(), rec.Version(), rec.Object()))
	}
	writeJSON(rw, http.StatusOK, struct {
		Head      uint64       `json:"head"`
		Confirmed bool         `json:"confirmed"`
		AgeMillis int64        `json:"ageMillis"`
		StoreDown bool         `json:"storeDown"`
		Objects   []objectBody `json:"objects"`
	}{
		Head: uint64(sta.Head()), Confirmed: confirmed && cfg.Freshness().Fresh(now), AgeMillis: age.Milliseconds(),
		StoreDown: cfg.Freshness().StoreDown(now), Objects: objects,
	})
}

func showObject(rw http.ResponseWriter, req *http.Request, sta ticket.State) {
	key := ticket.NewKey(ticket.Kind(req.PathValue("kind")), req.PathValue("name"))
	obj, ver := sta.Object(key)
	if ver == 0 {
		writeJSON(rw, http.StatusNotFound, struct {
			Outcome string `json:"outcome"`
			Reason  string `json:"reason"`
			Detail  string `json:"detail"`
			Head    uint64 `json:"head"`
		}{Outcome: outcome.KindNotRun.String(), Reason: "notFound", Detail: "no accepted ticket sets " + key.String(), Head: uint64(sta.Head())})
		return
	}
	writeJSON(rw, http.StatusOK, struct {
		Head   uint64     `json:"head"`
		Object objectBody `json:"object"`
	}{Head: uint64(sta.Head()), Object: encodedObject(key, ver, obj)})
}
