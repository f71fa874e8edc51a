// Package platform is the stand-in for the platform's table service and object
// store: an HTTP server that keeps everything in memory and whose faults are
// switched while it runs.
//
// One control loop owns the rows, objects, faults and counters. Each HTTP
// request runs on its own goroutine, asks the loop for a verdict and for the
// effect, and waits for the latency in between. A write that is delayed by the
// latency takes effect even if the client has given up meanwhile, as a real
// service does. Nothing survives a restart.
package platform

import (
	"slices"
	"strings"

	"jacinthpost/io/table/tableapi"
)

// rowTable holds the rows in key order.
type rowTable struct {
	keys    []string
	rows    map[string]tableapi.Row
	version uint64
}

func (tab *rowTable) row(key string) tableapi.Row {
	if row, found := tab.rows[key]; found {
		return row
	}
	return tableapi.Row{Key: key}
}

func (tab *rowTable) commit(req tableapi.TransactionRequest) tableapi.TransactionReply {
	rep := tableapi.TransactionReply{ID: req.ID}
	for _, con := range req.Conditions {
		if row := tab.row(con.Key); row.Version != con.Version {
			rep.Conflicts = append(rep.Conflicts, row)
		}
	}
	if len(rep.Conflicts) > 0 {
		return rep
	}
	tab.version++
	for _, wrt := range req.Writes {
		tab.write(wrt)
	}
	rep.Committed, rep.Version = true, tab.version
	return rep
}

func (tab *rowTable) write(wrt tableapi.Write) {
	pos, found := slices.BinarySearch(tab.keys, wrt.Key)
	switch {
	case wrt.Delete && found:
		tab.keys = slices.Delete(tab.keys, pos, pos+1)
		delete(tab.rows, wrt.Key)
	case wrt.Delete:
	default:
		if !found {
			tab.keys = slices.Insert(tab.keys, pos, wrt.Key)
		}
		if tab.rows == nil {
			tab.rows = make(map[string]tableapi.Row)
		}
		tab.rows[wrt.Key] = tableapi.Row{Key: wrt.Key, Value: wrt.Value, Version: tab.version}
	}
}

func (tab *rowTable) read(req tableapi.ReadRequest) tableapi.RowsReply {
	rep := tableapi.RowsReply{Rows: make([]tableapi.Row, 0, len(req.Keys))}
	for _, key := range req.Keys {
		rep.Rows = append(rep.Rows, tab.row(key))
	}
	return rep
}

func (tab *rowTable) list(req tableapi.ListRequest) tableapi.RowsReply {
	rep := tableapi.RowsReply{Rows: []tableapi.Row{}}
	start, found := slices.BinarySearch(tab.keys, max(req.Prefix, req.After))
	if found && req.After >= req.Prefix {
		start++
	}
	size := 0
	for _, key := range tab.keys[start:] {
		if !strings.HasPrefix(key, req.Prefix) {
			break
		}
		if len(rep.Rows) == req.Limit || size >= tableapi.MaxPageBytes {
			rep.More = true
			break
		}
		row := tab.rows[key]
		size += len(row.Value)
		rep.Rows = append(rep.Rows, row)
	}
	return rep
}

// objectTable holds the objects.
type objectTable struct {
	objects map[string][]byte
}

func (tab *objectTable) put(key string, value []byte) {
	if tab.objects == nil {
		tab.objects = make(map[string][]byte)
	}
	tab.objects[key] = value
}
