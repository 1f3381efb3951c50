package program_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestProgram(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "program")
}
