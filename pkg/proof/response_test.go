package proof_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/papayapath/papayapath/pkg/outcome"
	"github.com/papayapath/papayapath/pkg/proof"
)

// Guards against a status that is taken for the proof that a request was not run, against
// one that reaches a caller which takes it for the promise, and against statements of the
// server that are not believed.
func TestResponses(t *testing.T) {
	const complete, notRun, unknown = outcome.Complete, outcome.NotRun, outcome.Unknown
	for _, x := range []struct {
		status           int
		isRefusal        bool
		expected, sender string
		outcome          outcome.Outcome
		isFailure        bool
		once, repeated   bool // may reach the caller of a request that must not, or may, run again
	}{
		{status: 200, outcome: complete, once: true, repeated: true},
		{status: 204, expected: "a", sender: "b", outcome: complete, once: true, repeated: true},
		{status: 302, outcome: complete, once: true, repeated: true},
		{status: 404, outcome: complete, once: true, repeated: true},
		{status: 408, outcome: complete, isFailure: true, repeated: true},
		{status: 421, outcome: complete, isFailure: true, repeated: true},
		{status: 429, outcome: complete, isFailure: true, repeated: true},
		{status: 500, outcome: complete, isFailure: true, once: true, repeated: true},
		{status: 502, outcome: complete, isFailure: true, once: true, repeated: true},
		{status: 503, outcome: complete, isFailure: true, repeated: true},
		{status: 503, expected: "a", sender: "b", outcome: complete, isFailure: true, repeated: true},
		{status: 504, outcome: complete, isFailure: true, once: true, repeated: true},
		{status: 400, isRefusal: true, outcome: notRun},
		{status: 408, isRefusal: true, outcome: notRun},
		{status: 421, isRefusal: true, outcome: notRun},
		{status: 429, isRefusal: true, outcome: notRun},
		{status: 503, isRefusal: true, outcome: notRun},
		{status: 200, isRefusal: true, outcome: unknown},
		{status: 302, isRefusal: true, outcome: unknown},
		{status: 421, expected: "a", sender: "b", outcome: notRun},
		{status: 421, expected: "a", sender: "a", outcome: complete, isFailure: true, repeated: true},
		{status: 421, expected: "a", outcome: complete, isFailure: true, repeated: true},
		{status: 421, sender: "b", outcome: complete, isFailure: true, repeated: true},
	} {
		t.Run(fmt.Sprintf("%d_%v_%s_%s", x.status, x.isRefusal, x.expected, x.sender), func(t *testing.T) {
			r := proof.New(x.status).WithInstances(x.expected, x.sender)
			if x.isRefusal {
				r = r.WithRefusal()
			}
			require.Equal(t, x.outcome, r.Outcome())
			require.Equal(t, x.isFailure, r.IsFailure())
			require.Equal(t, x.once, r.MayReach(false))
			require.Equal(t, x.repeated, r.MayReach(true))
		})
	}
}
