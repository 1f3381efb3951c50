package resource_test

import (
	"errors"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dogwoodline.example/resource"
)

func TestResource(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "resource")
}

var seeds = []struct {
	format resource.Format
	text   string
}{
	{resource.JSON, `{"kind":"tenant","name":"satama","spec":{"share":3,"priority_max":0}}`},
	{resource.JSON, `{"kind":"backend","name":"gpu-1","version":7,"spec":{"pool":"large","address":"[::1]:80","zone":"a"}}`},
	{resource.JSON, `{"kind":"pool","name":"large","spec":{"model":"m\u0000\"","adapters":["x"]}}`},
	{resource.TOML, "kind = 'service'\nname = 'ledger'\n[spec]\naddresses = ['10.0.0.1:80']\noperations = [{name = 'post', cost = 5}]\n"},
	{resource.TOML, `kind = "class"
name = "dispute"
[spec]
pool = "large"
budget_limit = 1000
[[spec.tools]]
service = "ledger"
operation = "credit"
max_cost = 9
`},
	{resource.TOML, "kind = 'pool'\nspec = nan\n"},
	{resource.JSON, `{"kind":"class","name":"x","spec":null}`},
}

// checkRoundTrip guards against a decoder that panics, and against resources
// that change when they are encoded and decoded again in either format.
func checkRoundTrip(data []byte, format resource.Format) error {
	first, err := resource.Decode(data, format)
	if err != nil {
		return nil //nolint:nilerr // invalid input is refused as intended
	}
	want, err := resource.Encode(first, resource.JSON)
	if err != nil {
		return err
	}
	for _, target := range []resource.Format{resource.JSON, resource.TOML} {
		text, err := resource.Encode(first, target)
		if err != nil {
			return err
		}
		second, err := resource.Decode(text, target)
		if err != nil {
			return err
		}
		got, err := resource.Encode(second, resource.JSON)
		if err != nil {
			return err
		}
		if string(got) != string(want) {
			return errors.New(string(target) + " round trip changed the resource: " + string(want) + " became " + string(got))
		}
	}
	return nil
}

func FuzzDecode(f *testing.F) {
	for _, seed := range seeds {
		f.Add([]byte(seed.text), seed.format == resource.TOML)
	}
	f.Fuzz(func(t *testing.T, data []byte, isTOML bool) {
		format := resource.JSON
		if isTOML {
			format = resource.TOML
		}
		if err := checkRoundTrip(data, format); err != nil {
			t.Fatal(err)
		}
	})
}

var _ = Describe("Decode", func() {
	It("applies defaults and distinguishes an explicit zero from a missing field", func() {
		r, err := resource.Decode([]byte(seeds[0].text), resource.JSON)
		Expect(err).NotTo(HaveOccurred())
		tenant := r.Spec.(*resource.Tenant)
		Expect(*tenant.PriorityMax).To(BeZero())
		Expect(tenant.ProgramBudgetMax).To(BeEquivalentTo(1_000_000_000))
	})

	DescribeTable("refuses documents that it cannot decode",
		func(text string, format resource.Format) {
			_, err := resource.Decode([]byte(text), format)
			Expect(err).To(MatchError(resource.ErrMalformed))
		},
		Entry("unknown field", `{"kind":"tenant","name":"a","spec":{"shares":3}}`, resource.JSON),
		Entry("unknown field in TOML", "kind='tenant'\nname='a'\nowner='b'\n[spec]\n", resource.TOML),
		Entry("unknown field in a list", `{"kind":"class","name":"a","spec":{"tools":[{"cost":1}]}}`, resource.JSON),
		Entry("wrong type", `{"kind":"tenant","name":"a","spec":{"share":"3"}}`, resource.JSON),
		Entry("fraction", `{"kind":"tenant","name":"a","spec":{"share":1.5}}`, resource.JSON),
		Entry("two documents", `{"kind":"tenant","name":"a","spec":{}} {}`, resource.JSON),
		Entry("deletion through the field deleted", `{"kind":"tenant","name":"a","deleted":true,"spec":{}}`, resource.JSON),
	)

	It("reports every problem with its field path and allowed range", func() {
		_, err := resource.Decode([]byte(`{"kind":"class","name":"A","spec":{"pool":"p","priority":10,"budget_limit":5,
			"tools":[{"service":"s","operation":"o","max_cost":-1,"retry":{"attempts":2}},{"service":"s","operation":"o"}]}}`), resource.JSON)
		var problems *resource.Problems
		Expect(errors.As(err, &problems)).To(BeTrue())
		var fields []string
		for _, problem := range problems.List {
			fields = append(fields, problem.Field)
		}
		Expect(fields).To(ConsistOf("name", "spec.priority", "spec.tools[0].max_cost",
			"spec.tools[0].retry.attempts", "spec.tools[1]"))
		Expect(err.Error()).To(ContainSubstring("spec.priority: value is 10, allowed: 0 to 9"))
	})

	It("reports the index of the invalid resource in a list", func() {
		_, err := resource.DecodeList([]byte("[[resources]]\nkind='pool'\nname='p'\n[resources.spec]\n"), resource.TOML)
		Expect(err).To(MatchError(ContainSubstring("resources[0].spec.model")))
	})
})

var _ = Describe("Change", func() {
	It("accepts unknown fields written by a newer version of the software", func() {
		var change resource.Change
		Expect(change.UnmarshalJSON([]byte(`{"kind":"tenant","name":"a","version":4,"new":1,"spec":{"share":2,"new":1}}`))).To(Succeed())
		Expect(change.Spec.(*resource.Tenant).Share).To(Equal(2))
	})

	It("refuses a change without a spec, which would erase the resource", func() {
		var change resource.Change
		Expect(change.UnmarshalJSON([]byte(`{"kind":"tenant","name":"a","version":4}`))).To(MatchError(resource.ErrMalformed))
	})
})
