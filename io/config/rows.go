package config

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/go-faster/errors"

	"jacinthpost/core/store"
	"jacinthpost/core/ticket"
)

// Keys of the table. The head row changes with each ticket, so reading it alone
// shows whether there are new tickets.
const (
	headKey      = "config/head"
	ticketPrefix = "config/ticket/"
	objectPrefix = "config/object/"
)

// Maximum number of rows in one read.
const (
	ticketPage = 64
	objectPage = 200
)

// Ticket numbers in keys have leading zeros, so that key order is the order of the sequence.
func ticketKey(num ticket.Number) string { return fmt.Sprintf("%s%012d", ticketPrefix, num) }

// objectKey returns the key of the row of an object. Workspaces keep the name that
// earlier versions gave their rows, so that the version numbers of stored workspaces continue.
func objectKey(key ticket.Key) string {
	if key.Kind() == ticket.KindWorkspace {
		return objectPrefix + formerWorkspace + "/" + key.Name()
	}
	return objectPrefix + key.String()
}

type headBody struct {
	Number uint64 `json:"number"`
}

func encodeHead(num ticket.Number) []byte {
	raw, _ := json.Marshal(headBody{Number: uint64(num)}) // a number always encodes
	return raw
}

// decodeHead returns the number in the head row, zero before the first ticket.
func decodeHead(row store.Row) (ticket.Number, error) {
	if !row.Exists() {
		return 0, nil
	}
	var bod headBody
	if err := decodeStrict(row.Value(), &bod); err != nil {
		return 0, errors.Wrap(err, "decode head row")
	}
	return ticket.Number(bod.Number), nil
}

// origin is where a node can read the configuration from: the table or a peer.
type origin interface {
	// head returns the number of the last ticket.
	head(ctx context.Context) (ticket.Number, error)
	// tickets returns tickets that follow the number without a gap, as many as fit a page.
	tickets(ctx context.Context, after, head ticket.Number) ([]ticket.Ticket, error)
	// records returns a page of objects and the text to continue after, empty at the end.
	records(ctx context.Context, after string) ([]ticket.Record, string, error)
}

// tableOrigin reads the rows of the table.
type tableOrigin struct{ table store.Table }

func (org tableOrigin) head(ctx context.Context) (ticket.Number, error) {
	rows, err := org.table.Read(ctx, headKey)
	if err != nil {
		return 0, errors.Wrap(err, "read head row")
	}
	return decodeHead(rows[0])
}

func (org tableOrigin) tickets(ctx context.Context, after, head ticket.Number) ([]ticket.Ticket, error) {
	var keys []string
	for num := after + 1; num <= head && len(keys) < ticketPage; num++ {
		keys = append(keys, ticketKey(num))
	}
	rows, err := org.table.Read(ctx, keys...)
	if err != nil {
		return nil, errors.Wrap(err, "read ticket rows")
	}
	tickets := make([]ticket.Ticket, 0, len(rows))
	for idx, row := range rows {
		if !row.Exists() {
			return nil, errors.Errorf("row %s is missing below the head", row.Key())
		}
		tic, err := decodeTicketRow(after+1+ticket.Number(idx), row.Value())
		if err != nil {
			return nil, err
		}
		tickets = append(tickets, tic)
	}
	return tickets, nil
}

func (org tableOrigin) records(ctx context.Context, after string) ([]ticket.Record, string, error) {
	rows, err := org.table.List(ctx, objectPrefix, after, objectPage)
	if err != nil {
		return nil, "", errors.Wrap(err, "list objects")
	}
	records := make([]ticket.Record, 0, len(rows))
	for _, row := range rows {
		rec, err := decodeRecord(row.Value())
		if err != nil {
			return nil, "", err
		}
		records = append(records, rec)
	}
	if len(rows) < objectPage {
		return records, "", nil
	}
	return records, rows[len(rows)-1].Key(), nil
}

// Load reads the whole configuration from the table, for example for an operator command.
func Load(ctx context.Context, tab store.Table) (ticket.State, error) {
	return load(ctx, tableOrigin{tab})
}

// load reads the whole configuration from its objects instead of replaying every
// ticket. Tickets accepted meanwhile are replayed on top, so that the result is
// the configuration after some ticket and never a mixture.
func load(ctx context.Context, org origin) (ticket.State, error) {
	base, err := org.head(ctx)
	if err != nil {
		return ticket.State{}, err
	}
	var records []ticket.Record
	for after, more := "", true; more; more = after != "" {
		page, next, err := org.records(ctx, after)
		if err != nil {
			return ticket.State{}, err
		}
		records = append(records, page...)
		after = next
	}
	head, err := org.head(ctx)
	if err != nil {
		return ticket.State{}, err
	}
	since, err := readTickets(ctx, org, base, head)
	if err != nil {
		return ticket.State{}, err
	}
	sta, whole := ticket.RestoreAndReplay(base, records, since)
	if !whole {
		return ticket.State{}, errors.Errorf("objects and tickets between %d and %d don't agree", base, head)
	}
	return sta, nil
}

// readTickets returns every ticket after one number up to another.
func readTickets(ctx context.Context, org origin, after, head ticket.Number) ([]ticket.Ticket, error) {
	var tickets []ticket.Ticket
	for after < head {
		page, err := org.tickets(ctx, after, head)
		if err != nil {
			return nil, err
		}
		if len(page) == 0 {
			return nil, errors.Errorf("no ticket after %d, though the head is %d", after, head)
		}
		tickets = append(tickets, page...)
		after = page[len(page)-1].Number()
	}
	return tickets, nil
}
