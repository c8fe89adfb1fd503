package registry

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/papayapath/papayapath/pkg/readiness"
)

// maxNameLength bounds the names in an entry, in bytes.
const maxNameLength = 255

// EntryError reports an entry that no working node writes. Other writers can leave
// one in the log.
type EntryError struct {
	node  string
	cause error
}

// Error states the node and the cause.
func (e *EntryError) Error() string { return fmt.Sprintf("registry: entry of %q: %v", e.node, e.cause) }

// Unwrap returns the cause.
func (e *EntryError) Unwrap() error { return e.cause }

// Causes of an EntryError.
var (
	errAddress = fmt.Errorf("the address is not that of a listener")
	errName    = fmt.Errorf("a name is longer than %d bytes", maxNameLength)
	errState   = fmt.Errorf("the state is unknown")
)

// Validate returns an *EntryError if the entry has a malformed or implausible value.
func (e Entry) Validate(now time.Time) error {
	if err := e.validate(now); err != nil {
		return &EntryError{node: e.Node[:min(len(e.Node), maxNameLength)], cause: err}
	}
	return nil
}

func (e Entry) validate(now time.Time) error {
	address, err := netip.ParseAddrPort(e.Node)
	switch {
	case err != nil:
		return err
	case address.Port() == 0 || address.Addr().IsUnspecified() || address.Addr().IsMulticast():
		return errAddress
	case max(len(e.Domain), len(e.Service), len(e.Instance)) > maxNameLength:
		return errName
	case e.State > readiness.Draining:
		return errState
	}
	if err := readiness.ValidateSlots(e.Slots); err != nil {
		return err
	}
	if err := readiness.ValidateStart(now, e.Incarnation); err != nil {
		return err
	}
	return readiness.ValidateStart(now, e.Born)
}
