package config_test

import (
	"flag"
	"os"
	"strconv"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var suite *testing.T

func TestConfig(t *testing.T) {
	suite = t
	RegisterFailHandler(Fail)
	Expect(flag.Set("rapid.seed", "1")).To(Succeed())
	if seeds, err := strconv.Atoi(os.Getenv("JACINTHPOST_SEEDS")); err == nil {
		Expect(flag.Set("rapid.checks", strconv.Itoa(100*seeds))).To(Succeed())
	}
	RunSpecs(t, "config")
}
