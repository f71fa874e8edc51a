package config

import (
	"bytes"
	"encoding/json"
	"io"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"jacinthpost/core/fleet"
	"jacinthpost/core/job"
	"jacinthpost/core/resource"
	"jacinthpost/core/ticket"
	"jacinthpost/io/message"
)

// MaxTicketBytes bounds an encoded ticket.
const MaxTicketBytes = 512 * 1024

// Encoded forms. Durations are whole milliseconds or seconds as the name says.
type (
	ticketBody struct {
		Number  uint64       `json:"number,omitempty"`
		Author  string       `json:"author"`
		Reason  string       `json:"reason"`
		Changes []changeBody `json:"changes"`
	}
	changeBody struct {
		Kind        string          `json:"kind"`
		Name        string          `json:"name"`
		BaseVersion uint64          `json:"baseVersion"`
		State       json.RawMessage `json:"state"`
	}
	objectBody struct {
		Kind    string          `json:"kind"`
		Name    string          `json:"name"`
		Version uint64          `json:"version"`
		State   json.RawMessage `json:"state"`
	}
	serviceBody struct {
		Slots                int      `json:"slots"`
		Connections          int      `json:"connections"`
		DefaultTimeoutMillis int64    `json:"defaultTimeoutMillis"`
		IdempotentPaths      []string `json:"idempotentPaths,omitempty"`
	}
	jobClassBody struct {
		Resources      message.Resources `json:"resources"`
		LeaseMillis    int64             `json:"leaseMillis"`
		OutageSeconds  int64             `json:"outageSeconds,omitempty"`
		Checkpointable *bool             `json:"checkpointable"` // true if it is missing
		Rerun          string            `json:"rerun,omitempty"`
	}
	dataCentreBody struct {
		State  string `json:"state"`
		Reason string `json:"reason,omitempty"`
	}
	admissionBody struct {
		MaxQueue      int      `json:"maxQueue"`
		WorkspaceRate float64  `json:"workspaceRate"`
		FormerRate    *float64 `json:"customerRate,omitempty"` // its name in earlier versions
		BatchShare    float64  `json:"batchShare"`
	}
	workspaceBody struct {
		Active   bool              `json:"active"`
		Team     string            `json:"team,omitempty"`
		Settings map[string]string `json:"settings,omitempty"`
	}
	endpointBody struct {
		Draining bool `json:"draining"`
	}
	teamBody struct {
		CPUShare         float64 `json:"cpuShare"`
		MemoryShare      float64 `json:"memoryShare"`
		AcceleratorShare float64 `json:"acceleratorShare"`
		MayBorrow        bool    `json:"mayBorrow"`
	}
)

// States of a data centre in encoded form.
const (
	stateIn  = "in"
	stateOut = "out"
)

// formerWorkspace is the kind of workspaces in tickets and rows of earlier
// versions, which stay readable: an accepted setting stays in force.
const formerWorkspace = "customer"

// kindOf returns the kind that a name stands for.
func kindOf(name string) ticket.Kind {
	if name == formerWorkspace {
		return ticket.KindWorkspace
	}
	return ticket.Kind(name)
}

// decodeState decodes the state of one kind strictly.
type decodeState func(raw []byte) (ticket.Object, error)

// decoders has one entry per kind. A decoder fills a body and translates it.
var decoders = map[ticket.Kind]decodeState{
	ticket.KindService: decoder(func(bod serviceBody) (ticket.Object, error) {
		return ticket.NewService(bod.Slots, bod.Connections, clampedDuration(bod.DefaultTimeoutMillis, time.Millisecond), bod.IdempotentPaths...), nil
	}),
	ticket.KindJobClass: decoder(func(bod jobClassBody) (ticket.Object, error) {
		vec := resource.New(bod.Resources.MilliCPU, bod.Resources.MemoryMB, bod.Resources.Accelerators)
		rer, known := job.ParseRerun(bod.Rerun)
		if !known {
			return nil, errors.Errorf("rerun %q is neither %v nor %v", bod.Rerun, job.RerunFromCheckpoint, job.RerunNever)
		}
		cpt := bod.Checkpointable == nil || *bod.Checkpointable
		return ticket.NewJobClass(vec, clampedDuration(bod.LeaseMillis, time.Millisecond), clampedDuration(bod.OutageSeconds, time.Second), cpt).WithRerun(rer), nil
	}),
	ticket.KindDataCentre: decoder(func(bod dataCentreBody) (ticket.Object, error) {
		if bod.State != stateIn && bod.State != stateOut {
			return nil, errors.Errorf("state %q is neither in nor out", bod.State)
		}
		return ticket.NewDataCentre(bod.State == stateOut, bod.Reason), nil
	}),
	ticket.KindAdmission: decoder(func(bod admissionBody) (ticket.Object, error) {
		if bod.FormerRate != nil {
			if bod.WorkspaceRate != 0 {
				return nil, errors.New("workspaceRate and customerRate, its former name, are both given")
			}
			bod.WorkspaceRate = *bod.FormerRate
		}
		return ticket.NewAdmission(bod.MaxQueue, bod.WorkspaceRate, bod.BatchShare), nil
	}),
	ticket.KindWorkspace: decoder(func(bod workspaceBody) (ticket.Object, error) {
		return ticket.NewWorkspace(bod.Active, fleet.Team(bod.Team), bod.Settings), nil
	}),
	ticket.KindEndpoint: decoder(func(bod endpointBody) (ticket.Object, error) {
		return ticket.NewEndpoint(bod.Draining), nil
	}),
	ticket.KindTeam: decoder(func(bod teamBody) (ticket.Object, error) {
		return ticket.NewTeam(bod.CPUShare, bod.MemoryShare, bod.AcceleratorShare, bod.MayBorrow), nil
	}),
}

