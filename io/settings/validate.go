package settings

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"reflect"
	"regexp"
	"strings"

	"github.com/go-faster/errors"
	"github.com/go-playground/validator/v10"
)

// Fault is one error in the settings.
type Fault struct {
	path     string
	value    string
	expected string
}

// valueLimit bounds the value shown, so that a fault fits on one line.
const valueLimit = 100

func newFault(path, value, expected string) Fault {
	if len(value) > valueLimit {
		value = value[:valueLimit] + "..."
	}
	return Fault{path: path, value: value, expected: expected}
}

// Path returns the JSON path of the value.
func (fau Fault) Path() string { return fau.path }

// Value returns the value as JSON, empty when the key is absent.
func (fau Fault) Value() string { return fau.value }

// Expected returns what was expected.
func (fau Fault) Expected() string { return fau.expected }

// String returns the path, the value and what was expected, as shown to operators.
func (fau Fault) String() string {
	if fau.value == "" {
		return fmt.Sprintf("%s: missing, expected %s", fau.path, fau.expected)
	}
	return fmt.Sprintf("%s: is %s, expected %s", fau.path, fau.value, fau.expected)
}

// namePattern allows only characters that are safe in row keys and metric labels.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// expectations describe the rules; %s is the parameter of the rule.
var expectations = map[string]string{
	"required": "a value",
	"name":     "1 to 63 letters, digits, dots, underscores or hyphens, the first a letter or digit",
	"listen":   "an IP address and a port, as in 127.0.0.1:8080",
	"address":  "a specified IP address and a port, as in 127.0.0.1:8080",
	"ip":       "an IP address, as in 127.0.0.1",
	"min":      "at least %s",
	"max":      "at most %s",
	"oneof":    "one of: %s",
	"unique":   "no value twice",
}

var validators = map[Role]*validator.Validate{Entry: newValidator(Entry), Agent: newValidator(Agent)}

// newValidator returns a validator of the role's tags that names fields by their JSON keys.
func newValidator(rol Role) *validator.Validate {
	val := validator.New(validator.WithRequiredStructEnabled())
	val.SetTagName(string(rol))
	val.RegisterTagNameFunc(func(fld reflect.StructField) string { return fld.Tag.Get("json") })
	for tag, check := range map[string]func(string) bool{
		"name":    namePattern.MatchString,
		"listen":  isListenAddress,
		"address": isAddress,
	} {
		err := val.RegisterValidation(tag, func(fld validator.FieldLevel) bool { return check(fld.Field().String()) })
		if err != nil {
			panic("settings: register rule " + tag + ": " + err.Error())
		}
	}
	return val
}

func isListenAddress(text string) bool {
	adr, err := netip.ParseAddrPort(text)
	return err == nil && adr.Port() != 0
}

// isAddress also excludes 0.0.0.0 and [::], which other processes cannot dial.
func isAddress(text string) bool {
	adr, err := netip.ParseAddrPort(text)
	return err == nil && adr.Port() != 0 && !adr.Addr().IsUnspecified()
}

// validate adds a fault for each rule that the document breaks, except for
// values that have a fault already.
func (psr *parser) validate() {
	var broken validator.ValidationErrors
	if err := validators[psr.role].Struct(psr.doc); err != nil && !errors.As(err, &broken) {
		panic("settings: validate: " + err.Error())
	}
	for _, err := range broken {
		path := "$" + strings.TrimPrefix(err.Namespace(), "document")
		expected := expectations[err.Tag()]
		if strings.Contains(expected, "%s") {
			expected = fmt.Sprintf(expected, err.Param())
		}
		psr.add(path, psr.brokenValue(err), expected)
	}
	psr.checkListenAddresses()
}

// brokenValue returns the value of a broken rule as JSON, empty when the key is absent.
func (psr *parser) brokenValue(err validator.FieldError) string {
	key, _, _ := strings.Cut(err.Field(), "[")
	if !psr.seen[key] {
		return ""
	}
	text, _ := json.Marshal(err.Value())
	return string(text)
}

// checkListenAddresses checks that no two TCP listeners share an address. Gossip is UDP and
// may use the port of a TCP listener.
func (psr *parser) checkListenAddresses() {
	taken := make(map[string]string)
	for _, lsn := range []struct{ key, address string }{
		{"callerAddress", psr.doc.CallerAddress},
		{"localAddress", psr.doc.LocalAddress},
		{"peerAddress", psr.doc.PeerAddress},
		{"metricsAddress", psr.doc.MetricsAddress},
	} {
		if lsn.address == "" {
			continue
		}
		if other := taken[lsn.address]; other != "" {
			psr.add("$."+lsn.key, `"`+lsn.address+`"`, "an address other than that of "+other)
		}
		taken[lsn.address] = lsn.key
	}
}
