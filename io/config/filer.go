package config

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-faster/errors"

	"jacinthpost/core/store"
	"jacinthpost/core/ticket"
	"jacinthpost/io/audit"
)

// Filing retries after lost answers and concurrent commits. The number of tries bounds how long
// an operator waits; a ticket whose outcome is still uncertain is reported as unknown.
const (
	fileTries   = 8
	fileTimeout = 5 * time.Second // one call to the table
)

// Recorder takes audit entries of refused tickets without blocking.
type Recorder interface {
	Record(ent audit.Entry) bool
}

// Filer files tickets into the table. It keeps no state and is safe for use
// from any goroutine and in any number of processes.
type Filer struct {
	table    store.Table
	recorder Recorder
	instance string
	clock    func() time.Time
}

// NewFiler returns a filer whose audit rows name the instance.
func NewFiler(tab store.Table, rec Recorder, instance string, clock func() time.Time) *Filer {
	return &Filer{table: tab, recorder: rec, instance: instance, clock: clock}
}

// rowView is the part of the table that decides the outcome of one ticket.
type rowView struct {
	head     ticket.Number
	headRow  store.Row
	accepted map[ticket.Number]ticket.Ticket
	ticRow   store.Row
	objects  map[ticket.Key]ticket.Record
	rows     map[ticket.Key]store.Row
}

// Head implements ticket.View.
func (vie rowView) Head() ticket.Number { return vie.head }

// AcceptedTicket implements ticket.View.
func (vie rowView) AcceptedTicket(num ticket.Number) (ticket.Ticket, bool) {
	tic, found := vie.accepted[num]
	return tic, found
}

// Object implements ticket.View.
func (vie rowView) Object(key ticket.Key) (ticket.Object, ticket.Number) {
	rec := vie.objects[key]
	return rec.Object(), rec.Version()
}

// File files a ticket and returns the outcome.
func (fil *Filer) File(ctx context.Context, tic ticket.Ticket) ticket.Outcome {
	out := fil.file(ctx, tic)
	metrics.GetOrCreateCounter(`jacinthpost_config_filed_tickets_total{outcome="` + out.Kind().String() + `"}`).Inc()
	if out.Kind() != ticket.OutcomeAccepted && fil.recorder != nil {
		fil.recorder.Record(fil.entry(tic, out))
	}
	return out
}

func (fil *Filer) file(ctx context.Context, tic ticket.Ticket) ticket.Outcome {
	if faults := ticket.Validate(tic); len(faults) > 0 {
		return ticket.Invalid(faults...)
	}
	uncertain := false // an earlier commit may have been applied
	var cause error
	for range fileTries {
		if ctx.Err() != nil {
			break
		}
		vie, err := fil.read(ctx, tic)
		if err != nil {
			cause = err
			if !errors.Is(err, store.ErrUncertain) {
				break // the table is down; whether to retry is left to the operator
			}
			continue // a lost answer to a read is harmless
		}
		out := ticket.Decide(vie, tic)
		if out.Kind() == ticket.OutcomeSame && uncertain {
			return ticket.Accepted(tic) // an earlier try of this call
		}
		if out.Kind() != ticket.OutcomeAccepted {
			return out
		}
		res, err := fil.commit(ctx, vie, tic)
		if err == nil && res.Committed() {
			return out
		}
		cause = err
		uncertain = uncertain || (err != nil && !errors.Is(err, store.ErrUnavailable))
		if errors.Is(err, store.ErrUnavailable) {
			break
		}
	}
	return undecided(uncertain, cause)
}

func undecided(uncertain bool, cause error) ticket.Outcome {
	if uncertain {
		return ticket.Unknown(fmt.Sprint("the answer of the table was lost: ", cause))
	}
	return ticket.Unavailable(fmt.Sprint("the table did not take the ticket: ", cause))
}

// read fetches, in one call, all rows that decide the outcome of the ticket.
func (fil *Filer) read(ctx context.Context, tic ticket.Ticket) (rowView, error) {
	changes := tic.Changes()
	keys := []string{headKey, ticketKey(tic.Number())}
	for _, chg := range changes {
		keys = append(keys, objectKey(chg.Key()))
	}
	limited, cancel := context.WithTimeout(ctx, fileTimeout)
	defer cancel()
	rows, err := fil.table.Read(limited, keys...)
	if err != nil {
		return rowView{}, errors.Wrap(err, "read rows of ticket")
	}
	return newRowView(tic, rows)
}

