package roles

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dogwoodline.example/emulator/usersplatform"
)

// Guards against a check that overlooks a kind of violation.
var _ = Describe("The check of keys", func() {
	start := time.Unix(1000, 0)
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	log := func(sent float64, status int) *keyLog {
		l := newKeyLog(1)
		l.adding[1], l.added[1], l.removed[1], l.adding[2], l.added[2] = at(0), at(0), at(10), at(10), at(10)
		l.adding[1+keysInForce] = at(10)
		for number := 1; number <= 3; number++ {
			l.requests = append(l.requests, keyRequest{id: fmt.Sprintf("key-%d-0-0", number), number: number, sent: at(sent), ended: at(sent), status: status})
		}
		return l
	}
	ran := func(number int, seconds float64) usersplatform.Run {
		return usersplatform.Run{RequestID: fmt.Sprintf("key-%d-0-0", number), At: at(seconds), Organisation: rotatingOrganisation}
	}
	withKey, forged := ran(2, 11), ran(2, 11)
	withKey.HasKey, forged.Organisation = true, "forged"

	DescribeTable("finds", func(sent float64, status int, unaware []span, want string, runs ...usersplatform.Run) {
		found := strings.Join(log(sent, status).check(runs, unaware), "; ")
		if want == "" {
			Expect(found).To(BeEmpty())
			return
		}
		Expect(found).To(ContainSubstring(want))
	},
		Entry("nothing where a key has just been removed", 12.0, 200, nil, "", ran(1, 12), ran(2, 12)),
		Entry("a key that was removed", 14.0, 200, nil, "after its key was removed", ran(1, 14)),
		Entry("nothing while a front cannot hear of the removal", 14.0, 200, []span{{at(9), at(12)}}, "", ran(1, 14)),
		Entry("a key that was never held", 14.0, 200, nil, "no configuration held", ran(3, 14)),
		Entry("a key that reached the backend server", 11.0, 200, nil, "with its key: true", withKey),
		Entry("another organisation", 11.0, 200, nil, `organisation "forged"`, forged),
		Entry("a refusal of a key in force", 9.0, http.StatusUnauthorized, nil, "key-1-0-0 was answered 401"),
		Entry("a refusal of a key that was added long ago", 14.0, http.StatusUnauthorized, nil, "answered 401"),
	)
})
