package declarations

import (
	"github.com/cespare/xxhash/v2"

	"github.com/papayapath/papayapath/pkg/instance"
	"github.com/papayapath/papayapath/pkg/stream"
)

// zero lies before every record.
var zero stream.Position

// score returns the rendezvous hash of a node for this stream.
func score(id instance.ID) uint64 {
	d := xxhash.New()
	// Writes to a hash don't fail.
	_, _ = d.WriteString(Stream)
	_, _ = d.WriteString(id.String())
	return d.Sum64()
}
