package ticket

import (
	"fmt"
	"strings"
	"time"
	"unicode/utf8"

	"jacinthpost/core/resource"
)

// Limits of tickets. They bound the memory and time that a ticket costs each node, and keep an
// encoded ticket far below the maximum size of a table row.
const (
	MaxChanges       = 64
	MaxNameLength    = 128  // bytes
	MaxReasonLength  = 1024 // bytes
	MaxPaths         = 64
	MaxPathLength    = 256 // bytes
	MaxSettings      = 64
	MaxSettingLength = 1024        // bytes
	MaxContentLength = 128 * 1024  // bytes of names, reasons, paths and settings together
	MaxSlots         = 1024        // per instance
	MaxConnections   = 65_536      // per instance
	MaxQueue         = 100_000     // requests per instance
	MaxWorkspaceRate = 1_000_000.0 // requests per second
	MinLease         = 10 * time.Second
	MaxLease         = 4 * time.Hour
	MaxTimeout       = 10 * time.Minute
)

// maxResources exceeds the resources of the largest instances on the market.
var maxResources = resource.New(4_096_000, 64*1024*1024, 1024)

// Fault is an invalid value in a ticket.
type Fault struct {
	path        string
	value       string
	expectation string
}

// NewFault returns a fault of the value at a path such as changes[0].name.
func NewFault(path, value, expectation string) Fault {
	return Fault{path: path, value: value, expectation: expectation}
}

// Path returns the path of the value in the ticket, such as changes[0].name.
func (flt Fault) Path() string { return flt.path }

// Value returns the value as text, shortened if it is long.
func (flt Fault) Value() string { return flt.value }

// Expectation returns a description of the valid values.
func (flt Fault) Expectation() string { return flt.expectation }

// String formats the fault as an error message.
func (flt Fault) String() string {
	return fmt.Sprintf("%s: %q: expected %s", flt.path, flt.value, flt.expectation)
}

// checker collects the faults of a ticket. The path is the prefix of the fields being checked, and
// content the total length of the texts checked so far.
type checker struct {
	path    string
	content int
	faults  []Fault
}

func (chk *checker) require(holds bool, field string, value any, expectation string) {
	if !holds {
		chk.faults = append(chk.faults, NewFault(chk.path+field, excerpt(fmt.Sprint(value)), expectation))
	}
}

// excerpt shortens a long text, so that the fault of a huge value stays small.
func excerpt(txt string) string {
	const limit = 64
	if len(txt) <= limit {
		return txt
	}
	return strings.ToValidUTF8(txt[:limit], "") + "..."
}

func (chk *checker) text(field, txt string, limit int, required bool) {
	chk.content += len(txt)
	holds := len(txt) <= limit && (!required || strings.TrimSpace(txt) != "") && utf8.ValidString(txt)
	expectation := fmt.Sprintf("at most %d bytes of UTF-8 text", limit)
	if required {
		expectation += ", not empty"
	}
	chk.require(holds, field, txt, expectation)
}

func (chk *checker) name(field, txt string) {
	chk.content += len(txt)
	chk.require(ValidName(txt), field, txt,
		fmt.Sprintf("1 to %d letters, digits or . _ : @ -, first a letter or digit", MaxNameLength))
}

func (chk *checker) intBetween(field string, val, low, high int) {
	chk.require(val >= low && val <= high, field, val, fmt.Sprintf("%d to %d", low, high))
}

// floatUpTo requires a value from 0 to high. NaN is refused too, because its comparisons are false.
func (chk *checker) floatUpTo(field string, val, high float64) {
	chk.require(val >= 0 && val <= high, field, val, fmt.Sprintf("0 to %g", high))
}

func (chk *checker) durationBetween(field string, val, low, high time.Duration) {
	chk.require(val >= low && val <= high, field, val, fmt.Sprintf("%v to %v", low, high))
}

// ValidName reports whether the text is a valid name of an object. Names become parts of row keys
// and datagrams and therefore can't contain slashes, spaces or quotes.
func ValidName(txt string) bool {
	if txt == "" || len(txt) > MaxNameLength || strings.IndexByte("._:@-", txt[0]) >= 0 {
		return false
	}
	return strings.IndexFunc(txt, func(chr rune) bool { return !isNameRune(chr) }) < 0
}

