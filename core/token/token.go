// Package token orders the successive assignments of a task.
//
// The owner of a partition issues one token per assignment: its epoch, which
// grows with every takeover of the partition, and a sequence within the epoch.
// Agents and workers accept a higher token and refuse a lower one, so an outdated
// owner cannot start a task again. Tokens are plain values that any goroutine may
// use; the zero token is lower than every issued one.
package token

import (
	"cmp"
	"fmt"
)

// Token identifies one assignment of a task.
type Token struct {
	epoch    uint64
	sequence uint64
}

// New returns the token of an epoch and a sequence within it.
func New(epoch, sequence uint64) Token { return Token{epoch: epoch, sequence: sequence} }

// Epoch returns the epoch of the owner that issued the token.
func (tok Token) Epoch() uint64 { return tok.epoch }

// Sequence returns the position within the epoch.
func (tok Token) Sequence() uint64 { return tok.sequence }

// IsZero reports whether the token is the zero token, which no owner issues.
func (tok Token) IsZero() bool { return tok == Token{} }

// Compare orders tokens by epoch, then by sequence.
func (tok Token) Compare(oth Token) int {
	return cmp.Or(cmp.Compare(tok.epoch, oth.epoch), cmp.Compare(tok.sequence, oth.sequence))
}

// Less reports whether the token was issued before the other one.
func (tok Token) Less(oth Token) bool { return tok.Compare(oth) < 0 }

// String returns the epoch and the sequence separated by a dot, for explanations and logs.
func (tok Token) String() string { return fmt.Sprintf("%d.%d", tok.epoch, tok.sequence) }
