package membership

import (
	"github.com/papayapath/papayapath/pkg/instance"
	"github.com/papayapath/papayapath/pkg/message"
)

// Kind says what happened to a member.
type Kind uint8

// Kinds of changes.
const (
	Joined    Kind = iota + 1 // found, or back after it was taken for dead
	Draining                  // takes no new work
	Suspected                 // does not answer probes
	Restored                  // is no longer suspected
	Died                      // is taken for dead, or was replaced at its address
	Departed                  // left by itself
)

var kinds = [...]string{"unknown", "joined", "draining", "suspected", "restored", "dead", "left"}

// String returns the word for k that status output uses.
func (k Kind) String() string {
	if int(k) >= len(kinds) {
		return kinds[0]
	}
	return kinds[k]
}

// Change reports what happened to one member.
type Change struct {
	Kind     Kind
	ID       instance.ID
	Metadata message.Metadata
}

// Member is what the node knows of one member.
type Member struct {
	ID       instance.ID
	State    message.MemberState
	Draining bool
	Metadata message.Metadata
}
