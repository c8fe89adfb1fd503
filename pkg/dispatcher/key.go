package dispatcher

import (
	"encoding/binary"
	"time"

	"github.com/google/uuid"

	"github.com/papayapath/papayapath/pkg/contract"
	"github.com/papayapath/papayapath/pkg/message"
	"github.com/papayapath/papayapath/pkg/outcome"
)

// unknownAge stands in an offer for a key without a known time of issue.
const unknownAge = -1

// derived is the name space of keys that a node derives for child calls.
var derived = uuid.NewSHA1(uuid.NameSpaceURL, []byte("papayapath:child"))

// checkKey refuses a call that is not repeatable and has no key, or one that
// was issued outside of the contract's window.
func checkKey(now time.Time, c *call, terms *contract.Contract) outcome.Reason {
	if c.first.Repeatable {
		return outcome.None
	}
	if c.first.Key == "" {
		return outcome.Malformed
	}
	if c.issued.IsZero() {
		return outcome.None
	}
	age := now.Sub(c.issued)
	if age < -skew || (terms.KeyWindow() > 0 && age > terms.KeyWindow()) {
		return outcome.Stale
	}
	return outcome.None
}

// age returns the time since the key was issued, or unknownAge.
func (c *call) age(now time.Time) time.Duration {
	if c.issued.IsZero() {
		return unknownAge
	}
	return max(now.Sub(c.issued), 0)
}

// derive returns the key of a child call that came without one. It depends
// only on what stays the same when the parent runs again, so that a second
// run of the parent does not run the child a second time. The parent's own
// key and content keep apart the children of different calls of one request.
//
// The key's time of issue is that of the parent's key or, if it has none, of
// the request id. Without either, owners treat the key as issued before any
// change of their table.
func derive(parent *message.Offer, service string, content uint64, counter int) string {
	data := make([]byte, 0, 256)
	data = appendText(data, parent.Root)
	data = appendText(data, parent.Key)
	data = appendText(data, service)
	data = binary.BigEndian.AppendUint64(data, parent.Content)
	data = binary.BigEndian.AppendUint64(data, content)
	data = binary.BigEndian.AppendUint64(data, uint64(counter))
	if issued, ok := message.IssueTime(parent.Key); ok {
		return message.KeyAt(issued, data)
	}
	if issued, ok := message.IssueTime(parent.Root); ok {
		return message.KeyAt(issued, data)
	}
	return uuid.NewSHA1(derived, data).String()
}

// appendText appends the length of s and s, so that no two lists of texts
// have the same form.
func appendText(data []byte, s string) []byte {
	data = binary.BigEndian.AppendUint64(data, uint64(len(s)))
	return append(data, s...)
}