func decoder[B any](translate func(bod B) (ticket.Object, error)) decodeState {
	return func(raw []byte) (ticket.Object, error) {
		var bod B
		if err := decodeStrict(raw, &bod); err != nil {
			return nil, err
		}
		return translate(bod)
	}
}

// clampedDuration converts without overflow. It limits the result to a year either way, which is
// still too long to pass validation.
func clampedDuration(num int64, unit time.Duration) time.Duration {
	limit := int64(365 * 24 * time.Hour / unit)
	return time.Duration(max(-limit, min(num, limit))) * unit
}

// decodeStrict decodes one JSON value, which must be an object with known fields only.
func decodeStrict(raw []byte, into any) error {
	if trimmed := bytes.TrimSpace(raw); len(trimmed) == 0 || trimmed[0] != '{' {
		return errors.New("not a JSON object")
	}
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.DisallowUnknownFields()
	if err := dec.Decode(into); err != nil {
		return err
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return errors.New("more than one JSON value")
	}
	return nil
}

// DecodeTicket decodes and validates a ticket. The number comes from the path of
// the request; a number in the body must agree with it. Every fault found is returned.
func DecodeTicket(num ticket.Number, raw []byte) (ticket.Ticket, []ticket.Fault) {
	var bod ticketBody
	if len(raw) > MaxTicketBytes {
		return ticket.Ticket{}, []ticket.Fault{ticket.NewFault("", strconv.Itoa(len(raw)), "at most "+strconv.Itoa(MaxTicketBytes)+" bytes")}
	}
	if err := decodeStrict(raw, &bod); err != nil {
		return ticket.Ticket{}, []ticket.Fault{ticket.NewFault("", err.Error(), "a ticket: author, reason and changes")}
	}
	var faults []ticket.Fault
	if bod.Number != 0 && bod.Number != uint64(num) {
		faults = append(faults, ticket.NewFault("number", strconv.FormatUint(bod.Number, 10), "the number in the path"))
	}
	if len(bod.Changes) > ticket.MaxChanges {
		return ticket.Ticket{}, append(faults, ticket.NewFault("changes", strconv.Itoa(len(bod.Changes)), "at most "+strconv.Itoa(ticket.MaxChanges)))
	}
	changes := make([]ticket.Change, 0, len(bod.Changes))
	for idx, chg := range bod.Changes {
		obj, flt := decodeObject(chg.Kind, chg.State, "changes["+strconv.Itoa(idx)+"].")
		faults = append(faults, flt...)
		changes = append(changes, ticket.NewChange(chg.Name, ticket.Number(chg.BaseVersion), obj))
	}
	tic := ticket.New(num, bod.Author, bod.Reason, changes...)
	if len(faults) == 0 {
		faults = ticket.Validate(tic)
	}
	return tic, faults
}

func decodeObject(knd string, raw []byte, path string) (ticket.Object, []ticket.Fault) {
	decode, known := decoders[kindOf(knd)]
	if !known {
		expectation, _ := json.Marshal(ticket.Kinds())
		return nil, []ticket.Fault{ticket.NewFault(path+"kind", excerpt(knd), "one of "+string(expectation))}
	}
	obj, err := decode(raw)
	if err != nil {
		return nil, []ticket.Fault{ticket.NewFault(path+"state", excerpt(err.Error()), "the complete state of a "+knd)}
	}
	return obj, nil
}

