package store

import (
	"encoding/base64"
	"fmt"
	"strings"
)

// ErrInvalid reports that the service does not accept the content of a call. Nothing was applied, and the same
// call never succeeds, so unlike other causes of ErrUnavailable, which it is one of, it must not be repeated.
var ErrInvalid = fmt.Errorf("content not accepted: %w", ErrUnavailable)

// Limits are what a table service accepts. A zero field sets no limit.
type Limits struct {
	RowBytes         int // of a value
	KeyBytes         int // of each of the first two elements of a key, which end with a slash, and of the rest
	Entries          int // conditions and writes of a transaction
	TransactionBytes int // of an encoded transaction
}

// keyElements is the number of elements of a key: table, part and name.
const keyElements = 3

// entryOverhead is more than what an entry of a transaction takes beside its key and its value.
const entryOverhead = 80

// Check returns an error that is ErrInvalid if the transaction is over the limits.
func (lim Limits) Check(txn *Transaction) error {
	size := entryOverhead
	for _, con := range txn.conditions {
		size += entryOverhead + len(con.key)
	}
	for _, wrt := range txn.writes {
		if exceeds(len(wrt.value), lim.RowBytes) {
			return fmt.Errorf("row %s of %d bytes, at most %d: %w", wrt.key, len(wrt.value), lim.RowBytes, ErrInvalid)
		}
		for _, elm := range strings.SplitN(wrt.key, "/", keyElements) {
			if exceeds(len(elm), lim.KeyBytes) {
				return fmt.Errorf("element of a key of %d bytes, at most %d: %w", len(elm), lim.KeyBytes, ErrInvalid)
			}
		}
		size += entryOverhead + len(wrt.key) + base64.StdEncoding.EncodedLen(len(wrt.value))
	}
	if num := len(txn.conditions) + len(txn.writes); exceeds(num, lim.Entries) {
		return fmt.Errorf("transaction with %d entries, at most %d: %w", num, lim.Entries, ErrInvalid)
	}
	if exceeds(size, lim.TransactionBytes) {
		return fmt.Errorf("transaction of about %d bytes, at most %d: %w", size, lim.TransactionBytes, ErrInvalid)
	}
	return nil
}

func exceeds(num, limit int) bool { return limit > 0 && num > limit }
