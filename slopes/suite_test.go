package slopes

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestSlopes(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "slopes")
}