// wrapped adds context to an error. Unlike errors.Wrap it keeps nil.
func wrapped(err error, context string) error {
	if err == nil {
		return nil
	}
	return errors.Wrap(err, context)
}

func excerpt(txt string) string { return txt[:min(len(txt), 200)] }

// EncodeTicket encodes a ticket with its number.
func EncodeTicket(tic ticket.Ticket) ([]byte, error) {
	bod := ticketBody{Number: uint64(tic.Number()), Author: tic.Author(), Reason: tic.Reason()}
	for _, chg := range tic.Changes() {
		raw, err := EncodeObject(chg.Object())
		if err != nil {
			return nil, err
		}
		bod.Changes = append(bod.Changes, changeBody{Kind: string(chg.Key().Kind()), Name: chg.Key().Name(),
			BaseVersion: uint64(chg.Base()), State: raw})
	}
	raw, err := json.Marshal(bod)
	return raw, wrapped(err, "encode ticket")
}

// EncodeObject encodes the state of an object; null for none.
func EncodeObject(obj ticket.Object) (json.RawMessage, error) {
	raw, err := json.Marshal(bodyOf(obj))
	return raw, wrapped(err, "encode object")
}

func bodyOf(obj ticket.Object) any {
	switch obj := obj.(type) {
	case ticket.Service:
		return serviceBody{Slots: obj.Slots(), Connections: obj.Connections(),
			DefaultTimeoutMillis: obj.Timeout().Milliseconds(), IdempotentPaths: obj.IdempotentPaths()}
	case ticket.JobClass:
		vec, cpt := obj.Resources(), obj.Checkpointable()
		return jobClassBody{LeaseMillis: obj.Lease().Milliseconds(), OutageSeconds: int64(obj.ToleratedOutage() / time.Second),
			Checkpointable: &cpt, Rerun: rerunName(obj.Rerun()), Resources: message.Resources{MilliCPU: vec.MilliCPU(),
				MemoryMB: vec.MemoryMB(), Accelerators: vec.Accelerators()}}
	case ticket.DataCentre:
		bod := dataCentreBody{State: stateIn, Reason: obj.Reason()}
		if obj.Out() {
			bod.State = stateOut
		}
		return bod
	case ticket.Admission:
		return admissionBody{MaxQueue: obj.MaxQueue(), WorkspaceRate: obj.WorkspaceRate(), BatchShare: obj.BatchShare()}
	case ticket.Workspace:
		return workspaceBody{Active: obj.Active(), Team: string(obj.Team()), Settings: obj.Settings()}
	case ticket.Endpoint:
		return endpointBody{Draining: obj.Draining()}
	case ticket.Team:
		return teamBody{CPUShare: obj.CPUShare(), MemoryShare: obj.MemoryShare(),
			AcceleratorShare: obj.AcceleratorShare(), MayBorrow: obj.MayBorrow()}
	default:
		return nil
	}
}

// rerunName leaves the default out, because nodes of earlier versions refuse
// tickets with fields that they don't know.
func rerunName(rer job.Rerun) string {
	if rer == job.RerunFromCheckpoint {
		return ""
	}
	return rer.String()
}

// decodeTicketRow decodes an accepted ticket.
func decodeTicketRow(num ticket.Number, raw []byte) (ticket.Ticket, error) {
	tic, faults := DecodeTicket(num, raw)
	if len(faults) > 0 {
		return ticket.Ticket{}, errors.Errorf("ticket %d: %v", num, faults[0])
	}
	return tic, nil
}

func encodeRecord(rec ticket.Record) ([]byte, error) {
	raw, err := EncodeObject(rec.Object())
	if err != nil {
		return nil, err
	}
	body, err := json.Marshal(objectBody{Kind: string(rec.Key().Kind()), Name: rec.Key().Name(),
		Version: uint64(rec.Version()), State: raw})
	return body, wrapped(err, "encode record")
}

func decodeRecord(raw []byte) (ticket.Record, error) {
	var bod objectBody
	if err := decodeStrict(raw, &bod); err != nil {
		return ticket.Record{}, errors.Wrap(err, "decode record")
	}
	obj, faults := decodeObject(bod.Kind, bod.State, "")
	if len(faults) > 0 {
		return ticket.Record{}, errors.Errorf("record %s/%s: %v", bod.Kind, bod.Name, faults[0])
	}
	return ticket.NewRecord(ticket.NewKey(kindOf(bod.Kind), bod.Name), ticket.Number(bod.Version), obj), nil
}
