package config_test

import (
	"os"
	"strconv"
	"testing"

	. "github.com/onsi/ginkgo/v2"

	"jacinthpost/internal/proptest"
	"jacinthpost/internal/specs"
)

var suite *testing.T

// seeds returns how many seeds each randomised test tries, as a multiple of the standard number.
func seeds() int {
	num, err := strconv.Atoi(os.Getenv("JACINTHPOST_SEEDS"))
	if err != nil {
		return 1
	}
	return num
}

// seedEntries returns table entries for the standard seeds, or as many more as are asked for.
func seedEntries(standard int) []TableEntry {
	var entries []TableEntry
	for seed := range standard * seeds() {
		entries = append(entries, Entry("seed "+strconv.Itoa(seed), uint64(seed)))
	}
	return entries
}

func TestConfig(t *testing.T) {
	suite = t
	if err := proptest.Setup(30, 30); err != nil {
		t.Fatal(err)
	}
	specs.Run(t, "config")
}
