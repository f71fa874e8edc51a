package batchstore

import (
	"strconv"
	"strings"

	"github.com/go-faster/errors"

	"jacinthpost/core/batch"
	"jacinthpost/core/store"
)

// The state of a job is one row if it fits. Otherwise its encoding is cut into pieces, and the row of the state only
// tells what callers ask for and how many pieces there are. All rows of a state are written in one transaction.

// partSeparator separates the ID of a job from the number of a piece in a key.
const partSeparator = "/"

// splitState is the first row of a state in several rows. It decodes as a batch.JobRecord.
type splitState struct {
	ID     string         `json:"id"`
	Queue  string         `json:"queue"`
	State  batch.JobState `json:"state"`
	Pieces int            `json:"pieces"`
	Bytes  int            `json:"bytes"` // of all pieces
}

func (par Partition) pieceKey(id string, num int) string {
	return par.StateKey(id) + partSeparator + strconv.Itoa(num)
}

// PutState adds the writes of a job's state to a transaction. No row is larger than rowBytes, if that is positive. The
// state had the given number of pieces before; PutState removes those that it does not write again and returns the new
// number, zero for a state of one row.
func (par Partition) PutState(txn *store.Transaction, rec batch.JobRecord, rowBytes, before int) int {
	data := Encode(rec)
	num := 0
	if rowBytes > 0 && len(data) > rowBytes {
		head := splitState{ID: rec.ID, Queue: rec.Queue, State: rec.State, Bytes: len(data)}
		for rest := data; len(rest) > 0; num++ {
			size := min(rowBytes, len(rest))
			txn.Put(par.pieceKey(rec.ID, num), rest[:size])
			rest = rest[size:]
		}
		head.Pieces = num
		data = Encode(head)
	}
	txn.Put(par.StateKey(rec.ID), data)
	for old := num; old < before; old++ {
		txn.Delete(par.pieceKey(rec.ID, old))
	}
	return num
}

// DeleteState adds the removal of a job's state with a number of pieces to a transaction.
func (par Partition) DeleteState(txn *store.Transaction, id string, pieces int) {
	txn.Delete(par.StateKey(id))
	for num := range pieces {
		txn.Delete(par.pieceKey(id, num))
	}
}

// StoredState is the state of a job as it was read.
type StoredState struct {
	Record batch.JobRecord
	Pieces int   // see PutState
	Err    error // why the state can't be decoded
}

// DecodeStates decodes all rows of states of a partition.
func (par Partition) DecodeStates(rows []store.Row) map[string]StoredState {
	pieces := make(map[string][]byte)
	heads := make(map[string][]byte)
	for _, row := range rows {
		id := strings.TrimPrefix(row.Key(), par.StatesPrefix())
		if strings.Contains(id, partSeparator) {
			pieces[row.Key()] = row.Value()
			continue
		}
		heads[id] = row.Value()
	}
	out := make(map[string]StoredState, len(heads))
	for id, data := range heads {
		out[id] = par.decodeState(id, data, pieces)
	}
	return out
}

func (par Partition) decodeState(id string, data []byte, pieces map[string][]byte) StoredState {
	head, err := decode[splitState](data, "state row")
	if err != nil {
		return StoredState{Err: err}
	}
	if head.Pieces == 0 {
		rec, err := DecodeState(data)
		return StoredState{Record: rec, Err: err}
	}
	var whole []byte
	for num := range head.Pieces {
		piece, found := pieces[par.pieceKey(id, num)]
		if !found {
			return StoredState{Err: errors.Errorf("state row: piece %d of %d is missing", num, head.Pieces)}
		}
		whole = append(whole, piece...)
	}
	if len(whole) != head.Bytes {
		return StoredState{Err: errors.Errorf("state row: %d bytes in %d pieces, expected %d", len(whole), head.Pieces, head.Bytes)}
	}
	rec, err := DecodeState(whole)
	return StoredState{Record: rec, Pieces: head.Pieces, Err: err}
}
