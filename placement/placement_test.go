package placement_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dogwoodline.example/placement"
)

func TestPlacement(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "placement")
}

var _ = Describe("Map", func() {
	It("decodes what it encoded", func() {
		m := placement.NewMap(64)
		m.Assign([]string{"a", "b", "c"})
		m.Takeover("a", []string{"b", "c"})
		value, err := m.Encode()
		Expect(err).NotTo(HaveOccurred())
		Expect(placement.Decode(value)).To(Equal(m))
	})
})
