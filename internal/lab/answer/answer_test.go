package answer_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/papayapath/papayapath/internal/lab/answer"
)

// Guards against a corrupted or foreign response that is verified as complete.
func TestVerify(t *testing.T) {
	a := answer.New("calendars", "r1", 100)
	body := a.Body()
	require.Len(t, body, 100)
	damaged := append([]byte(nil), body...)
	damaged[99] ^= 1
	for name, c := range map[string]struct {
		root string
		body []byte
		want answer.Verdict
	}{
		"whole":   {"r1", body, answer.Complete},
		"cut":     {"r1", body[:99], answer.Partial},
		"empty":   {"r1", nil, answer.Partial},
		"damaged": {"r1", damaged, answer.Partial},
		"foreign": {"r2", body, answer.Foreign},
	} {
		require.Equal(t, c.want, answer.Verify("calendars", c.root, a.Checksum(), c.body), name)
	}
	require.Equal(t, answer.Partial, answer.Verify("calendars", "r1", "", body), "no checksum")
}
