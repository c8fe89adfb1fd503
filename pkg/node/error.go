package node

import "fmt"

// ServiceError reports a backend server that announced another service than
// the one before it at the same node.
type ServiceError struct{ own, other string }

// Error names both services.
func (e *ServiceError) Error() string {
	return fmt.Sprintf("node serves %q and can't change to %q", e.own, e.other)
}
