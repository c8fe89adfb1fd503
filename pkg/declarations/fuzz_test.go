package declarations_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/papayapath/papayapath/pkg/contract"
	"github.com/papayapath/papayapath/pkg/message"
	"github.com/papayapath/papayapath/pkg/stream"
)

// Guards against a panic, or a contract that breaks the rules, on any bytes in
// the log or from a peer.
func FuzzState(f *testing.F) {
	terms := terms("brest", 1)
	table := message.Snapshot{Version: stream.At(1, 3), Entries: []message.Entry{{Customer: "brest", Changed: stream.At(1, 2), Contract: &terms}}}
	f.Add(change(f, stream.At(1, -1), "anna", []contract.Document{terms}, "quimper"))
	f.Add(encode(f, message.DeclarationRecord{Snapshot: &table}))
	for _, c := range []message.Control{
		{DeclarationsUpdate: &message.DeclarationsUpdate{Table: table}},
		{DeclarationsDigest: &message.DeclarationsDigest{Version: stream.At(2, 0), Base: stream.At(1, 9)}},
	} {
		data, err := message.Encode(c)
		require.NoError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		s, late := newState(1), newState(2)
		s.Log(start, stream.Batch{Generation: 1, End: 2, Records: []stream.Record{{Data: data}, {Offset: 1, Data: data}}})
		late.Log(start, stream.Batch{Generation: 1, First: 5, End: 7, Records: []stream.Record{{Offset: 5, Data: data}, {Offset: 6, Data: data}}})
		if c, err := message.Decode[message.Control](data); err == nil {
			s.Receive(start, id(2), c, nil)
			late.Receive(start, id(2), c, nil)
		}
		for c := range s.Contracts {
			d := c.Document()
			require.NoError(t, d.Validate())
		}
	})
}