func newRowView(tic ticket.Ticket, rows []store.Row) (rowView, error) {
	vie := rowView{headRow: rows[0], ticRow: rows[1], accepted: make(map[ticket.Number]ticket.Ticket),
		objects: make(map[ticket.Key]ticket.Record), rows: make(map[ticket.Key]store.Row)}
	head, err := decodeHead(rows[0])
	if err != nil {
		return rowView{}, err
	}
	vie.head = head
	if rows[1].Exists() {
		accepted, err := decodeTicketRow(tic.Number(), rows[1].Value())
		if err != nil {
			return rowView{}, err
		}
		vie.accepted[tic.Number()] = accepted
	}
	for idx, chg := range tic.Changes() {
		row := rows[2+idx]
		vie.rows[chg.Key()] = row
		if !row.Exists() {
			continue
		}
		rec, err := decodeRecord(row.Value())
		if err != nil {
			return rowView{}, err
		}
		vie.objects[chg.Key()] = rec
	}
	return vie, nil
}

// commit writes head, ticket, objects and audit row in one transaction, on the
// condition that nothing that was read has changed.
func (fil *Filer) commit(ctx context.Context, vie rowView, tic ticket.Ticket) (store.Result, error) {
	txn, err := fil.transaction(vie, tic)
	if err != nil {
		return store.Result{}, errors.Wrap(store.ErrUnavailable, err.Error())
	}
	limited, cancel := context.WithTimeout(ctx, fileTimeout)
	defer cancel()
	res, err := fil.table.Commit(limited, txn)
	return res, wrapped(err, "commit ticket")
}

func (fil *Filer) transaction(vie rowView, tic ticket.Ticket) (*store.Transaction, error) {
	txn := &store.Transaction{}
	body, err := EncodeTicket(tic)
	if err != nil {
		return nil, err
	}
	txn.Require(headKey, vie.headRow.Version())
	txn.Put(headKey, encodeHead(tic.Number()))
	txn.Require(ticketKey(tic.Number()), 0)
	txn.Put(ticketKey(tic.Number()), body)
	ent := fil.entry(tic, ticket.Accepted(tic))
	for _, chg := range tic.Changes() {
		raw, err := encodeRecord(ticket.NewRecord(chg.Key(), tic.Number(), chg.Object()))
		if err != nil {
			return nil, err
		}
		txn.Require(objectKey(chg.Key()), vie.rows[chg.Key()].Version())
		txn.Put(objectKey(chg.Key()), raw)
		obj, _ := vie.Object(chg.Key())
		before, err := EncodeObject(obj)
		if err != nil {
			return nil, err
		}
		after, err := EncodeObject(chg.Object())
		if err != nil {
			return nil, err
		}
		ent.Changes = append(ent.Changes, audit.Change{Object: chg.Key().String(), Before: before, After: after})
	}
	return txn, audit.Add(txn, ent, fmt.Sprintf("ticket-%d", tic.Number()))
}

// entry describes the filing for the audit trail, without the objects.
func (fil *Filer) entry(tic ticket.Ticket, out ticket.Outcome) audit.Entry {
	return audit.Entry{At: fil.clock(), Actor: tic.Author(), Instance: fil.instance, Action: "file ticket: " + excerpt(tic.Reason()),
		Ticket: uint64(tic.Number()), Outcome: out.Kind().String(), Detail: Explain(out)}
}

// Explain describes an outcome for people.
func Explain(out ticket.Outcome) string {
	switch out.Kind() {
	case ticket.OutcomeConflict:
		return fmt.Sprintf("ticket %d of %s was accepted with other content", out.Ticket().Number(), out.Ticket().Author())
	case ticket.OutcomeGap:
		return fmt.Sprintf("the next number is %d", out.NextNumber())
	case ticket.OutcomeWrongBase:
		return fmt.Sprintf("%s has version %d", out.Key(), out.CurrentVersion())
	case ticket.OutcomeInvalid:
		var lines []string
		for _, flt := range out.Faults() {
			lines = append(lines, flt.String())
		}
		return strings.Join(lines, "; ")
	default:
		return out.Detail()
	}
}
