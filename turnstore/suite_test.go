package turnstore

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestTurnstore(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "turnstore")
}
