// Package proptest configures the property tests of package rapid with a fixed seed.
//
// The environment variable JACINTHPOST_SEEDS multiplies the number of cases. All cases derive
// from the same seed. Tests must call Setup before they check any property.
package proptest

import (
	"flag"
	"os"
	"strconv"

	"github.com/go-faster/errors"
)

// Setup sets the seed, the number of cases of each property, and the average number of steps
// of each state machine.
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
