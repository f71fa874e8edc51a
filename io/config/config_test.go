package config_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var suite *testing.T

func TestConfig(t *testing.T) {
	suite = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "config")
}
