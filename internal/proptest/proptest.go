// Package proptest sets up the property tests of rapid with fixed seeds.
//
// The environment variable JACINTHPOST_SEEDS multiplies the number of cases, all
// of which follow from the same first seed. Tests call Setup before they run
// any property.
package proptest

import (
	"flag"
	"os"
	"strconv"

	"github.com/go-faster/errors"
)

// Setup fixes the first seed and the number of cases of each property, with an
// average number of steps in each state machine.
func Setup(cases, steps int) error {
	if num, err := strconv.Atoi(os.Getenv("JACINTHPOST_SEEDS")); err == nil && num > 1 {
		cases *= num
	}
	for name, val := range map[string]string{
		"rapid.seed":       "20261204",
		"rapid.checks":     strconv.Itoa(cases),
		"rapid.steps":      strconv.Itoa(steps),
		"rapid.nofailfile": "true",
	} {
		if err := flag.Set(name, val); err != nil {
			return errors.Wrap(err, "set "+name)
		}
	}
	return nil
}
