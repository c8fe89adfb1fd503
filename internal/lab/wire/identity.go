package wire

import "strconv"

// Header fields of papayapath, as in section 6 of the design.
const (
	Customer = "Papayapath-Customer"
	Request  = "Papayapath-Request"
	Timeout  = "Papayapath-Timeout" // ms
	Key      = "Idempotency-Key"
	Outcome  = "Papayapath-Outcome"
	Reason   = "Papayapath-Reason"
	Call     = "Papayapath-Call"
	Deadline = "Papayapath-Deadline" // Unix time in ms
)

// Header fields of the lab. They are end-to-end fields, which a proxy
// forwards, and no part of the content that a node compares.
const (
	Root     = "Lab-Root"     // id of the customer request
	Attempt  = "Lab-Attempt"  // number of the send of the request
	WorkKey  = "Lab-Work"     // key of non-repeatable work, counted by the checkers
	Crash    = "Lab-Crash"    // present if the request crashes the server that runs it
	Checksum = "Lab-Checksum" // xxhash64 of the answer body, hexadecimal
	Shed     = "Lab-Shed"     // present if the server refused for lack of slots
	Failed   = "Lab-Failed"   // service whose answer the server did not get
)

// Values of Outcome and Reason that the lab looks at.
const (
	Complete = "complete"
	NotRun   = "notrun"
	Overload = "overload"
)

// Identity is what a call carries of the customer request that caused it.
type Identity struct {
	Root    string
	Attempt int
	WorkKey string // empty if the call may run more than once
	Crash   bool
}

// Get returns the value of a header field.
type Get func(name string) string

// Set sets a header field.
type Set func(name, value string)

// Read returns the identity in the header of a request. A request without
// the fields of the lab is known by the fields of papayapath.
func Read(get Get) Identity {
	i := Identity{Root: get(Root), WorkKey: get(WorkKey), Crash: get(Crash) != ""}
	if i.Root == "" {
		i.Root = get(Request)
		i.WorkKey = get(Key)
	}
	i.Attempt, _ = strconv.Atoi(get(Attempt))
	return i
}

// Write sets the header fields of the identity.
func (i Identity) Write(set Set) {
	set(Root, i.Root)
	set(Attempt, strconv.Itoa(i.Attempt))
	if i.WorkKey != "" {
		set(WorkKey, i.WorkKey)
	}
	if i.Crash {
		set(Crash, "1")
	}
}
