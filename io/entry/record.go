package entry

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/url"
	"strings"

	"github.com/go-faster/errors"

	"jacinthpost/core/attempt"
	"jacinthpost/core/fleet"
)

// recordRow is the JSON form of an attempt.Record in the table.
type recordRow struct {
	Digest      string `json:"digest"`
	Number      int    `json:"number"`
	RequestID   string `json:"requestID"`
	Instance    string `json:"instance"`
	Incarnation uint64 `json:"incarnation"`
	Address     string `json:"address"`
	State       string `json:"state"`
	Status      int    `json:"status,omitempty"`
	Body        []byte `json:"body,omitempty"`
	Object      string `json:"object,omitempty"`
}

// rowKey returns the key of the row of a keyed request. The parts are escaped, so that no workspace can
// access a row of another.
func rowKey(req Request) string {
	parts := []string{"key", url.PathEscape(string(req.workspace)), url.PathEscape(string(req.service)), url.PathEscape(req.key)}
	return strings.Join(parts, "/")
}

// digest returns a SHA-256 hash of the path and body, which detects a key that is reused for another
// request.
func digest(req Request) string {
	sum := sha256.New()
	sum.Write([]byte(req.path))
	sum.Write([]byte{0})
	sum.Write(req.body)
	return hex.EncodeToString(sum.Sum(nil))
}

func encodeRecord(rec attempt.Record) []byte {
	row := recordRow{
		Digest:      rec.Digest(),
		Number:      rec.Number(),
		RequestID:   rec.RequestID(),
		Instance:    string(rec.Target().Instance()),
		Incarnation: uint64(rec.Target().Incarnation()),
		Address:     rec.Target().Address(),
		State:       string(rec.State()),
		Status:      rec.Answer().Status(),
		Body:        rec.Answer().Body(),
		Object:      rec.Answer().Object(),
	}
	data, err := json.Marshal(row)
	if err != nil {
		panic("entry: a record of plain fields cannot be encoded: " + err.Error())
	}
	return data
}

func decodeRecord(data []byte) (attempt.Record, error) {
	var row recordRow
	if err := json.Unmarshal(data, &row); err != nil {
		return attempt.Record{}, errors.Wrap(err, "decode row of keyed request")
	}
	tgt := fleet.NewPeer(fleet.InstanceID(row.Instance), fleet.Incarnation(row.Incarnation), row.Address)
	ans := attempt.NewAnswer(row.Status, row.Body)
	if row.Object != "" {
		ans = attempt.NewStoredAnswer(row.Status, row.Object)
	}
	return attempt.Restore(row.Digest, row.Number, row.RequestID, tgt, attempt.State(row.State), ans), nil
}
