// Package audit stores the trail of what operators changed or tried to change.
//
// A ticket writes its row in the transaction that accepts it, so the trail and
// the configuration can't disagree. Refused and local actions go through a
// bounded queue that never blocks the request that caused them; rows that don't fit
// or can't be written are dropped and counted. Rows are never changed or deleted.
// Trails and recorders are safe for use from any goroutine.
package audit

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/go-faster/errors"

	"jacinthpost/core/store"
)

const prefix = "audit/"

// MaxList is the largest number of rows that one List returns.
const MaxList = 500

// Change is an object before and after an action, as JSON. Null means that the object doesn't exist.
type Change struct {
	Object string          `json:"object"`
	Before json.RawMessage `json:"before"`
	After  json.RawMessage `json:"after"`
}

// Entry is one row of the trail.
type Entry struct {
	Key      string    `json:"key"`
	At       time.Time `json:"at"`
	Actor    string    `json:"actor"`
	Instance string    `json:"instance"` // the process that took the action
	Action   string    `json:"action"`
	Ticket   uint64    `json:"ticket,omitempty"`
	Outcome  string    `json:"outcome"`
	Detail   string    `json:"detail,omitempty"`
	Changes  []Change  `json:"changes,omitempty"`
}

// keyOf orders rows by time; the identity distinguishes rows of the same millisecond.
func keyOf(at time.Time, identity string) string {
	return fmt.Sprintf("%s%013d/%s", prefix, at.UnixMilli(), identity)
}

// Add puts the row of an entry into a transaction. The identity must be unique
// within a millisecond, for example the number of a ticket.
func Add(txn *store.Transaction, ent Entry, identity string) error {
	ent.Key = keyOf(ent.At, identity)
	body, err := json.Marshal(ent)
	if err != nil {
		return errors.Wrap(err, "encode audit row")
	}
	txn.Put(ent.Key, body)
	return nil
}

// Trail reads the audit rows.
type Trail struct{ table store.Table }

// NewTrail returns the trail kept in a table.
func NewTrail(tab store.Table) *Trail { return &Trail{table: tab} }

// List returns up to limit rows, oldest first, whose key is greater than after.
// A row that cannot be decoded is returned with its key and the outcome "damaged".
func (tra *Trail) List(ctx context.Context, after string, limit int) ([]Entry, error) {
	rows, err := tra.table.List(ctx, prefix, after, max(0, min(limit, MaxList)))
	if err != nil {
		return nil, errors.Wrap(err, "list audit rows")
	}
	entries := make([]Entry, 0, len(rows))
	for _, row := range rows {
		var ent Entry
		if err := json.Unmarshal(row.Value(), &ent); err != nil {
			ent = Entry{Outcome: "damaged", Detail: err.Error()}
		}
		ent.Key = row.Key()
		entries = append(entries, ent)
	}
	return entries, nil
}
