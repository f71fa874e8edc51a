package ticket

import (
	"crypto/sha256"
	"hash"
	"maps"
	"slices"
	"strconv"
)

// Digest is a hash of a ticket's content. It doesn't depend on how the ticket is encoded.
type Digest [sha256.Size]byte

// digester hashes typed fields. A text is preceded by its length, so that moving characters from
// one field to the next changes the hash.
type digester struct{ hash hash.Hash }

func newDigester() *digester { return &digester{hash: sha256.New()} }

func (dgr *digester) text(txt string) {
	dgr.number(uint64(len(txt)))
	dgr.hash.Write([]byte(txt))
}

func (dgr *digester) number(num uint64) {
	dgr.hash.Write(append(strconv.AppendUint(nil, num, 10), ';'))
}

func (dgr *digester) flag(flg bool) {
	if flg {
		dgr.number(1)
		return
	}
	dgr.number(0)
}

func (dgr *digester) texts(txts []string) {
	dgr.number(uint64(len(txts)))
	for _, txt := range txts {
		dgr.text(txt)
	}
}

func (dgr *digester) mapping(set map[string]string) {
	dgr.number(uint64(len(set)))
	for _, key := range slices.Sorted(maps.Keys(set)) {
		dgr.text(key)
		dgr.text(set[key])
	}
}

func (dgr *digester) sum() Digest { return Digest(dgr.hash.Sum(nil)) }
