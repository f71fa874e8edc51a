package reqlog

import (
	"strconv"
	"strings"

	"jacinthpost/core/fleet"
)

// ID identifies one attempt of an entry to have a request served by an agent. An entry
// is a process that accepts requests from clients. It never uses an ID for two
// attempts: its counter increases within an incarnation, and its incarnation increases
// with each process. Both start at one.
type ID struct {
	entry       fleet.InstanceID
	incarnation fleet.Incarnation
	counter     uint64
}

// NewID returns the ID of the request with a counter of an entry process.
func NewID(ent fleet.InstanceID, inc fleet.Incarnation, counter uint64) ID {
	return ID{entry: ent, incarnation: inc, counter: counter}
}

// Entry returns the instance on which the entry runs.
func (rid ID) Entry() fleet.InstanceID { return rid.entry }

// Incarnation returns the incarnation of the entry process.
func (rid ID) Incarnation() fleet.Incarnation { return rid.incarnation }

// Counter returns the position of the request among those of the entry process.
func (rid ID) Counter() uint64 { return rid.counter }

// String returns the text form entry/incarnation/counter.
func (rid ID) String() string {
	return string(rid.entry) + "/" + strconv.FormatUint(uint64(rid.incarnation), 10) + "/" + strconv.FormatUint(rid.counter, 10)
}

// ParseID parses the text form. The name of the entry may contain slashes.
func ParseID(text string) (ID, bool) {
	head, counter, ok := cutLast(text)
	if !ok {
		return ID{}, false
	}
	ent, incarnation, ok := cutLast(head)
	if !ok || ent == "" {
		return ID{}, false
	}
	inc, err := strconv.ParseUint(incarnation, 10, 64)
	if err != nil || inc == 0 {
		return ID{}, false
	}
	cnt, err := strconv.ParseUint(counter, 10, 64)
	if err != nil || cnt == 0 {
		return ID{}, false
	}
	return NewID(fleet.InstanceID(ent), fleet.Incarnation(inc), cnt), true
}

func cutLast(text string) (head, tail string, ok bool) {
	pos := strings.LastIndexByte(text, '/')
	if pos < 0 {
		return "", "", false
	}
	return text[:pos], text[pos+1:], true
}
