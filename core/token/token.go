// Package token orders the assignments of tasks.
//
// A token is the epoch of the partition owner that issued it and a sequence
// number within that epoch. A later assignment of a task always has a higher
// token. Tokens are values and may be used from any goroutine.
package token

import "cmp"

// Token identifies one assignment. The zero value is lower than every issued token.
type Token struct {
	epoch    uint64
	sequence uint64
}

// New returns the token with the given epoch and sequence number.
func New(epoch, sequence uint64) Token { return Token{epoch: epoch, sequence: sequence} }

// Epoch returns the epoch of the owner that issued the token.
func (tok Token) Epoch() uint64 { return tok.epoch }

// Sequence returns the sequence number within the epoch.
func (tok Token) Sequence() uint64 { return tok.sequence }

// Compare orders tokens by epoch, then by sequence number.
func (tok Token) Compare(oth Token) int {
	return cmp.Or(cmp.Compare(tok.epoch, oth.epoch), cmp.Compare(tok.sequence, oth.sequence))
}

// IsZero reports whether the token is the zero value.
func (tok Token) IsZero() bool { return tok == Token{} }
