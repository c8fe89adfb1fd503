package node

// EventKind says what an Event reports.
type EventKind uint8

// Kinds of events.
const (
	MemberChanged    EventKind = iota + 1 // a member joined, drained, failed or left
	VersionChanged                        // another version of the declarations is in force
	RecordRejected                        // a record of the declarations had no effect
	BackendAnnounced                      // a backend server announced itself
	BackendLost                           // the backend server is gone
	EpochChanged                          // another owner table is in force for the own service
	BecameReady                           // the node has caught up and serves calls
)

// Event reports a change of state that operators want to see in a log.
type Event struct {
	Kind   EventKind
	Detail string
}