func isNameRune(chr rune) bool {
	switch {
	case chr >= 'a' && chr <= 'z', chr >= 'A' && chr <= 'Z', chr >= '0' && chr <= '9':
		return true
	default:
		return strings.ContainsRune("._:@-", chr)
	}
}

// Validate returns the faults of a ticket that can be found without the current configuration.
func Validate(tic Ticket) []Fault {
	chk := &checker{}
	chk.require(tic.number > 0, "number", tic.number, "at least 1")
	chk.name("author", tic.author)
	chk.text("reason", tic.reason, MaxReasonLength, true)
	chk.intBetween("changes", len(tic.changes), 1, MaxChanges)
	seen := make(map[Key]bool)
	if len(tic.changes) > MaxChanges {
		return chk.faults // checking an unlimited number of changes would be too costly
	}
	for idx, chg := range tic.changes {
		chk.path = fmt.Sprintf("changes[%d].", idx)
		chk.require(!seen[chg.Key()], "name", chg.name, "each object at most once in a ticket")
		seen[chg.Key()] = true
		chk.change(tic.number, chg)
	}
	chk.path = ""
	chk.require(chk.content <= MaxContentLength, "changes", chk.content, fmt.Sprintf("at most %d bytes of text in all", MaxContentLength))
	return chk.faults
}

func (chk *checker) change(num Number, chg Change) {
	chk.name("name", chg.name)
	chk.require(chg.base < max(num, 1), "baseVersion", chg.base, "a number below that of the ticket")
	if chg.object == nil {
		chk.require(false, "kind", "", fmt.Sprint("one of ", Kinds()))
		return
	}
	path := chk.path
	chk.path += "state."
	chg.object.check(chk)
	chk.path = path
}

func (svc Service) check(chk *checker) {
	chk.intBetween("slots", svc.slots, 1, MaxSlots)
	chk.intBetween("connections", svc.connections, 1, MaxConnections)
	chk.durationBetween("defaultTimeoutMillis", svc.timeout, time.Millisecond, MaxTimeout)
	chk.intBetween("idempotentPaths", len(svc.idempotentPaths), 0, MaxPaths)
	for idx, pth := range svc.idempotentPaths[:min(len(svc.idempotentPaths), MaxPaths)] {
		field := fmt.Sprintf("idempotentPaths[%d]", idx)
		chk.text(field, pth, MaxPathLength, true)
		chk.require(strings.HasPrefix(pth, "/"), field, pth, "a path that starts with /")
	}
}

func (cls JobClass) check(chk *checker) {
	holds := cls.resources.Valid() && cls.resources.FitsIn(maxResources) && cls.resources.MilliCPU() > 0
	chk.require(holds, "resources", cls.resources, "some processor time and no negative or impossible amount")
	chk.durationBetween("leaseMillis", cls.lease, MinLease, MaxLease)
	chk.durationBetween("outageSeconds", cls.toleratedOutage, 0, MaxLease)
}

func (dc DataCentre) check(chk *checker) { chk.text("reason", dc.reason, MaxReasonLength, dc.out) }

func (adm Admission) check(chk *checker) {
	chk.intBetween("maxQueue", adm.maxQueue, 0, MaxQueue)
	chk.floatUpTo("workspaceRate", adm.workspaceRate, MaxWorkspaceRate)
	chk.floatUpTo("batchShare", adm.batchShare, 1)
}

func (wsp Workspace) check(chk *checker) {
	if wsp.team != "" {
		chk.name("team", string(wsp.team))
	}
	chk.intBetween("settings", len(wsp.settings), 0, MaxSettings)
	if len(wsp.settings) > MaxSettings {
		return
	}
	for _, key := range sortedKeys(wsp.settings) {
		chk.name("settings", key)
		chk.text("settings."+excerpt(key), wsp.settings[key], MaxSettingLength, false)
	}
}

func (Endpoint) check(*checker) {}

func (tea Team) check(chk *checker) {
	chk.floatUpTo("cpuShare", tea.cpuShare, 1)
	chk.floatUpTo("memoryShare", tea.memoryShare, 1)
	chk.floatUpTo("acceleratorShare", tea.acceleratorShare, 1)
}
