// Package specs runs the ginkgo specs of a package in an order that does not
// change between runs, so that CI gives the same verdict each time.
package specs

import (
	"os"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

// seed orders the top-level containers of each suite. By default ginkgo takes
// the time.
const seed = 20261204

// Run runs the specs of the calling package. With JACINTHPOST_SEEDS set, the
// order is random. Specs that match the expression in JACINTHPOST_KNOWN_RED, which
// scripts/test takes from KNOWN-RED.txt, are passed over.
func Run(t *testing.T, name string) {
	t.Helper()
	gomega.RegisterFailHandler(ginkgo.Fail)
	cfg, rep := ginkgo.GinkgoConfiguration()
	if os.Getenv("JACINTHPOST_SEEDS") == "" {
		cfg.RandomSeed = seed
	}
	if red := os.Getenv("JACINTHPOST_KNOWN_RED"); red != "" {
		cfg.SkipStrings = append(cfg.SkipStrings, red)
	}
	ginkgo.RunSpecs(t, name, cfg, rep)
}
